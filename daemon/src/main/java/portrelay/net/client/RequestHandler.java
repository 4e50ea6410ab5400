package portrelay.net.client;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.client.ConnectionBuffers.Part;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.RequestBody;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.http.HeaderForwarding;
import portrelay.net.http.RequestHead;
import portrelay.net.http.WireNames;

/**
 * Undertow's root handler, called once for each head that was read. Answers readiness requests and heads with invalid
 * framing; for all others it reads the body, or the beginning of a long one, for {@link RequestDispatcher}.
 */
final class RequestHandler implements HttpHandler {

    /** Set on a connection whose close is tracked. */
    private static final AttachmentKey<Boolean> TRACKED = AttachmentKey.create(Boolean.class);

    private final EventLoop loop;
    private final RequestReader reader;
    private final ClientConnections connections;
    private final ServiceState service;
    private final ResponseWriter responses;
    private final RequestDispatcher dispatcher;
    private final ByteBuffer bodyReadBuffer = BodyCollector.createReadBuffer();

    RequestHandler(
            EventLoop loop,
            RequestReader reader,
            ClientConnections connections,
            ServiceState service,
            ResponseWriter responses,
            RequestDispatcher dispatcher) {
        this.loop = loop;
        this.reader = reader;
        this.connections = connections;
        this.service = service;
        this.responses = responses;
        this.dispatcher = dispatcher;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        trackConnection(exchange);
        RequestHead head = connections.takeRequestHead(connection(exchange));
        if (isReadinessRequest(exchange)) {
            service.endConnectionIfDue(exchange);
            exchange.setStatusCode(service.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
            exchange.endExchange();
            return;
        }
        long length;
        try {
            if (head == null) {
                throw new MalformedRequestException(StatusCodes.BAD_REQUEST, "a head that can be read in two ways");
            }
            head.restoreValues(exchange.getRequestHeaders());
            exchange.putAttachment(RequestDispatcher.HEAD, head);
            length = reader.checkFraming(exchange);
        } catch (MalformedRequestException e) {
            responses.rejectAndClose(exchange, e);
            return;
        }
        receiveBody(exchange, length);
    }

    private void trackConnection(HttpServerExchange exchange) {
        HttpServerConnection connection = connection(exchange);
        if (connection.getAttachment(TRACKED) == null) {
            connection.putAttachment(TRACKED, true);
            connections.trackClose(connection);
        }
        connections.phaseChanged(connection, ConnectionCapacity.Phase.SENDING);
        connections.nextRequestStarted(connection);
        exchange.addExchangeCompleteListener((completed, next) -> {
            connections.phaseChanged(connection, ConnectionCapacity.Phase.IDLE);
            connections.releaseBuffers(connection);
            if (completed.isResponseComplete()) {
                connections.responseCompleted(connection);
            }
            next.proceed();
        });
    }

    private static boolean isReadinessRequest(HttpServerExchange exchange) {
        return !exchange.getRequestHeaders().contains(WireNames.REQUEST_CLASS)
                && HeaderForwarding.path(exchange).equals(WireNames.READINESS_PATH);
    }

    /**
     * Reads the body or begins to, and dispatches the request.
     *
     * @param length length of the body in bytes, -1 if the head does not give it because the body is chunked
     */
    private void receiveBody(HttpServerExchange exchange, long length) {
        if (length == 0) {
            dispatcher.dispatch(exchange, HttpCall.NO_BODY, null);
        } else if (length > HttpCall.MAX_BUFFERED_BODY) {
            dispatchStreamed(exchange, exchange.getRequestChannel(), HttpCall.NO_BODY, length);
        } else {
            // Dispatched: Undertow ends an exchange whose handler returns without a response or a dispatch.
            exchange.dispatch(SameThreadExecutor.INSTANCE, () -> collect(exchange));
        }
    }

    private void collect(HttpServerExchange exchange) {
        StreamSourceChannel source = exchange.getRequestChannel();
        new BodyCollector(bodyReadBuffer, source, new BodyCollector.Listener() {
                    @Override
                    public boolean mayHold(int bytes) {
                        return connections.holdBuffer(connection(exchange), Part.REQUEST_BODY, bytes);
                    }

                    @Override
                    public void outOfMemory() {
                        connections.countRejectedForMemory();
                        responses.rejectAndClose(
                                exchange,
                                new MalformedRequestException(
                                        StatusCodes.SERVICE_UNAVAILABLE, "no memory for the body"));
                    }

                    @Override
                    public void completed(byte[] body) {
                        dispatcher.dispatch(exchange, body, null);
                    }

                    @Override
                    public void exceedsBuffer(byte[] beginning) {
                        connections.bufferHeld(connection(exchange), Part.REQUEST_BODY, 0);
                        dispatchStreamed(exchange, source, beginning, -1);
                    }

                    @Override
                    public void failed() {
                        rejectIncompleteBody(exchange);
                    }
                })
                .collect();
    }

    /** Dispatches a request whose body is forwarded while it is received; {@code beginning} has been read already. */
    private void dispatchStreamed(
            HttpServerExchange exchange, StreamSourceChannel source, byte[] beginning, long length) {
        ByteBufferPool pool = exchange.getConnection().getByteBufferPool();
        RequestBody.ArrivalObserver arrival = connections.observeBody(connection(exchange));
        dispatcher.dispatch(
                exchange, HttpCall.NO_BODY, new RequestBody(loop, pool, source, beginning, length, arrival));
    }

    private void rejectIncompleteBody(HttpServerExchange exchange) {
        responses.rejectAndClose(
                exchange, new MalformedRequestException(StatusCodes.BAD_REQUEST, "the body breaks off"));
    }

    private static HttpServerConnection connection(HttpServerExchange exchange) {
        return (HttpServerConnection) exchange.getConnection();
    }
}
