package portrelay.model;

/**
 * The settings for the use of discovery.
 *
 * @param polled whether changes are delivered only in answer to a poll
 * @param maxAge seconds after which a sidecar is assumed to know a change, whether it has polled or not
 */
public record DiscoveryRules(boolean polled, double maxAge) {

    /** The first backoff before jitter, which reduces it by up to half. */
    private static final double FIRST_BACKOFF_SECONDS = 0.5;

    /**
     * The upper bound of the backoff. A sidecar must know a change within 6 s after discovery has it and is reachable;
     * this bound leaves time for a connection attempt of 1 s that has just begun, a backoff and the answer.
     */
    private static final double MAX_BACKOFF_SECONDS = 0.75;

    /** Prevents an overflow of the shift; the maximum backoff is reached long before. */
    private static final int MAX_DOUBLINGS = 8;

    /**
     * Returns the seconds from a failed poll to the next one. Each sidecar adds its own jitter, so that sidecars whose
     * polls failed at the same time do not retry at the same time.
     *
     * @param failures the number of consecutive failed polls before this one
     * @param draw a random number, uniformly distributed from 0 to 1
     */
    public double backoff(int failures, double draw) {
        double maxBackoff = Math.min(MAX_BACKOFF_SECONDS, Math.max(FIRST_BACKOFF_SECONDS, maxAge / 4));
        double doubled = FIRST_BACKOFF_SECONDS * (1 << Math.min(failures, MAX_DOUBLINGS));
        return Math.min(maxBackoff, doubled) * (0.5 + draw / 2);
    }
}
