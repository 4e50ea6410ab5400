package portrelay.model;

/**
 * The actions that the load balancer requests of its environment. There is one implementing object for each load
 * balancer; it is called on the thread that delivers the events. Each call takes effect at the time of the event that
 * is being handled.
 */
public interface LoadBalancerActions {

    /** Sends an attempt; the attempts of a request are numbered 0, 1, 2 ... in the order of these calls. */
    void sendAttempt(RequestId request, UpstreamId upstream);

    /** Cancels an attempt: its answer is no longer awaited, but the upstream may go on executing it. */
    void cancelAttempt(RequestId request, int attempt);

    /**
     * Sends the client a final answer, which says that the client may repeat the request without a second effect.
     *
     * @param retryAfter seconds after which the client should retry; 0 for no Retry-After
     */
    void reject(RequestId request, double retryAfter);

    /** Sends the client a final answer that leaves open whether the request was executed. */
    void fail(RequestId request);

    /** Requests one call of {@code wakeUp} at or after the given time; the request cannot be cancelled. */
    void wakeUpAt(double time);

    /** Polls discovery; answered by {@code endpointsUpdated}. */
    void pollDiscovery();

    /** Probes an upstream's load; answered by {@code loadReported}. Called only if the settings allow probes. */
    void probeLoad(UpstreamId upstream);

    /**
     * Sends a message of at most 256 bytes to one peer; it may be lost. Called only if the settings allow peer
     * messages.
     */
    void sendToPeer(int sidecar, String text);

    /** Sends a message to all peers; like {@link #sendToPeer} otherwise. */
    void broadcastToPeers(String text);

    /** Whether messages to peers can be sent; once this is true, it stays true. */
    default boolean canSendToPeers() {
        return true;
    }

    /** Closes the idle connections to an upstream, so that the next attempt there opens a new one. */
    void closeIdleConnections(UpstreamId upstream);

    /** Writes a line to the log. */
    void log(String text);
}
