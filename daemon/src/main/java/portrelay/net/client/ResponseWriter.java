package portrelay.net.client;

import io.undertow.io.IoCallback;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.nio.ByteBuffer;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;

/** Writes responses that are held in memory, and chooses how the connection ends after each. */
final class ResponseWriter {

    /** Bytes that may still arrive on a connection when its last response is written. */
    enum UnreadInput {
        /** Nothing of this request. */
        NOTHING,
        /** The rest of a well-formed body. */
        BODY,
        /** Bytes that the client sent after a complete request and that are discarded. */
        AFTER_REQUEST
    }

    private final Log log;
    private final ClientConnections connections;
    private final ServiceState service;
    private final LingeringClose closeAfterMalformed;
    private final LingeringClose closeAfterBody;
    private final LingeringClose closeAfterComplete;

    ResponseWriter(EventLoop loop, Log log, ClientConnections connections, ServiceState service) {
        this.log = log;
        this.connections = connections;
        this.service = service;
        closeAfterMalformed = new LingeringClose(loop, connections, false, LingeringClose.BRIEF);
        closeAfterBody = new LingeringClose(loop, connections, false, LingeringClose.REMAINING_BODY);
        closeAfterComplete = new LingeringClose(loop, connections, true, LingeringClose.BRIEF);
    }

    /** Whether connections end as soon as no response is due on them. */
    boolean closesConnections() {
        return service.closesConnections();
    }

    /** As {@link ServiceState#endConnectionIfDue}. */
    void endConnectionIfDue(HttpServerExchange exchange) {
        service.endConnectionIfDue(exchange);
    }

    /** Sends the body of a response whose head is set. */
    void send(HttpServerExchange exchange, byte[] body, UnreadInput unreadInput) {
        if (unreadInput == UnreadInput.NOTHING) {
            exchange.getResponseSender().send(ByteBuffer.wrap(body));
            return;
        }
        exchange.setResponseContentLength(body.length);
        LingeringClose close = unreadInput == UnreadInput.BODY ? closeAfterBody : closeAfterComplete;
        exchange.getResponseSender().send(ByteBuffer.wrap(body), close);
    }

    /** Answers a request that is complete but can't be accepted; the connection stays open. */
    void reject(HttpServerExchange exchange, MalformedRequestException cause) {
        reject(exchange, cause, IoCallback.END_EXCHANGE);
    }

    /**
     * Answers a request whose end is unknown or too far away to be read, and closes the connection: bytes that follow
     * must neither be taken for a request nor be read to their end.
     */
    void rejectAndClose(HttpServerExchange exchange, MalformedRequestException cause) {
        exchange.setPersistent(false);
        reject(exchange, cause, closeAfterMalformed);
    }

    private void reject(HttpServerExchange exchange, MalformedRequestException cause, IoCallback whenSent) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connections.phaseChanged(connection, ConnectionCapacity.Phase.ANSWERING);
        service.endConnectionIfDue(exchange);
        log.debug(() -> "request rejected: connection=" + connection.getPeerAddress() + " status=" + cause.status()
                + " reason=" + cause.getMessage());
        exchange.setStatusCode(cause.status());
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        String text = cause.getMessage() + "\n";
        exchange.setResponseContentLength(text.length());
        exchange.getResponseSender().send(text, whenSent);
    }
}
