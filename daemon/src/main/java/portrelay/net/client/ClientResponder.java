package portrelay.net.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import portrelay.model.RequestArrival;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.HttpResult;
import portrelay.net.connection.RequestBody;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.http.HeaderForwarding;
import portrelay.net.upstream.IncomingRequest;

/**
 * The client's side of one exchange: writes the single response, and detects when the client no longer waits for it. It
 * is over as soon as the response begins or the client has left; calls after that have no effect.
 */
final class ClientResponder implements IncomingRequest.Responder, RequestBody.Listener {

    private final EventLoop loop;
    private final Log log;
    private final ClientConnections connections;
    private final ResponseWriter responses;
    private final RequestDispatcher dispatcher;
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final String clientRequestId;
    /** The request, by its unique id. */
    private final RequestArrival arrival;
    /** The streamed body; null if the body was read before the request was dispatched. */
    private final RequestBody requestBody;

    private final ClientWatch watch;
    private boolean isOver;

    /**
     * @param clientRequestId the id that the client gave
     * @param arrival the request, with the unique id by which the decisions identify it
     * @param requestBody a long body that is still being received, or null
     */
    ClientResponder(
            EventLoop loop,
            Log log,
            ClientConnections connections,
            ResponseWriter responses,
            RequestDispatcher dispatcher,
            HttpServerExchange exchange,
            String clientRequestId,
            RequestArrival arrival,
            RequestBody requestBody) {
        this.loop = loop;
        this.log = log;
        this.connections = connections;
        this.responses = responses;
        this.dispatcher = dispatcher;
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.clientRequestId = clientRequestId;
        this.arrival = arrival;
        this.requestBody = requestBody;
        this.watch = new ClientWatch(connections, connection, this::clientLeft);
    }

    /** Returns the id that the client gave. */
    String clientRequestId() {
        return clientRequestId;
    }

    RequestArrival arrival() {
        return arrival;
    }

    /** Whether the body is forwarded while it is received. */
    boolean hasStreamedBody() {
        return requestBody != null;
    }

    /** Returns the client's address, or null if the connection is not a socket, as in the warm-up. */
    InetAddress clientAddress() {
        InetSocketAddress peer = connection.getPeerAddress(InetSocketAddress.class);
        return peer == null ? null : peer.getAddress();
    }

    /** Starts to detect the close by the client; while a long body is received, {@link RequestBody} detects it. */
    void start() {
        if (requestBody == null) {
            watch.start();
        } else {
            requestBody.setListener(this);
        }
    }

    @Override
    public boolean isOver() {
        if (!isOver && watch.isStarted()) {
            watch.readToEnd();
        } else if (!isOver && connections.hasClientClosed(connection)) {
            clientLeft();
        }
        return isOver;
    }

    // ---- Streamed request body --------------------------------------------------------------------------

    /**
     * {@inheritDoc}
     *
     * <p>Once the client has left, the body must stay incomplete: its last byte would make the upstream execute the
     * request.
     */
    @Override
    public boolean isClientWaiting() {
        return !isOver();
    }

    @Override
    public void forwarded() {
        if (!isOver) {
            watch.start();
        }
    }

    @Override
    public void clientFailed(boolean isTooLong) {
        if (isOver) {
            return;
        }
        end();
        dispatcher.clientLeft(arrival.id());
        if (isTooLong) {
            responses.rejectAndClose(exchange, RequestReader.bodyTooLong());
        } else {
            connections.close(connection, RequestProgress.EndCause.BODY_BROKE_OFF);
        }
    }

    // ---- Response ---------------------------------------------------------------------------------------

    @Override
    public void served(HttpResult result) {
        HttpResult.StreamedBody streamedBody = result.streamedBody();
        if (!beginResponse(StatusCodes.OK)) {
            if (streamedBody != null) {
                streamedBody.cancel();
            }
            return;
        }
        dispatcher.answered(this);
        // The request needs no other attempt: its body is no longer held, however long the response takes.
        connections.bufferHeld(connection, ConnectionBuffers.Part.REQUEST_BODY, 0);
        HeaderForwarding.copy(result.headers(), exchange.getResponseHeaders());
        if (streamedBody == null) {
            responses.send(exchange, result.body(), unreadInput());
            return;
        }
        ResponseStream stream = new ResponseStream(loop, log, connections, connection, exchange::getResponseBytesSent);
        if (!setFraming(result.headers().getFirst(Headers.CONTENT_LENGTH))) {
            stream.resetOnEarlyClose();
        }
        streamedBody.transferTo(exchange.getResponseChannel(), stream);
    }

    /**
     * Sets the framing of a streamed response, so that the client can tell a complete body from one that broke off,
     * whatever ends it. Returns false for a client of HTTP/1.0 if the length is unknown: only the end of the connection
     * can delimit the body then. Undertow would choose that for HTTP/1.1, too, if the connection is not kept.
     *
     * @param length the value of the upstream's Content-Length; null if there is none
     */
    private boolean setFraming(String length) {
        if (length != null) {
            exchange.setResponseContentLength(Long.parseLong(length.trim()));
            return true;
        }
        if (exchange.isHttp11()) {
            exchange.getResponseHeaders().put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
            return true;
        }
        return false;
    }

    @Override
    public void rejected(double retryAfterSeconds) {
        if (beginResponse(StatusCodes.TOO_MANY_REQUESTS)) {
            dispatcher.rejected(this);
            if (retryAfterSeconds > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterText(retryAfterSeconds));
            }
            responses.send(exchange, HttpCall.NO_BODY, unreadInput());
        }
    }

    /** Formats a Retry-After in seconds, rounded up to milliseconds so that a client that honours it is never early. */
    static String retryAfterText(double seconds) {
        return Double.toString(Math.ceil(seconds * 1e3) / 1e3);
    }

    @Override
    public void failed() {
        if (beginResponse(StatusCodes.BAD_GATEWAY)) {
            dispatcher.answered(this);
            responses.send(exchange, HttpCall.NO_BODY, unreadInput());
        }
    }

    /** Sets the status and returns whether there is still a client to write the response to. */
    private boolean beginResponse(int status) {
        if (isOver) {
            return false;
        }
        if (responses.closesConnections() && watch.isStarted()) {
            // Read before deciding whether the connection ends: a pipelined request must not be cut off.
            watch.read();
            if (isOver) {
                return false;
            }
        }
        end();
        if (watch.isDiscarding()) {
            exchange.setPersistent(false);
        }
        connections.awaitsReader(connection, 0);
        if (requestBody != null) {
            requestBody.stop();
        }
        responses.endConnectionIfDue(exchange);
        if (isBodyUnread()) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(status);
        log.debug(() -> "request answered: request=" + Log.clean(clientRequestId) + " status=" + status + " keep-alive="
                + exchange.isPersistent());
        return true;
    }

    private ResponseWriter.UnreadInput unreadInput() {
        if (watch.isDiscarding()) {
            return ResponseWriter.UnreadInput.AFTER_REQUEST;
        }
        return isBodyUnread() ? ResponseWriter.UnreadInput.BODY : ResponseWriter.UnreadInput.NOTHING;
    }

    private boolean isBodyUnread() {
        return requestBody != null && !requestBody.isWritten();
    }

    private void clientLeft() {
        end();
        dispatcher.clientLeft(arrival.id());
        connections.close(connection, RequestProgress.EndCause.CLIENT_LEFT);
    }

    private void end() {
        isOver = true;
        watch.stop();
        dispatcher.responderEnded(this);
    }
}
