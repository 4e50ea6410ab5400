package portrelay.net.connection;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.Consumer;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.http.BodyBuffer;
import portrelay.policy.ResponseHold;

/**
 * One request and its response on an {@link HttpConnection}. Writes the request, buffers a short response, and passes
 * on a long one before its body is complete, as {@link ResponseHold} decides. Holds no bytes that were written or
 * passed on: a long response may take minutes. Any failure closes the connection and ends the exchange, once.
 */
final class HttpExchange implements ClientCallback<ClientExchange> {

    /** The size of one read in bytes; most responses are shorter. */
    private static final int READ_BYTES = 4 * 1024;

    /** The reads in one turn of the event loop when a body is passed on in pieces: other events follow in between. */
    private static final int READS_PER_TURN = 16;

    /** In place of a deadline, for an exchange whose response is never passed on as a stream. */
    static final double NEVER_STREAMED = Double.NaN;

    private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.allocate(0);

    private final HttpConnection connection;
    private final ClientRequest requestHead;
    /** A long request body; null if there is none. */
    private final RequestBody requestBody;

    private final boolean hasBufferedRequestBody;

    private final int maxBuffered;
    /**
     * The deadline of the request, by which the first bytes of a response have to be passed on as a stream;
     * {@link #NEVER_STREAMED} for a response that is not.
     */
    private final double deadline;
    /** Receives the body of a response with status 200 piece by piece; null if it is buffered. */
    private final Consumer<ByteBuffer> pieces;

    private final Consumer<HttpResult> done;
    private final BodyBuffer responseBody;
    private final long bytesSentBefore;
    /** The unwritten rest of a buffered request body; empty if there is none. */
    private ByteBuffer unwritten;

    private ClientResponse head;
    /** How long a body without a length is held; null for another body or if it is not streamed. */
    private ResponseHold hold;
    /** The number of bytes of the body that were passed on in pieces. */
    private long passedOn;
    /** Whether {@link #read} is running; it handles the end of the connection itself. */
    private boolean isReading;
    /** Whether the response was passed on as a stream; the transfer then detects the end of the connection. */
    private boolean isStreaming;

    /**
     * Creates an exchange that has not started.
     *
     * @param maxBuffered the maximum number of bytes of a response body that are buffered
     * @param deadline the deadline of the request, by which the first bytes of a long response with status 200 are
     *     passed on as a stream; {@link #NEVER_STREAMED} if such a response fails
     * @param pieces receives the body of a response with status 200 piece by piece; null to buffer it
     * @param done called once, unless the owner of the connection closes it first
     */
    HttpExchange(
            HttpConnection connection,
            HttpCall call,
            int maxBuffered,
            double deadline,
            Consumer<ByteBuffer> pieces,
            Consumer<HttpResult> done) {
        this.connection = connection;
        this.requestHead = call.head();
        this.requestBody = call.requestBody();
        this.hasBufferedRequestBody = call.body().length > 0;
        this.maxBuffered = maxBuffered;
        this.deadline = deadline;
        this.pieces = pieces;
        this.done = done;
        this.responseBody = new BodyBuffer(maxBuffered + READ_BYTES);
        this.bytesSentBefore = connection.bytesSent();
        this.unwritten = ByteBuffer.wrap(call.body());
    }

    void start() {
        failOnException(() -> connection.sendRequest(requestHead, this));
    }

    /** Whether the request is written completely, so that the connection can carry another one. */
    boolean isRequestWritten() {
        return requestBody == null ? isLastByteSent() : requestBody.isWritten();
    }

    /** Whether the upstream may have the last byte of the request. */
    boolean isLastByteSent() {
        if (requestBody != null) {
            return requestBody.isLastByteSent();
        }
        return hasBufferedRequestBody ? !unwritten.hasRemaining() : connection.bytesSent() > bytesSentBefore;
    }

    /** Called when the head of the request is sent, or queued for sending. */
    @Override
    public void completed(ClientExchange exchange) {
        exchange.setResponseListener(new ClientCallback<>() {
            @Override
            public void completed(ClientExchange responseExchange) {
                failOnException(() -> receive(responseExchange));
            }

            @Override
            public void failed(IOException cause) {
                fail();
            }
        });
        if (requestBody != null) {
            requestBody.transferTo(exchange.getRequestChannel(), this::fail);
        } else if (unwritten.hasRemaining()) {
            write(exchange.getRequestChannel());
        }
    }

    @Override
    public void failed(IOException cause) {
        fail();
    }

    /**
     * Fails the exchange when its connection was closed, unless it is streaming or within a read: Undertow closes a
     * connection that is not kept alive while it reads the last bytes of the response, before it returns them, and that
     * response is complete.
     */
    void connectionClosed() {
        if (!isReading && !isStreaming) {
            fail();
        }
    }

    /** Runs a step, and fails the exchange on any exception that Undertow throws for a response that it can't read. */
    private void failOnException(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            fail();
        }
    }

    private void write(StreamSinkChannel sink) {
        try {
            while (unwritten.hasRemaining()) {
                if (sink.write(unwritten) == 0) {
                    writeLater(sink);
                    return;
                }
            }
            unwritten = EMPTY_BUFFER;
            sink.shutdownWrites();
            if (sink.flush()) {
                sink.suspendWrites();
            } else {
                writeLater(sink);
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void writeLater(StreamSinkChannel sink) {
        sink.getWriteSetter().set(this::write);
        sink.resumeWrites();
    }

    private void receive(ClientExchange responseExchange) {
        head = responseExchange.getResponse();
        long length = length(head);
        if (length > (isStreamable() ? HttpCall.MAX_BODY : maxBuffered)) {
            fail();
        } else if (length > maxBuffered) {
            stream(responseExchange.getResponseChannel());
        } else {
            StreamSourceChannel source = responseExchange.getResponseChannel();
            if (length < 0 && isStreamable()) {
                hold(source);
            }
            read(source);
        }
    }

    /** Starts to hold a body without a length; passes it on in time even if nothing more arrives by then. */
    private void hold(StreamSourceChannel source) {
        double now = connection.loop().now();
        hold = new ResponseHold(now, deadline);
        connection.loop().schedule(hold.endsAt() - now, () -> {
            if (connection.isCurrent(this) && !isStreaming && isHoldOver()) {
                stream(source);
            }
        });
    }

    private boolean isHoldOver() {
        return hold != null && hold.mayPassOn(connection.loop().now(), responseBody.size());
    }

    /** Returns the length of the body in bytes, or -1 if the head does not announce it. */
    private static long length(ClientResponse head) {
        String length = head.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
        return length == null ? -1 : Long.parseLong(length.trim());
    }

    private boolean isStreamable() {
        return !Double.isNaN(deadline) && head.getResponseCode() == StatusCodes.OK;
    }

    private void read(StreamSourceChannel source) {
        ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        isReading = true;
        try {
            int reads = 0;
            for (int count = source.read(buffer); count != 0; count = source.read(buffer)) {
                if (count < 0) {
                    complete();
                    return;
                }
                take(buffer.flip());
                buffer.clear();
                if (responseBody.size() > maxBuffered || passedOn > maxBuffered) {
                    streamOrFail(source);
                    return;
                }
                if (pieces != null && ++reads >= READS_PER_TURN) {
                    readOn(source);
                    return;
                }
            }
            isReading = false;
            if (isHoldOver()) {
                stream(source);
            } else if (connection.isSocketOpen()) {
                source.getReadSetter().set(this::read);
                source.resumeReads();
            } else {
                fail();
            }
        } catch (IOException e) {
            fail();
        }
    }

    private void take(ByteBuffer bytes) {
        if (pieces != null && head.getResponseCode() == StatusCodes.OK) {
            passedOn += bytes.remaining();
            pieces.accept(bytes);
        } else {
            responseBody.append(bytes);
        }
    }

    /** Reads on once the events that have come meanwhile are handled; bytes may be left that cause no event. */
    private void readOn(StreamSourceChannel source) {
        isReading = false;
        connection.loop().afterPoll(() -> {
            if (connection.isCurrent(this)) {
                read(source);
            }
        });
    }

    private void streamOrFail(StreamSourceChannel source) {
        if (isStreamable()) {
            stream(source);
        } else {
            fail();
        }
    }

    private void stream(StreamSourceChannel source) {
        isStreaming = true;
        isReading = false;
        done.accept(result(
                HttpCall.NO_BODY, new StreamedResponse(connection, this, source, responseBody.take(), hold == null)));
    }

    private void complete() {
        if (!connection.isCurrent(this)) {
            return;
        }
        if (!connection.isResponseComplete()) {
            fail();
            return;
        }
        connection.exchangeCompleted();
        done.accept(result(responseBody.take(), null));
    }

    private void fail() {
        if (!connection.isCurrent(this)) {
            return;
        }
        boolean isLastByteSent = isLastByteSent();
        connection.close();
        done.accept(HttpResult.connectionLost(isLastByteSent));
    }

    private HttpResult result(byte[] body, HttpResult.StreamedBody streamedBody) {
        return new HttpResult(head.getResponseCode(), head.getResponseHeaders(), body, true, streamedBody);
    }
}
