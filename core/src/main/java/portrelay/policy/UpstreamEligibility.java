package portrelay.policy;

import portrelay.model.AdaptiveLimit;

/** Decides which upstreams may get an attempt, and whether there is capacity for one. */
final class UpstreamEligibility {

    private final EndpointTable endpoints;
    private final Subset subset;
    private final CandidateWindow candidates;
    private final RetryPolicy retries;
    private final SlowStart slowStart;
    private final LoadEstimator load;
    private final AdaptiveLimit concurrencyLimit;

    UpstreamEligibility(FleetState fleet, RetryPolicy retries, AdaptiveLimit concurrencyLimit) {
        this.endpoints = fleet.endpoints();
        this.subset = fleet.subset();
        this.candidates = fleet.candidates();
        this.retries = retries;
        this.slowStart = fleet.slowStart();
        this.load = fleet.load();
        this.concurrencyLimit = concurrencyLimit;
    }

    /** Whether the concurrency limit allows another attempt; those at unresponsive upstreams do not count. */
    boolean hasCapacity(double nowSeconds) {
        return concurrencyLimit.hasCapacity(0)
                || concurrencyLimit.hasCapacity(load.unresponsiveInFlight(endpoints.busy(), nowSeconds));
    }

    /** Whether the upstream may get an attempt of the request. */
    boolean isEligible(OpenRequest request, UpstreamState upstream, double nowSeconds) {
        return upstream.isReady
                && subset.contains(upstream)
                && !request.wasSentTo(upstream)
                && retries.allowsAttempt(request, upstream, nowSeconds)
                && !slowStart.isCreditSpent(upstream, nowSeconds);
    }

    /**
     * Whether the upstream gets only trial requests as long as other upstreams are available: it is not ready, ejected
     * or unresponsive.
     */
    boolean isAvoided(UpstreamState upstream, double nowSeconds) {
        return !upstream.isReady || upstream.isEjected() || load.isUnresponsive(upstream, nowSeconds);
    }

    /** Whether every candidate of the subset is avoided, or is warming up without credit for an attempt. */
    boolean areAllAvoided(double nowSeconds) {
        return candidates.subsetUpstreams().stream()
                .allMatch(each -> isAvoided(each, nowSeconds) || slowStart.isCreditSpent(each, nowSeconds));
    }
}
