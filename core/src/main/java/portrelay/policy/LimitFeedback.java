package portrelay.policy;

import portrelay.model.AdaptiveLimit;
import portrelay.model.Outcome;

/** Reports ended attempts to the concurrency limit: late attempts lower it, unless only their upstream is at fault. */
final class LimitFeedback {

    /** Share of the latency objective above which an attempt is late. */
    private static final double LATE_OBJECTIVE_SHARE = 0.45;

    private final AdaptiveLimit concurrencyLimit;
    private final LatencyTracker latencies;

    LimitFeedback(AdaptiveLimit concurrencyLimit, LatencyTracker latencies) {
        this.concurrencyLimit = concurrencyLimit;
        this.latencies = latencies;
    }

    /** Reports an ended attempt. Must be called before the latency of the attempt is recorded. */
    void attemptEnded(OpenRequest request, Attempt attempt, boolean isUpstreamWarm, double nowSeconds) {
        UpstreamState upstream = attempt.upstream;
        boolean isServed = attempt.outcome == Outcome.SERVED;
        // If enough later attempts were answered promptly, this one is lost rather than queued: lowering the limit
        // would not help.
        boolean isLost = !isServed && upstream.promptSendTimes.allAbove(attempt.sentAt);
        double lateAfterSeconds = request.requestClass.latencyObjective() * LATE_OBJECTIVE_SHARE;
        boolean isLate = nowSeconds - attempt.sentAt > lateAfterSeconds && !isLost;
        if (isServed && !isLate) {
            upstream.promptSendTimes.add(nowSeconds, attempt.sentAt);
        }
        // If no sidecar has had an answer from this upstream since the attempt was sent, the upstream is unresponsive,
        // which does not show that the fleet is overloaded.
        boolean isUnresponsive = !isServed && upstream.peerInFlight.unansweredSince(attempt.sentAt);
        boolean isSlowUpstream = latencies.latencyRatio(upstream, nowSeconds) >= LatencyTracker.SLOW_LATENCY_RATIO;
        boolean reflectsFleetLoad = isUpstreamWarm && !isUnresponsive && !isSlowUpstream;
        concurrencyLimit.attemptEnded(nowSeconds, attempt.sentAt, isLate, reflectsFleetLoad);
    }
}
