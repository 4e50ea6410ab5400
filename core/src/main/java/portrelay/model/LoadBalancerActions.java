package portrelay.model;

/**
 * What the load balancer makes its environment do. Implemented once for each instance; called on the thread that
 * delivers events. Each call takes effect at the time of the event that is being handled.
 */
public interface LoadBalancerActions {

    /** Sends an attempt; those of one request are numbered 0, 1, 2 ... in the order of these calls. */
    void sendAttempt(RequestId request, UpstreamId upstream);

    /** Waits for an attempt no more; the upstream may go on executing it. */
    void cancelAttempt(RequestId request, int attempt);

    /**
     * Final answer that tells the client that repeating the request has no second effect.
     *
     * @param retryAfter seconds after which to come back; 0 gives no advice
     */
    void reject(RequestId request, double retryAfter);

    /** Final answer that leaves open whether the request was executed. */
    void fail(RequestId request);

    /** Requests one call of {@code wakeUp} at the time or later; it cannot be cancelled. */
    void wakeUpAt(double time);

    /** Polls discovery; answered by {@code endpointsUpdated}. */
    void pollDiscovery();

    /** Probes an upstream's load; answered by {@code loadReported}. Only where the settings allow probes. */
    void probeLoad(UpstreamId upstream);

    /** Sends 256 bytes at most to one other sidecar; may be lost. Only where the settings allow messages. */
    void sendToPeer(int sidecar, String text);

    /** The same to all other sidecars. */
    void broadcastToPeers(String text);

    /** Whether messages to peers leave at all; once they do, they do so from then on. */
    default boolean canSendToPeers() {
        return true;
    }

    /** Closes the idle connections to an upstream: the next attempt there opens a new one. */
    void closeIdleConnections(UpstreamId upstream);

    void log(String text);
}
