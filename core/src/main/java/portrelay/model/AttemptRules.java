package portrelay.model;

/**
 * The settings that restrict the attempts of a request.
 *
 * @param maxAttempts the maximum number of attempts including the first; at least 1
 * @param cancelAllowed whether attempts may be cancelled
 * @param concurrentAttemptsAllowed whether a request may have several attempts in flight at the same time
 * @param probesAllowed whether upstreams may be probed for their load; decisions read {@link Topology#probesAllowed}
 *     instead
 * @param maxRetryAfter the largest Retry-After that a rejected client may be given, in seconds; 0 if clients do not
 *     honour it
 */
public record AttemptRules(
        int maxAttempts,
        boolean cancelAllowed,
        boolean concurrentAttemptsAllowed,
        boolean probesAllowed,
        double maxRetryAfter) {}
