package portrelay.net.lifecycle;

import portrelay.net.handover.HandoverService.Sibling;

/**
 * Divides the process's file descriptors between operator calls, upstreams and clients. While a sibling process of the
 * same sidecar is alive, the two processes share one limit. Upstreams may use up to half of the connections. Clients
 * may use those that upstreams do not hold, except for a spare part that is kept free for the next connects to
 * upstreams. Used on the event loop, and before the event loop runs by the thread that starts the sidecar.
 */
final class DescriptorBudget {

    /** Descriptors reserved for the JVM itself and for the connections to discovery. */
    private static final int RESERVED = 64;

    /** Upper bound of the reserve as a share of the limit; it applies to small limits. */
    private static final double MAX_RESERVED_SHARE = 0.25;

    private static final int MAX_ADMIN_CONNECTIONS = 48;
    /** Operators get at most this process's share of the limit divided by this. */
    private static final int ADMIN_DIVISOR = 8;
    /** Long bodies get at most the connections to upstreams divided by this. */
    private static final int STREAMED_BODIES_DIVISOR = 2;
    /** The number of connections divided by this is kept free for connects to upstreams. */
    private static final int SPARE_DIVISOR = 16;
    /** While a sibling serves, clients get at least the whole limit divided by this. */
    private static final int GUARANTEED_CLIENTS_DIVISOR = 4;

    private final int limit;
    private final boolean hasAdminEndpoint;
    private Sibling sibling;

    /** @param limit number of descriptors that all processes of this sidecar may hold together */
    DescriptorBudget(int limit, boolean hasAdminEndpoint, Sibling sibling) {
        this.limit = limit;
        this.hasAdminEndpoint = hasAdminEndpoint;
        this.sibling = sibling;
    }

    void siblingChanged(Sibling sibling) {
        this.sibling = sibling;
    }

    /** Returns the number of connections that operators may hold; 0 without an admin endpoint. */
    int maxAdminConnections() {
        return hasAdminEndpoint ? Math.min(MAX_ADMIN_CONNECTIONS, ownShare() / ADMIN_DIVISOR) : 0;
    }

    int maxUpstreamConnections() {
        return maxConnections() / 2;
    }

    /**
     * Returns the number of connections to upstreams that may be held by requests whose bodies are forwarded while they
     * are received; the others are left to requests that hold one for the time of an upstream's work.
     */
    int maxStreamedBodies() {
        return Math.max(1, maxUpstreamConnections() / STREAMED_BODIES_DIVISOR);
    }

    /**
     * Returns the number of connections that clients may hold.
     *
     * @param openUpstreamConnections number of connections to upstreams that are open or being opened
     */
    int maxClientConnections(int openUpstreamConnections) {
        int total = maxConnections();
        int available = total - total / SPARE_DIVISOR - openUpstreamConnections;
        // Clients that the sibling loses reconnect to this process, so both together hold no more than before.
        int guaranteed = sibling == Sibling.SERVING ? limit / GUARANTEED_CLIENTS_DIVISOR : 1;
        return Math.max(guaranteed, available);
    }

    /**
     * Returns this process's share of the limit: a starting sibling needs only its reserve, a serving one needs as much
     * as this process.
     */
    private int ownShare() {
        return switch (sibling) {
            case NONE -> limit;
            case STARTING -> limit - Math.min(RESERVED, limit / 2);
            case SERVING -> limit / 2;
        };
    }

    /** Returns the number of connections that clients and upstreams may hold together. */
    private int maxConnections() {
        int reserved = (int) Math.min(RESERVED, MAX_RESERVED_SHARE * ownShare());
        return Math.max(2, ownShare() - reserved - maxAdminConnections());
    }
}
