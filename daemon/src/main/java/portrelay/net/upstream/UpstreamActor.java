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
 * One upstream: owns every connection to it, and reports the end of each attempt exactly once. All methods are called
 * on the event loop, return at once and take effect by the mailbox.
 */
public final class UpstreamActor {

    /** Called on the event loop. */
    public interface Listener {

        /**
         * The attempt has ended with that outcome.
         *
         * @param answer null where there is none
         */
        void attemptEnded(AttemptId attempt, Outcome outcome, HttpResult answer);
    }

    /** An attempt that has not ended: it waits for a connect, or has a connection. */
    private static final class RunningAttempt {
        private final IncomingRequest request;
        /** The upstream's address when the attempt was sent; null where the upstream was gone. */
        private final InetSocketAddress address;

        /** From this time on it is not written. */
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
     * For an upstream that is listed now.
     *
     * @param connectTimeoutSeconds 0 for none
     * @param idleTimeoutSeconds after which an idle connection is closed; 0 for never
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
        this.connector = connector;
        this.listener = listener;
        this.connectTimeoutSeconds = connectTimeoutSeconds;
        this.address = address;
        mailbox = new Mailbox(loop, log);
        idleConnections = new IdleConnections(loop, mailbox, connector, idleTimeoutSeconds);
    }

    /** Sends the attempt on an idle connection, or on a new one; the listener is told of its end. */
    public void sendAttempt(AttemptId id, IncomingRequest request) {
        sendAttempt(id, request, Double.POSITIVE_INFINITY);
    }

    /**
     * As {@link #sendAttempt(AttemptId, IncomingRequest)}, within a deduplication window.
     *
     * @param sendBefore from this time on the attempt is not written, but ends as not sent
     */
    public void sendAttempt(AttemptId id, IncomingRequest request, double sendBefore) {
        mailbox.post(() -> send(id, request, sendBefore));
    }

    /** Ends the attempt with that outcome unless it has ended: nobody waits for it any longer. */
    public void cancelAttempt(AttemptId id, Outcome outcome) {
        mailbox.post(() -> cancel(id, outcome));
    }

    /** The endpoint list has this for the upstream from here on. */
    public void endpointUpdated(InetSocketAddress newAddress, boolean isDraining) {
        mailbox.post(() -> {
            boolean hasMoved = !newAddress.equals(address);
            address = newAddress;
            this.isDraining = isDraining;
            if (hasMoved || isDraining) {
                stopUsingConnections();
            }
        });
    }

    /** Operators disable it, or enable it again. */
    public void setDisabled(boolean isDisabled) {
        mailbox.post(() -> {
            this.isDisabled = isDisabled;
            if (isDisabled) {
                stopUsingConnections();
            }
        });
    }

    /** It is no longer listed. What runs there ends by itself. */
    public void close() {
        mailbox.post(() -> {
            address = null;
            stopUsingConnections();
        });
    }

    /**
     * Closes idle connections and ends attempts that wait for a connect. Guards against a connect that is late: it
     * would reach an upstream whose drain is over, or an address that is another's by then.
     */
    private void stopUsingConnections() {
        idleConnections.closeAll();
        Map.copyOf(running).forEach((id, attempt) -> {
            if (attempt.connectAttempt != null) {
                cancel(id, Outcome.CONNECT_FAILED);
            }
        });
    }

    /** Whether anything may be sent to that address; attempts that were sent before it was out of use meet this too. */
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
                connection -> mailbox.post(() -> connected(id, attempt, connection)),
                () -> mailbox.post(() -> end(id, attempt, Outcome.CONNECT_FAILED, null)));
    }

    private void connected(AttemptId id, RunningAttempt attempt, HttpConnection connection) {
        connection.onClosed(() -> idleConnections.remove(connection));
        attempt.connectAttempt = null;
        if (running.get(id) == attempt && connection.isUsable()) {
            write(id, attempt, connection);
        } else if (connection.isUsable()) {
            keepIdle(attempt, connection);
        } else {
            end(id, attempt, Outcome.CONNECT_FAILED, null);
        }
    }

    private void write(AttemptId id, RunningAttempt attempt, HttpConnection connection) {
        if (attempt.request.responder().isOver()) {
            // The client left while the attempt waited for a connection.
            keepIdle(attempt, connection);
            end(id, attempt, Outcome.CANCELLED, null);
            return;
        }
        if (loop.now() >= Math.min(attempt.sendBefore, attempt.request.arrival().deadline())) {
            // The connect took too long: the upstream may have forgotten the key and execute the request twice, or
            // nobody waits for the answer.
            keepIdle(attempt, connection);
            end(id, attempt, Outcome.NOT_SENT, null);
            return;
        }
        attempt.connection = connection;
        connection.beginExchange(call(attempt.request), result -> mailbox.post(() -> answered(id, attempt, result)));
    }

    private HttpCall call(IncomingRequest request) {
        RequestBody requestBody = request.requestBody();
        HttpCall call = HttpCall.of(request.method(), request.target(), request.body(), requestBody);
        HeaderMap headers = call.headers();
        HeaderForwarding.copy(request.headers(), headers);
        long leftMillis = (long) Math.max(1, (request.arrival().deadline() - loop.now()) * 1e3);
        headers.put(WireNames.DEADLINE_MS, leftMillis);
        if (requestBody != null && requestBody.length() < 0) {
            headers.put(Headers.TRANSFER_ENCODING, Headers.CHUNKED.toString());
        } else if (request.method().equals(Methods.POST)) {
            headers.put(Headers.CONTENT_LENGTH, requestBody == null ? request.body().length : requestBody.length());
        }
        return call;
    }

    private void answered(AttemptId id, RunningAttempt attempt, HttpResult result) {
        if (running.get(id) != attempt) {
            if (result.remainder() != null) {
                result.remainder().cancel();
            }
            return;
        }
        if (result.remainder() != null) {
            attempt.connection.onReusable(() -> mailbox.post(() -> keepIdle(attempt, attempt.connection)));
        } else if (attempt.connection.isUsable()) {
            keepIdle(attempt, attempt.connection);
        }
        end(id, attempt, outcome(result), result);
    }

    /** As the platform's protocol defines it. */
    private static Outcome outcome(HttpResult result) {
        return switch (result.status()) {
            // No complete response came.
            case 0 -> result.requestWritten() ? Outcome.CONNECTION_LOST : Outcome.CONNECT_FAILED;
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
        boolean isWritten = attempt.connection != null && attempt.connection.isRequestWritten();
        if (attempt.connectAttempt != null) {
            attempt.connectAttempt.cancel();
        }
        if (attempt.connection != null) {
            attempt.connection.close();
        }
        // What timed out before it was written was provably not executed.
        end(id, attempt, outcome == Outcome.TIMED_OUT && !isWritten ? Outcome.CONNECT_FAILED : outcome, null);
    }

    private void end(AttemptId id, RunningAttempt attempt, Outcome outcome, HttpResult answer) {
        if (running.remove(id, attempt)) {
            listener.attemptEnded(id, outcome, answer);
        }
    }

    /** Unless the attempt's address, for which the connection was made, is out of use by now: then closes it. */
    private void keepIdle(RunningAttempt attempt, HttpConnection connection) {
        if (isUsable(attempt.address)) {
            idleConnections.add(connection);
        } else {
            connection.close();
        }
    }
}
