package portrelay.net.client;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.Arrays;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.client.ConnectionBuffers.Part;
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

    /** Bytes of a body that are sent together with its head. */
    private static final int MAX_BYTES_WITH_HEAD = 8 * 1024;

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
        exchange.setResponseContentLength(body.length);
        connections.bufferHeld((HttpServerConnection) exchange.getConnection(), Part.RESPONSE, body.length);
        send(exchange, body, whenSent(unreadInput));
    }

    private IoCallback whenSent(UnreadInput unreadInput) {
        return switch (unreadInput) {
            case NOTHING -> IoCallback.END_EXCHANGE;
            case BODY -> closeAfterBody;
            case AFTER_REQUEST -> closeAfterComplete;
        };
    }

    /**
     * Sends the body. Of a long one, only a copy of its beginning is sent together with the head: Undertow refers to
     * the buffer that it writes with the head until the connection closes or writes its next head.
     */
    private static void send(HttpServerExchange exchange, byte[] body, IoCallback whenSent) {
        Sender sender = exchange.getResponseSender();
        if (body.length <= MAX_BYTES_WITH_HEAD) {
            sender.send(ByteBuffer.wrap(body), whenSent);
            return;
        }
        ByteBuffer rest = ByteBuffer.wrap(body, MAX_BYTES_WITH_HEAD, body.length - MAX_BYTES_WITH_HEAD);
        sender.send(ByteBuffer.wrap(Arrays.copyOf(body, MAX_BYTES_WITH_HEAD)), new IoCallback() {
            @Override
            public void onComplete(HttpServerExchange sent, Sender sameSender) {
                sameSender.send(rest, whenSent);
            }

            @Override
            public void onException(HttpServerExchange failed, Sender sameSender, IOException cause) {
                whenSent.onException(failed, sameSender, cause);
            }
        });
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
