package portrelay.policy;

import portrelay.model.Outcome;
import portrelay.model.RequestClass;
import portrelay.model.Samples;
import portrelay.model.TypicalLatencies;

/**
 * How long requests take: for each class over all upstreams, and for each upstream against the others by two ratios.
 * The latency ratio is a latency of this sidecar over the one expected there at the time; the duration ratio, which
 * peers report too, is a duration over the typical latency of its class, for each attempt in flight.
 */
final class LatencyTracker {

    /** Latency ratio from which on an upstream is slow by itself, and not because of its load. */
    static final double SLOW_LATENCY_RATIO = 2;

    /** One slow answer may be that of a new connection, or of cold code. */
    private static final int MIN_SLOW_SAMPLES = 2;

    /** Older samples of an upstream are ignored: it may have recovered. */
    private static final double MAX_SAMPLE_AGE_SECONDS = 5;

    /** One latency counts at most so many times the expected one. */
    private static final double MAX_LATENCY_RATIO_SAMPLE = 4;

    private static final int FLEET_DURATION_SAMPLES = 128;

    /** The mean over all upstreams counts as so many samples of each. */
    private static final double FLEET_DURATION_PRIOR_SAMPLES = 2;

    /** The latency objective over the latency that is assumed before any is known. */
    private static final double OBJECTIVE_OVER_PRIOR = 3;

    private final TypicalLatencies typicalLatencies;
    private final Samples fleetDurationRatios = new Samples(FLEET_DURATION_SAMPLES);

    LatencyTracker(int requestClasses) {
        typicalLatencies = new TypicalLatencies(requestClasses);
    }

    /** Seconds that a served request of the class takes; the prior counts as one sample. */
    double typicalSeconds(RequestClass requestClass, double priorSeconds) {
        return typicalLatencies.mean(requestClass.id(), 1, priorSeconds);
    }

    /** The same, with a prior from the latency objective. */
    double typicalSeconds(RequestClass requestClass) {
        return typicalSeconds(requestClass, requestClass.latencyObjective() / OBJECTIVE_OVER_PRIOR);
    }

    /** The upstream's recent latency over the expected one; 1 where nothing is known. */
    double latencyRatio(UpstreamState upstream, double nowSeconds) {
        return upstream.latencyRatios.mean(nowSeconds - MAX_SAMPLE_AGE_SECONDS, 1, 1);
    }

    /**
     * Whether the upstream is slow by itself: its recent latencies are, and more than one of them.
     *
     * @param latencyRatio that of {@link #latencyRatio} at the time
     */
    boolean isSlow(UpstreamState upstream, double latencyRatio, double nowSeconds) {
        return latencyRatio >= SLOW_LATENCY_RATIO
                && upstream.latencyRatios.countAtLeast(SLOW_LATENCY_RATIO, nowSeconds - MAX_SAMPLE_AGE_SECONDS)
                        >= MIN_SLOW_SAMPLES;
    }

    /** The upstream's recent duration per attempt in flight, over the typical latency. */
    double durationRatio(UpstreamState upstream, double nowSeconds) {
        return upstream.durationRatios.mean(
                nowSeconds - MAX_SAMPLE_AGE_SECONDS, FLEET_DURATION_PRIOR_SAMPLES, fleetDurationRatios.mean(1));
    }

    /** Records an attempt's latency; that of an unanswered one counts where it is above the mean already. */
    void attemptEnded(OpenRequest request, Attempt attempt, double nowSeconds) {
        double elapsed = nowSeconds - attempt.sentAt;
        double perExpected = elapsed / attempt.expectedLatencyRatio;
        boolean isServed = attempt.outcome == Outcome.SERVED;
        double expected =
                attempt.expectedLatencyRatio * typicalLatencies.mean(request.arrival.requestClass(), 0, perExpected);
        if (isServed) {
            typicalLatencies.record(request.arrival.requestClass(), nowSeconds, perExpected);
        }
        if (expected > 0 && (isServed || !attempt.outcome.provablyNotExecuted && elapsed > expected)) {
            attempt.upstream.latencyRatios.add(nowSeconds, Math.min(elapsed / expected, MAX_LATENCY_RATIO_SAMPLE));
        }
    }

    /** Records the duration of an attempt of any sidecar; one that was given up took that long at least. */
    void recordDuration(UpstreamState upstream, boolean isServed, double durationRatio, double nowSeconds) {
        if (isServed || durationRatio > durationRatio(upstream, nowSeconds)) {
            upstream.durationRatios.add(nowSeconds, durationRatio);
            // An unanswered attempt shows the state of its upstream, not of the fleet.
            fleetDurationRatios.add(isServed ? durationRatio : fleetDurationRatios.mean(1));
        }
    }
}
