package portrelay.net.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import portrelay.model.Outcome;
import portrelay.net.connection.Connector;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.HttpConnection;
import portrelay.net.connection.HttpResult;
import portrelay.net.connection.RequestBody;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.Mailbox;
import portrelay.net.http.HeaderForwarding;
import portrelay.net.http.WireNames;

/**
 * Sends attempts to one upstream: owns all connections to it and reports the end of each attempt exactly once. All
 * methods must be called on the event loop; they only post a message to the mailbox and return at once.
 */
public final class UpstreamActor {

    /** Receives the ends of attempts, on the event loop. */
    public interface Listener {

        /**
         * Reports that an attempt has ended.
         *
         * @param result the upstream's response; null if there is none
         */
        void attemptEnded(AttemptId attempt, Outcome outcome, HttpResult result);
    }

    /** An attempt that has not ended: it is waiting for a connect, or has a connection. */
    private static final class RunningAttempt {
        private final IncomingRequest request;
        /** The upstream's address when the attempt was sent; null if the upstream was no longer listed. */
        private final InetSocketAddress address;

        /** The time from which the attempt may no longer be written. */
        private final double sendBefore;

        private Connector.ConnectAttempt connectAttempt;
        private HttpConnection connection;

        RunningAttempt(IncomingRequest request, InetSocketAddress address, double sendBefore) {
            this.request = request;
            this.address = address;
            this.sendBefore = sendBefore;
        }
    }

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final Connector connector;
    private final Listener listener;
    private final double connectTimeoutSeconds;
    private final IdleConnections idleConnections;
    private final Map<AttemptId, RunningAttempt> running = new HashMap<>();
    /** Null once the upstream is no longer listed. */
    private InetSocketAddress address;
    /** Set by operators. */
    private boolean isDisabled;
    /** Set by the endpoint list. */
    private boolean isDraining;

    /**
     * Creates the actor of a listed upstream.
     *
     * @param connectTimeoutSeconds the timeout of a connect; 0 for none
     * @param idleTimeoutSeconds how long a connection may be idle before it is closed; 0 for no limit
     */
    public UpstreamActor(
            EventLoop loop,
            Log log,
            Connector connector,
            Listener listener,
            double connectTimeoutSeconds,
            double idleTimeoutSeconds,
            InetSocketAddress address) {
        this.loop = loop;
        this.log = log;
        this.connector = connector;
        this.listener = listener;
        this.connectTimeoutSeconds = connectTimeoutSeconds;
        this.address = address;
        mailbox = new Mailbox(loop, log);
        idleConnections = new IdleConnections(loop, mailbox, connector, idleTimeoutSeconds);
    }

    /** Sends an attempt on an idle connection, or on a new one if none is idle; the listener receives its end. */
    public void sendAttempt(AttemptId id, IncomingRequest request) {
        sendAttempt(id, request, Double.POSITIVE_INFINITY);
    }

    /**
     * Sends an attempt as {@link #sendAttempt(AttemptId, IncomingRequest)} does, within a deduplication window.
     *
     * @param sendBefore the time from which the attempt may no longer be written; it then ends as not sent
     */
    public void sendAttempt(AttemptId id, IncomingRequest request, double sendBefore) {
        mailbox.post(() -> send(id, request, sendBefore));
    }

    /** Ends an attempt with the given outcome, as its result is no longer needed. Ignored if it has already ended. */
    public void cancelAttempt(AttemptId id, Outcome outcome) {
        mailbox.post(() -> cancel(id, outcome));
    }

    /** Applies a change of the upstream's row in the endpoint list. */
    public void endpointUpdated(InetSocketAddress newAddress, boolean isDraining) {
        mailbox.post(() -> {
            boolean hasAddressChanged = !newAddress.equals(address);
            address = newAddress;
            this.isDraining = isDraining;
            if (hasAddressChanged || isDraining) {
                stopUsingConnections();
            }
        });
    }

    /** Disables the upstream, or enables it again, for an operator call. */
    public void setDisabled(boolean isDisabled) {
        mailbox.post(() -> {
            this.isDisabled = isDisabled;
            if (isDisabled) {
                stopUsingConnections();
            }
        });
    }

    /** Stops using the upstream, which is no longer listed. Attempts that have a connection may finish. */
    public void close() {
        mailbox.post(() -> {
            address = null;
            stopUsingConnections();
        });
    }

    /**
     * Closes idle connections and ends attempts that are waiting for a connect. A late connect might otherwise reach an
     * upstream that has finished draining, or an address that belongs to another upstream by then.
     */
    private void stopUsingConnections() {
        idleConnections.closeAll();
        Map.copyOf(running).forEach((id, attempt) -> {
            if (attempt.connectAttempt != null) {
                cancel(id, Outcome.CONNECT_FAILED);
            }
        });
    }

    /**
     * Returns whether attempts may be sent to the given address. Also checked for the connections of attempts that were
     * sent while the address was still in use.
     */
    private boolean isUsable(InetSocketAddress target) {
        return !isDisabled && !isDraining && target != null && target.equals(address);
    }

    private void send(AttemptId id, IncomingRequest request, double sendBefore) {
        RunningAttempt attempt = new RunningAttempt(request, address, sendBefore);
        running.put(id, attempt);
        if (!isUsable(address)) {
            end(id, attempt, Outcome.CONNECT_FAILED, null);
            return;
        }
        HttpConnection idle = idleConnections.poll();
        if (idle != null) {
            write(id, attempt, idle);
            return;
        }
        attempt.connectAttempt = connector.connect(
                address,
                connectTimeoutSeconds,
                connection -> mailbox.post(() -> handleConnected(id, attempt, connection)),
                () -> mailbox.post(() -> end(id, attempt, Outcome.CONNECT_FAILED, null)));
    }

    private void handleConnected(AttemptId id, RunningAttempt attempt, HttpConnection connection) {
        connection.onClosed(() -> idleConnections.remove(connection));
        attempt.connectAttempt = null;
        if (running.get(id) == attempt && connection.isUsable()) {
            write(id, attempt, connection);
        } else if (connection.isUsable()) {
            keepIdle(attempt.address, connection);
        } else {
            end(id, attempt, Outcome.CONNECT_FAILED, null);
        }
    }

    private void write(AttemptId id, RunningAttempt attempt, HttpConnection connection) {
        SendCheck.Refusal refusal = SendCheck.refusal(
                attempt.request.responder().isOver(),
                loop.now(),
                Math.min(attempt.sendBefore, attempt.request.arrival().deadline()),
                attempt.address,
                isUsable(address) ? address : null,
                connection.peerAddress());
        if (refusal != null) {
            refuse(id, attempt, connection, refusal);
            return;
        }
        attempt.connection = connection;
        connection.beginExchange(
                createCall(attempt.request),
                attempt.request.arrival().deadline(),
                result -> mailbox.post(() -> handleResult(id, attempt, result)));
    }

    private void refuse(AttemptId id, RunningAttempt attempt, HttpConnection connection, SendCheck.Refusal refusal) {
        if (refusal.isFault()) {
            log.warn("attempt not written: reason=" + refusal + " request="
                    + Log.clean(id.request().value()) + " attempt=" + id.index());
            connection.close();
        } else {
            log.debug(() -> "attempt not written: reason=" + refusal + " request="
                    + Log.clean(id.request().value()) + " attempt=" + id.index());
            keepIdle(attempt.address, connection);
        }
        end(id, attempt, refusal.outcome(), null);
    }

    private HttpCall createCall(IncomingRequest request) {
        RequestBody requestBody = request.requestBody();
        HttpCall call = HttpCall.of(request.method(), request.target(), request.body(), requestBody);
        HeaderMap headers = call.headers();
        HeaderForwarding.copy(request.headers(), headers);
        long remainingMillis = (long) Math.max(1, (request.arrival().deadline() - loop.now()) * 1e3);
        headers.put(WireNames.DEADLINE_MS, remainingMillis);
        if (requestBody != null && requestBody.length() < 0) {
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else if (request.method().equals(Methods.POST)) {
            headers.put(Headers.CONTENT_LENGTH, requestBody == null ? request.body().length : requestBody.length());
        }
        return call;
    }

    private void handleResult(AttemptId id, RunningAttempt attempt, HttpResult result) {
        if (running.get(id) != attempt) {
            if (result.streamedBody() != null) {
                result.streamedBody().cancel();
            }
            return;
        }
        HttpConnection connection = attempt.connection;
        if (result.streamedBody() != null) {
            // Refers to the address alone: the request must not stay in memory as long as its response is passed on.
            InetSocketAddress connectedTo = attempt.address;
            connection.onReusable(() -> mailbox.post(() -> keepIdle(connectedTo, connection)));
        } else if (connection.isUsable()) {
            keepIdle(attempt.address, connection);
        }
        end(id, attempt, outcome(result), result);
    }

    /** Returns the outcome that the platform's protocol defines for the result. */
    private static Outcome outcome(HttpResult result) {
        return switch (result.status()) {
            // No complete response was received.
            case 0 -> result.lastByteSent() ? Outcome.CONNECTION_LOST : Outcome.CONNECT_FAILED;
            case StatusCodes.OK -> Outcome.SERVED;
            case StatusCodes.SERVICE_UNAVAILABLE, StatusCodes.GATEWAY_TIME_OUT ->
                WireNames.TRUE.equals(result.headers().getFirst(WireNames.NOT_EXECUTED))
                        ? Outcome.OVERLOADED
                        : Outcome.ERROR;
            default -> Outcome.ERROR;
        };
    }

    private void cancel(AttemptId id, Outcome outcome) {
        RunningAttempt attempt = running.get(id);
        if (attempt == null) {
            return;
        }
        boolean isLastByteSent = attempt.connection != null && attempt.connection.isLastByteSent();
        if (attempt.connectAttempt != null) {
            attempt.connectAttempt.cancel();
        }
        if (attempt.connection != null) {
            attempt.connection.close();
        }
        // An attempt that timed out before it was written completely was provably not executed.
        end(id, attempt, outcome == Outcome.TIMED_OUT && !isLastByteSent ? Outcome.CONNECT_FAILED : outcome, null);
    }

    private void end(AttemptId id, RunningAttempt attempt, Outcome outcome, HttpResult result) {
        if (running.remove(id, attempt)) {
            listener.attemptEnded(id, outcome, result);
        }
    }

    /** Keeps a connection for reuse; closes it if the address it is connected to is no longer in use. */
    private void keepIdle(InetSocketAddress connectedTo, HttpConnection connection) {
        if (isUsable(connectedTo)) {
            idleConnections.add(connection);
        } else {
            connection.close();
        }
    }
}
