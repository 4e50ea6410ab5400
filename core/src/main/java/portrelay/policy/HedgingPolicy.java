package portrelay.policy;

import portrelay.model.AdaptiveLimit;
import portrelay.model.AttemptRules;
import portrelay.model.RequestClass;

/** Decides whether and when a request gets a hedged attempt. */
final class HedgingPolicy {

    /** Upper bound on the time from the first attempt to the hedged one, however late the deadline is. */
    private static final double MAX_DELAY_SECONDS = 1.0;

    /** Share of the latency objective after which an attempt counts as slow. */
    private static final double SLOW_OBJECTIVE_SHARE = 0.6;

    private final AttemptRules rules;
    private final LoadEstimator load;
    private final AdaptiveLimit concurrencyLimit;

    HedgingPolicy(AttemptRules rules, LoadEstimator load, AdaptiveLimit concurrencyLimit) {
        this.rules = rules;
        this.load = load;
        this.concurrencyLimit = concurrencyLimit;
    }

    /** Whether requests of the class may be hedged. */
    boolean allows(RequestClass requestClass) {
        return requestClass.idempotency() != RequestClass.Idempotency.UNSAFE && rules.concurrentAttemptsAllowed();
    }

    /**
     * Returns the seconds from the first attempt to the hedged one: half of the time from arrival to the deadline, up
     * to a fixed maximum. Where the load of the fleet is known, a slow attempt is hedged earlier.
     */
    double delaySeconds(OpenRequest request) {
        double budgetSeconds = request.arrival.deadline() - request.arrivedAt;
        double delay = Math.min(MAX_DELAY_SECONDS, budgetSeconds / 2);
        return load.isFleetLoadKnown() ? Math.min(delay, slowAfterSeconds(request.requestClass)) : delay;
    }

    /** Whether another attempt is useful: a request gets one hedge at most, and none while the whole fleet is slow. */
    boolean isUseful(OpenRequest request) {
        if (!request.hasAttemptInFlight()) {
            return true;
        }
        // If the whole fleet is slow, hedges would only double its load.
        boolean isFleetSlow = !load.isFleetLoadKnown() && concurrencyLimit.isOverloaded();
        return request.attempts.size() <= 1 && !isFleetSlow;
    }

    /**
     * Returns the seconds in flight after which an attempt is slow. Where the load of the fleet is known, a slow
     * attempt is hedged; a slow attempt that is cancelled counts as failed.
     */
    static double slowAfterSeconds(RequestClass requestClass) {
        return requestClass.latencyObjective() * SLOW_OBJECTIVE_SHARE;
    }
}
