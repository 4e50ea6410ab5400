package portrelay.net.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.EventLoop;
import portrelay.shutdown.Shutdown;

/**
 * Whether clients are to stay: readiness, operators' out-of-service switch and the shutdown, and the closing of idle
 * connections while the sidecar is out of service.
 */
final class ServiceState {

    /** For so long after the switch clients may still send, by the readiness that they saw last. */
    private static final double GRACE_SECONDS = 0.6;
    /** A connection that has been idle for so long is closed; a new one may be silent for as long. */
    private static final double IDLE_SECONDS = 0.2;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final Shutdown shutdown;

    private boolean isReady;
    private boolean isInService = true;
    /** Number of the last switch: a timer of an earlier one does nothing. */
    private int generation;

    ServiceState(EventLoop loop, ClientConnections connections, Shutdown shutdown) {
        this.loop = loop;
        this.connections = connections;
        this.shutdown = shutdown;
    }

    void setReady(boolean ready) {
        isReady = ready;
    }

    /** What a readiness request is answered. */
    boolean isReady() {
        return isReady && isInService;
    }

    /**
     * Out of service, requests are still served, but each response ends its connection, and idle connections are closed
     * as soon as what clients had sent by then has arrived.
     */
    void setInService(boolean inService) {
        if (inService != isInService) {
            isInService = inService;
            int current = ++generation;
            loop.schedule(GRACE_SECONDS, () -> closeIdle(current));
        }
    }

    private void closeIdle(int scheduledFor) {
        if (!isInService && scheduledFor == generation) {
            connections.closeIdle(ConnectionCapacity.Cause.NOT_NEEDED, IDLE_SECONDS, Integer.MAX_VALUE);
            loop.schedule(IDLE_SECONDS, () -> closeIdle(scheduledFor));
        }
    }

    /** Whether a connection is to end once nothing is owed on it. */
    boolean closesConnections() {
        return shutdown.closesConnections() || !isInService;
    }

    /**
     * Makes the response the last one of its connection where that is to end; not where more requests have been read
     * behind this one, as those are owed a response too.
     */
    void endConnectionIfDue(HttpServerExchange exchange) {
        if (closesConnections() && ((HttpServerConnection) exchange.getConnection()).getExtraBytes() == null) {
            exchange.setPersistent(false);
        }
    }
}
