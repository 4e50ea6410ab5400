package portrelay.net.client;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.EventLoop;
import portrelay.shutdown.Shutdown;

/**
 * Decides whether connections of clients are kept, from readiness, the operators' out-of-service switch and the
 * shutdown. Closes idle connections while the sidecar is out of service.
 */
final class ServiceState {

    /** Time after the switch during which clients may still send, as they act on the readiness that they saw last. */
    private static final double OUT_OF_SERVICE_GRACE_SECONDS = 0.6;
    /** Idle time after which a connection is closed while out of service; a new one may be silent for as long. */
    private static final double MAX_IDLE_SECONDS = 0.2;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final Shutdown shutdown;

    private boolean isReady;
    private boolean isInService = true;
    /** Number of the last switch; timers of earlier switches have no effect. */
    private int switchNumber;

    ServiceState(EventLoop loop, ClientConnections connections, Shutdown shutdown) {
        this.loop = loop;
        this.connections = connections;
        this.shutdown = shutdown;
    }

    void setReady(boolean ready) {
        isReady = ready;
    }

    /** Whether a readiness request is answered with status 200 rather than 503. */
    boolean isReady() {
        return isReady && isInService;
    }

    /**
     * Takes the sidecar out of service or puts it back. Out of service, requests are still served, but each response
     * ends its connection, and idle connections are closed once the requests that clients had already sent have
     * arrived.
     */
    void setInService(boolean inService) {
        if (inService != isInService) {
            isInService = inService;
            int current = ++switchNumber;
            loop.schedule(OUT_OF_SERVICE_GRACE_SECONDS, () -> closeIdle(current));
        }
    }

    private void closeIdle(int scheduledFor) {
        if (!isInService && scheduledFor == switchNumber) {
            connections.closeIdle(ConnectionCapacity.Cause.NOT_NEEDED, MAX_IDLE_SECONDS, Integer.MAX_VALUE);
            loop.schedule(MAX_IDLE_SECONDS, () -> closeIdle(scheduledFor));
        }
    }

    /** Whether a connection ends as soon as no response is due on it. */
    boolean closesConnections() {
        return shutdown.closesConnections() || !isInService;
    }

    /**
     * Makes the response the last one of its connection if connections are to end; not if more requests have been read
     * after this one, as they are due a response too.
     */
    void endConnectionIfDue(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        if (closesConnections() && !RequestFramingFilter.of(connection).holdsBytes()) {
            exchange.setPersistent(false);
        }
    }
}
