package portrelay.model;

/**
 * What the settings allow for the attempts of a request.
 *
 * @param maxAttempts at least 1, the first included
 * @param cancelAllowed whether attempts may be cancelled
 * @param concurrentAttemptsAllowed whether a request may have several attempts in flight
 * @param probesAllowed whether upstreams may be probed for their load; decisions read {@link Topology#probesAllowed}
 *     instead
 * @param maxRetryAfter seconds that a rejected client may be told to wait at most; 0 where clients take no advice
 */
public record AttemptRules(
        int maxAttempts,
        boolean cancelAllowed,
        boolean concurrentAttemptsAllowed,
        boolean probesAllowed,
        double maxRetryAfter) {}
