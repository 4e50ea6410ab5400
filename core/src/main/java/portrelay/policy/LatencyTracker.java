package portrelay.policy;

import portrelay.model.Outcome;
import portrelay.model.RequestClass;
import portrelay.model.Samples;
import portrelay.model.TypicalLatencies;

/**
 * Tracks how long requests take: the typical latency of each class over all upstreams, and two ratios that compare an
 * upstream with the others. The latency ratio is the latency of an attempt of this sidecar, divided by the latency that
 * was expected at its upstream when it was sent. The duration ratio, which peers report as well, is the duration of an
 * attempt divided by the typical latency of its class and by the number of attempts in flight at the upstream.
 */
final class LatencyTracker {

    /** Latency ratio at or above which an upstream itself is slow: its load alone does not explain the latency. */
    static final double SLOW_LATENCY_RATIO = 2;

    /** More than one, as a single slow answer may be due to a new connection or to cold code. */
    private static final int MIN_SLOW_SAMPLES = 2;

    /** Older samples are ignored, as the upstream may have recovered since. */
    private static final double MAX_SAMPLE_AGE_SECONDS = 5;

    /** Upper bound on a single latency ratio sample. */
    private static final double MAX_LATENCY_RATIO_SAMPLE = 4;

    private static final int FLEET_DURATION_SAMPLES = 128;

    /** Weight, in samples, of the mean over all upstreams in the mean of each upstream. */
    private static final double FLEET_DURATION_PRIOR_SAMPLES = 2;

    /** The latency objective divided by the latency that is assumed before any is known. */
    private static final double OBJECTIVE_TO_PRIOR_RATIO = 3;

    private final TypicalLatencies typicalLatencies;
    private final Samples fleetDurationRatios = new Samples(FLEET_DURATION_SAMPLES);

    LatencyTracker(int requestClassCount) {
        typicalLatencies = new TypicalLatencies(requestClassCount);
    }

    /** Returns the mean latency of served requests of the class, in seconds; the prior counts as one sample. */
    double typicalSeconds(RequestClass requestClass, double priorSeconds) {
        return typicalLatencies.mean(requestClass.id(), 1, priorSeconds);
    }

    /** Returns the mean latency of served requests of the class, with a prior derived from the latency objective. */
    double typicalSeconds(RequestClass requestClass) {
        return typicalSeconds(requestClass, requestClass.latencyObjective() / OBJECTIVE_TO_PRIOR_RATIO);
    }

    /** Returns the upstream's mean recent latency ratio; 1 if there are no recent samples. */
    double latencyRatio(UpstreamState upstream, double nowSeconds) {
        return upstream.latencyRatios.mean(nowSeconds - MAX_SAMPLE_AGE_SECONDS, 1, 1);
    }

    /**
     * Whether the upstream itself is slow: its mean recent latency ratio is high, and so is more than one sample.
     *
     * @param latencyRatio the result of {@link #latencyRatio} for the same upstream and time
     */
    boolean isSlow(UpstreamState upstream, double latencyRatio, double nowSeconds) {
        return latencyRatio >= SLOW_LATENCY_RATIO
                && upstream.latencyRatios.countAtLeast(SLOW_LATENCY_RATIO, nowSeconds - MAX_SAMPLE_AGE_SECONDS)
                        >= MIN_SLOW_SAMPLES;
    }

    /** Returns the upstream's mean recent duration ratio; the mean over all upstreams counts as a few samples. */
    double durationRatio(UpstreamState upstream, double nowSeconds) {
        return upstream.durationRatios.mean(
                nowSeconds - MAX_SAMPLE_AGE_SECONDS, FLEET_DURATION_PRIOR_SAMPLES, fleetDurationRatios.mean(1));
    }

    /** Records the latency of an attempt; an unanswered one counts only if it exceeds the expected latency. */
    void attemptEnded(OpenRequest request, Attempt attempt, double nowSeconds) {
        double elapsedSeconds = nowSeconds - attempt.sentAt;
        double normalizedSeconds = elapsedSeconds / attempt.expectedLatencyRatio;
        boolean isServed = attempt.outcome == Outcome.SERVED;
        double expectedSeconds = attempt.expectedLatencyRatio
                * typicalLatencies.mean(request.arrival.requestClass(), 0, normalizedSeconds);
        if (isServed) {
            typicalLatencies.record(request.arrival.requestClass(), nowSeconds, normalizedSeconds);
        }
        if (expectedSeconds > 0
                && (isServed || !attempt.outcome.provablyNotExecuted && elapsedSeconds > expectedSeconds)) {
            attempt.upstream.latencyRatios.add(
                    nowSeconds, Math.min(elapsedSeconds / expectedSeconds, MAX_LATENCY_RATIO_SAMPLE));
        }
    }

    /**
     * Records the duration ratio of an attempt of any sidecar. For an attempt that was not served the duration is only
     * a lower bound, so it counts only if it exceeds the upstream's mean.
     */
    void recordDuration(UpstreamState upstream, boolean isServed, double durationRatio, double nowSeconds) {
        if (isServed || durationRatio > durationRatio(upstream, nowSeconds)) {
            upstream.durationRatios.add(nowSeconds, durationRatio);
            // An unanswered attempt is a sign of the state of its upstream, not of the fleet.
            fleetDurationRatios.add(isServed ? durationRatio : fleetDurationRatios.mean(1));
        }
    }
}
