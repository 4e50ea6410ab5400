package portrelay.net.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.AttachmentKey;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import portrelay.admission.ConnectionCapacity;
import portrelay.model.RequestArrival;
import portrelay.model.RequestId;
import portrelay.net.admission.AdmissionActor;
import portrelay.net.connection.RequestBody;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.http.RequestHead;
import portrelay.net.upstream.IncomingRequest;
import portrelay.shutdown.Shutdown;

/**
 * Creates an {@link IncomingRequest} from each request that was read, rejects those that can't be forwarded and passes
 * the others to admission. Owns the requests that wait for a response.
 */
final class RequestDispatcher {

    /** Set on each exchange that is dispatched: the request's head as the client sent it. */
    static final AttachmentKey<RequestHead> HEAD = AttachmentKey.create(RequestHead.class);

    private final EventLoop loop;
    private final Log log;
    private final RequestReader reader;
    private final RepeatGuard repeats;
    private final AdmissionActor admission;
    private final ClientConnections connections;
    private final ConnectionCounters counters;
    private final ResponseWriter responses;
    private final Shutdown shutdown;
    private final double retryAfterSeconds;
    /** The requests that wait for a response, by the ids that their clients gave. */
    private final Map<String, ClientResponder> pending = new HashMap<>();

    private int maxStreamedBodies = Integer.MAX_VALUE;
    private int openStreamedBodies;
    private long dispatchedCount;
    private int rejectedDuringShutdown;

    RequestDispatcher(
            EventLoop loop,
            Log log,
            RequestReader reader,
            RepeatGuard repeats,
            AdmissionActor admission,
            ClientConnections connections,
            ConnectionCounters counters,
            ResponseWriter responses,
            Shutdown shutdown,
            double retryAfterSeconds) {
        this.loop = loop;
        this.log = log;
        this.reader = reader;
        this.repeats = repeats;
        this.admission = admission;
        this.connections = connections;
        this.counters = counters;
        this.responses = responses;
        this.shutdown = shutdown;
        this.retryAfterSeconds = retryAfterSeconds;
    }

    /**
     * Sets how many requests may be open whose bodies are forwarded while they are received. Each holds a connection to
     * an upstream for as long as its client takes to send it.
     */
    void setMaxStreamedBodies(int maxStreamedBodies) {
        this.maxStreamedBodies = maxStreamedBodies;
    }

    /** Returns the number of requests rejected here because of the shutdown. */
    int rejectedDuringShutdown() {
        return rejectedDuringShutdown;
    }

    /**
     * Passes a request to admission or rejects it. Called once for each request with valid framing.
     *
     * @param body the complete body; empty if {@code requestBody} is given
     * @param requestBody a long body that is still being received, or null
     */
    void dispatch(HttpServerExchange exchange, byte[] body, RequestBody requestBody) {
        RequestArrival arrival;
        try {
            arrival = readArrival(exchange, body, requestBody);
        } catch (MalformedRequestException e) {
            if (requestBody == null) {
                responses.reject(exchange, e);
            } else {
                responses.rejectAndClose(exchange, e);
            }
            return;
        }
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        String clientRequestId = arrival.id().value();
        // A unique id: late events of a request that its client gave up must not be attributed to the client's retry,
        // which may carry the same id.
        RequestArrival uniqueArrival = arrival.withId(new RequestId(clientRequestId + " " + ++dispatchedCount));
        ClientResponder responder = new ClientResponder(
                loop, log, connections, responses, this, exchange, clientRequestId, uniqueArrival, requestBody);
        connections.phaseChanged(connection, ConnectionCapacity.Phase.ASKED);
        connections.requestBegan(connection, clientRequestId, exchange::getResponseBytesSent);
        if (rejectIfNotForwardable(exchange, responder, uniqueArrival)) {
            return;
        }
        pending.put(clientRequestId, responder);
        openStreamedBodies += responder.hasStreamedBody() ? 1 : 0;
        log.debug(() -> requestTakenLogLine(clientRequestId, connection, uniqueArrival));
        IncomingRequest incoming = new IncomingRequest(
                uniqueArrival,
                exchange.getRequestMethod(),
                exchange.getAttachment(HEAD).target(),
                exchange.getRequestHeaders(),
                body,
                requestBody,
                responder);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
            responder.start();
            admission.requestArrived(incoming, responder.clientAddress());
        });
    }

    private RequestArrival readArrival(HttpServerExchange exchange, byte[] body, RequestBody requestBody)
            throws MalformedRequestException {
        boolean isStreamed = requestBody != null;
        double arrivedAt = connections.earliestArrival((HttpServerConnection) exchange.getConnection());
        RequestArrival arrival =
                reader.read(exchange, isStreamed || body.length > 0, isStreamed, arrivedAt, shutdown.answerDeadline());
        ClientResponder openResponder = pending.get(arrival.id().value());
        if (openResponder != null && !openResponder.isOver()) {
            throw new MalformedRequestException(StatusCodes.CONFLICT, "a query of this id is open");
        }
        if (!repeats.begin(arrival.id().value(), arrival)) {
            throw new MalformedRequestException(StatusCodes.CONFLICT, "a query of this id may have been executed");
        }
        return arrival;
    }

    /** Rejects the request and returns true if it must not reach admission; no attempt has been made in that case. */
    private boolean rejectIfNotForwardable(
            HttpServerExchange exchange, ClientResponder responder, RequestArrival arrival) {
        if (connections.exceedsRequestCapacity()) {
            // There is no connection left to evict.
            counters.countRejectedForCapacity();
            exchange.setPersistent(false);
            responder.rejected(0);
            return true;
        }
        if (responder.hasStreamedBody() && openStreamedBodies >= maxStreamedBodies) {
            counters.countRejectedForStreams();
            responder.rejected(retryAfterSeconds);
            return true;
        }
        boolean mayForward = shutdown.mayForward(loop.now());
        if (!mayForward || arrival.deadline() <= loop.now()) {
            // Late in a shutdown, or the deadline passed while a pipelined request waited for the one before it.
            rejectedDuringShutdown += mayForward ? 0 : 1;
            responder.rejected(retryAfterSeconds);
            return true;
        }
        return false;
    }

    /**
     * Returns the first of the two debug lines of each request; the second reports the response or the end of the
     * connection.
     */
    private String requestTakenLogLine(
            String clientRequestId, HttpServerConnection connection, RequestArrival arrival) {
        return String.format(
                Locale.ROOT,
                "request taken: request=%s connection=%s left=%.3f",
                Log.clean(clientRequestId),
                connection.getPeerAddress(),
                arrival.deadline() - loop.now());
    }

    /** Records that the request is answered and may have been executed. */
    void answered(ClientResponder responder) {
        repeats.answered(responder.clientRequestId(), responder.arrival());
    }

    /** Records that the request is rejected and provably was not executed. */
    void rejected(ClientResponder responder) {
        repeats.rejected(responder.clientRequestId(), responder.arrival());
    }

    /** Removes a request whose response has begun or whose client no longer waits for one. */
    void responderEnded(ClientResponder responder) {
        boolean wasPending = pending.remove(responder.clientRequestId(), responder);
        openStreamedBodies -= wasPending && responder.hasStreamedBody() ? 1 : 0;
    }

    /** Reports to admission that the client left before the response began. */
    void clientLeft(RequestId id) {
        admission.clientLeft(id);
    }
}
