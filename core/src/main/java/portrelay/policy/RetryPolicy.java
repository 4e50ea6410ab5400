package portrelay.policy;

import portrelay.model.AttemptRules;
import portrelay.model.Endpoint;
import portrelay.model.RequestClass;

/** Decides whether a request may be sent again without a second effect, and how it ends if it gets no attempt. */
final class RetryPolicy {

    /** Retry-After as a share of the latency objective: by then there may be capacity elsewhere in the fleet. */
    private static final double RETRY_AFTER_OBJECTIVE_SHARE = 0.1;

    private final AttemptRules rules;
    private final LoadEstimator load;

    RetryPolicy(AttemptRules rules, LoadEstimator load) {
        this.rules = rules;
        this.load = load;
    }

    /**
     * Whether the request may be sent to the upstream. Prevents a request from having its effect twice: if an attempt
     * may have been executed, a keyed request may be sent again only to upstreams that recognise the repeat, and only
     * within the deduplication window; an unsafe request is not sent again.
     */
    boolean allowsAttempt(OpenRequest request, UpstreamState upstream, double nowSeconds) {
        int maxAttempts = request.arrival.singleAttempt() ? 1 : rules.maxAttempts();
        if (request.attempts.size() >= maxAttempts || nowSeconds >= request.arrival.deadline()) {
            return false;
        }
        Attempt possiblyExecuted = request.firstPossiblyExecuted();
        if (possiblyExecuted == null) {
            return true;
        }
        if (!rules.concurrentAttemptsAllowed() && request.hasAttemptInFlight()) {
            return false;
        }
        RequestClass requestClass = request.requestClass;
        return switch (requestClass.idempotency()) {
            case SAFE -> true;
            case UNSAFE -> false;
            case KEYED ->
                nowSeconds < possiblyExecuted.sentAt + requestClass.deduplicationWindow()
                        && recognisesRepeat(requestClass, possiblyExecuted, upstream.endpoint);
        };
    }

    /**
     * Whether an upstream recognises the repeat of a keyed attempt that may have been executed. Where the upstream of
     * that attempt has been restarted, either process may have executed it: the list tells late.
     */
    private static boolean recognisesRepeat(RequestClass requestClass, Attempt executed, Endpoint repeatedAt) {
        return requestClass.sharesDeduplication(executed.endpoint, repeatedAt)
                && (!executed.isUpstreamRestarted()
                        || requestClass.sharesDeduplication(executed.upstream.endpoint, repeatedAt));
    }

    /** Whether the client may repeat the request at any upstream without a second effect. */
    boolean isSafeToRepeat(OpenRequest request) {
        RequestClass requestClass = request.requestClass;
        boolean isDeduplicatedEverywhere = requestClass.idempotency() == RequestClass.Idempotency.KEYED
                && requestClass.deduplicationScope() == RequestClass.DeduplicationScope.ALL;
        return requestClass.idempotency() == RequestClass.Idempotency.SAFE
                || isDeduplicatedEverywhere
                || request.firstPossiblyExecuted() == null;
    }

    /** Returns the seconds after which the client should retry, for the Retry-After header. */
    double retryAfterSeconds(OpenRequest request) {
        // Without a known load of the fleet, it is unknown when capacity becomes free.
        double expectedSeconds = load.isFleetLoadKnown()
                ? request.requestClass.latencyObjective() * RETRY_AFTER_OBJECTIVE_SHARE
                : Double.POSITIVE_INFINITY;
        return Math.min(rules.maxRetryAfter(), expectedSeconds);
    }
}
