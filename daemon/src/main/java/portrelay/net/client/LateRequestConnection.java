package portrelay.net.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.StreamSinkConduit;
import portrelay.net.eventloop.EventLoop;

/**
 * A client connection whose requests arrive too late to be forwarded. After the takeover each complete request is
 * answered and the connection closed, unless the head of a further request has begun to arrive. A request whose body is
 * still being received is answered after its head, and the rest of the body is discarded.
 */
final class LateRequestConnection {

    /** Maximum number of reads in one turn of the loop, so that other tasks run in between. */
    private static final int MAX_READS_PER_TURN = 64;

    /** Longest time for which the rest of a body, or the bytes after a malformed request, are discarded. */
    private static final double MAX_DISCARD_SECONDS = LingeringClose.BRIEF.maxTotalSeconds();

    private final EventLoop loop;
    private final LateRequestRejecter rejecter;
    private final ClientConnections connections;
    private final StreamConnection socket;
    private final RequestFramingFilter filter;
    /** The lowest sink conduit, below those of Undertow. */
    private final StreamSinkConduit sink;

    /** Number of the requests on this connection that have been answered. */
    private int answeredMessages;
    /** The rest of a response; null if everything has been written. */
    private ByteBuffer unsent;
    /** Whether the last response has been given, so that bytes that follow are discarded. */
    private boolean isDiscarding;

    LateRequestConnection(
            EventLoop loop,
            LateRequestRejecter rejecter,
            ClientConnections connections,
            StreamConnection socket,
            RequestFramingFilter filter) {
        this.loop = loop;
        this.rejecter = rejecter;
        this.connections = connections;
        this.socket = socket;
        this.filter = filter;
        this.sink = socket.getSinkChannel().getConduit();
    }

    /** Whether no request is open and nothing of the next one has been read. */
    boolean awaitsRequest() {
        return connections.awaitsRequest(socket);
    }

    /** Takes over all reading from and writing to the connection. */
    void takeOver() {
        filter.stopIntercepting();
        filter.passPipelined();
        answeredMessages = filter.messageCount();
        socket.getSinkChannel().setConduit(sink);
        ConduitStreamSourceChannel source = socket.getSourceChannel();
        source.setConduit(filter);
        source.setReadListener(this::read);
        read(source);
        if (socket.isOpen() && unsent == null) {
            source.resumeReads();
        }
    }

    private void read(ConduitStreamSourceChannel source) {
        boolean isReadinessRequest = false;
        try {
            int count = 1;
            for (int reads = 0; reads < MAX_READS_PER_TURN && count > 0; reads++) {
                boolean isAtMessageStart = filter.isBetweenMessages() && filter.messageCount() == answeredMessages;
                ByteBuffer bytes = rejecter.readBuffer();
                count = source.read(bytes);
                isReadinessRequest |= isAtMessageStart && LateRequestRejecter.isReadinessRequest(bytes.flip());
            }
            answerRequests(isReadinessRequest);
            if (count < 0) {
                close();
            }
        } catch (RequestFramingFilter.MalformedFramingException e) {
            answerMalformed();
        } catch (IOException e) {
            close();
        }
    }

    /** Answers the complete requests, and one that can't be completed without reading its body. */
    private void answerRequests(boolean isReadinessRequest) throws IOException {
        boolean isInBody = !filter.isBetweenMessages() && !filter.isInHead();
        int count = filter.messageCount() - answeredMessages + (isInBody ? 1 : 0);
        if (isDiscarding) {
            closeAfterBody();
        } else if (count > 0) {
            answeredMessages += count;
            boolean isLast = isInBody || filter.isBetweenMessages();
            isDiscarding = isLast;
            boolean isReadiness = isReadinessRequest && count == 1 && isLast;
            write(isReadiness ? rejecter.notReadyResponse() : rejecter.rejections(count, isLast));
            discardBodyThenClose(isInBody);
        }
    }

    private void answerMalformed() {
        filter.stopParsing();
        if (isDiscarding) {
            return;
        }
        isDiscarding = true;
        try {
            write(rejecter.malformedResponses(filter.messageCount() - answeredMessages));
            discardBodyThenClose(true);
        } catch (IOException e) {
            close();
        }
    }

    /**
     * Once the last response has been given, limits the time for which the rest of the body is discarded; without a
     * body the connection is closed as soon as the response is written.
     */
    private void discardBodyThenClose(boolean hasBody) throws IOException {
        if (!isDiscarding) {
            return;
        }
        if (hasBody) {
            loop.schedule(MAX_DISCARD_SECONDS, this::close);
        } else {
            closeAfterBody();
        }
    }

    private void closeAfterBody() {
        if (unsent == null && filter.isBetweenMessages()) {
            close();
        }
    }

    private void write(ByteBuffer bytes) throws IOException {
        ConduitStreamSinkChannel channel = socket.getSinkChannel();
        channel.write(bytes);
        if (bytes.hasRemaining()) {
            unsent = bytes;
            socket.getSourceChannel().suspendReads();
            channel.setWriteListener(ignored -> writeRemaining());
            channel.resumeWrites();
        }
    }

    private void writeRemaining() {
        try {
            socket.getSinkChannel().write(unsent);
            if (unsent.hasRemaining()) {
                return;
            }
            unsent = null;
            socket.getSinkChannel().suspendWrites();
            socket.getSourceChannel().resumeReads();
            if (isDiscarding) {
                closeAfterBody();
            }
        } catch (IOException e) {
            close();
        }
    }

    private void close() {
        connections.closeAfterLastResponse(socket);
    }
}
