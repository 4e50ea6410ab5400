package portrelay.net.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import portrelay.admission.ConnectionCapacity;
import portrelay.model.RequestId;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.HttpResult;
import portrelay.net.connection.RequestBody;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.http.HeaderForwarding;
import portrelay.net.upstream.IncomingRequest;

/**
 * The client's side of one exchange: writes the one response, and notices when its client no longer waits for it. Over
 * as soon as the response begins or the client has left; what is called after that does nothing.
 */
final class ClientResponder implements IncomingRequest.Responder, RequestBody.Listener {

    private final EventLoop loop;
    private final Log log;
    private final ClientConnections connections;
    private final ResponseWriter responses;
    private final RequestDispatcher dispatcher;
    private final HttpServerExchange exchange;
    private final HttpServerConnection connection;
    private final String clientsId;
    private final RequestId id;
    /** Null where the body was read before the request was dispatched. */
    private final RequestBody requestBody;

    private final ClientWatch watch;
    private boolean isOver;

    /**
     * @param clientsId the id that the client gave
     * @param id the unique one that the decisions know the request by
     * @param requestBody a long body that is still coming, or null
     */
    ClientResponder(
            EventLoop loop,
            Log log,
            ClientConnections connections,
            ResponseWriter responses,
            RequestDispatcher dispatcher,
            HttpServerExchange exchange,
            String clientsId,
            RequestId id,
            RequestBody requestBody) {
        this.loop = loop;
        this.log = log;
        this.connections = connections;
        this.responses = responses;
        this.dispatcher = dispatcher;
        this.exchange = exchange;
        this.connection = (HttpServerConnection) exchange.getConnection();
        this.clientsId = clientsId;
        this.id = id;
        this.requestBody = requestBody;
        this.watch = new ClientWatch(connections, connection, this::clientLeft);
    }

    String clientsId() {
        return clientsId;
    }

    /** Null where the connection is no socket, as in the warm-up. */
    InetAddress clientAddress() {
        InetSocketAddress peer = connection.getPeerAddress(InetSocketAddress.class);
        return peer == null ? null : peer.getAddress();
    }

    /** From here on the client's end is noticed; while a long body comes, by its {@link RequestBody}. */
    void start() {
        if (requestBody == null) {
            watch.start();
        } else {
            requestBody.listener(this);
        }
    }

    @Override
    public boolean isOver() {
        if (!isOver && watch.isStarted()) {
            watch.readToEnd();
        } else if (!isOver && connections.hasEnded(connection)) {
            clientLeft();
        }
        return isOver;
    }

    // ---- A long request body ----------------------------------------------------------------------------

    /** Without a client the body must stay incomplete: its last byte would make the upstream execute the request. */
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
        dispatcher.clientLeft(id);
        if (isTooLong) {
            responses.rejectAndClose(exchange, RequestReader.tooLong());
        } else {
            connections.close(connection, RequestProgress.EndCause.BODY_BROKE_OFF);
        }
    }

    // ---- The response -----------------------------------------------------------------------------------

    @Override
    public void served(HttpResult result) {
        HttpResult.BodyRemainder remainder = result.remainder();
        if (!beginResponse(StatusCodes.OK)) {
            if (remainder != null) {
                remainder.cancel();
            }
            return;
        }
        HeaderForwarding.copy(result.headers(), exchange.getResponseHeaders());
        if (remainder == null) {
            responses.send(exchange, result.body(), unread());
            return;
        }
        String length = result.headers().getFirst(Headers.CONTENT_LENGTH);
        if (length != null) {
            exchange.setResponseContentLength(Long.parseLong(length.trim()));
        }
        remainder.transferTo(exchange.getResponseChannel(), new ResponseStream(loop, log, connections, connection));
    }

    @Override
    public void rejected(double retryAfterSeconds) {
        if (beginResponse(StatusCodes.TOO_MANY_REQUESTS)) {
            if (retryAfterSeconds > 0) {
                exchange.getResponseHeaders().put(Headers.RETRY_AFTER, retryAfterText(retryAfterSeconds));
            }
            responses.send(exchange, HttpCall.NO_BODY, unread());
        }
    }

    /** Rounded up to milliseconds: a client that keeps to it is never early. */
    static String retryAfterText(double seconds) {
        return Double.toString(Math.ceil(seconds * 1e3) / 1e3);
    }

    @Override
    public void failed() {
        if (beginResponse(StatusCodes.BAD_GATEWAY)) {
            responses.send(exchange, HttpCall.NO_BODY, unread());
        }
    }

    /** Sets the status and says whether there is anybody to write a response to. */
    private boolean beginResponse(int status) {
        if (isOver) {
            return false;
        }
        if (responses.closesConnections() && watch.isStarted()) {
            // Before it is decided whether the connection ends: a request that was sent ahead must not be cut off.
            watch.read();
            if (isOver) {
                return false;
            }
        }
        end();
        if (watch.isDiscarding()) {
            exchange.setPersistent(false);
        } else {
            watch.returnReadAhead();
        }
        connections.phaseChanged(connection, ConnectionCapacity.Phase.ANSWERING);
        if (requestBody != null) {
            requestBody.stop();
        }
        responses.endConnectionIfDue(exchange);
        if (isBodyUnread()) {
            exchange.setPersistent(false);
        }
        exchange.setStatusCode(status);
        log.debug(() -> "request answered: request=" + Log.clean(clientsId) + " status=" + status + " keep-alive="
                + exchange.isPersistent());
        return true;
    }

    private ResponseWriter.Unread unread() {
        if (watch.isDiscarding()) {
            return ResponseWriter.Unread.BEHIND_REQUEST;
        }
        return isBodyUnread() ? ResponseWriter.Unread.BODY : ResponseWriter.Unread.NOTHING;
    }

    private boolean isBodyUnread() {
        return requestBody != null && !requestBody.written();
    }

    private void clientLeft() {
        end();
        dispatcher.clientLeft(id);
        connections.close(connection, RequestProgress.EndCause.CLIENT_LEFT);
    }

    private void end() {
        isOver = true;
        watch.stop();
        dispatcher.ended(this);
    }
}
