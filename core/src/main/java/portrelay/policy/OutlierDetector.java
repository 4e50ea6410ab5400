package portrelay.policy;

import portrelay.model.Outcome;
import portrelay.model.RequestState;
import portrelay.model.Samples;
import portrelay.model.SequentialTest;

/**
 * Ejects upstreams that fail, or whose first attempts are overtaken by hedged attempts. Trial requests show when an
 * ejected upstream has recovered.
 */
final class OutlierDetector {

    /** Time from an ejection, or from a failed trial request, to the next trial request. */
    private static final double EJECTION_SECONDS = 5.0;

    /** Number of recent attempts, over all upstreams, that the usual failure share is measured on. */
    private static final int FLEET_SAMPLES = 64;

    /** Lower bound on the usual failure share, as a few samples may contain no failure. */
    private static final double MIN_FLEET_FAILURE_SHARE = 0.05;
    /** Upper bound on the usual failure share, so that an upstream that nearly always fails still stands out. */
    private static final double MAX_FLEET_FAILURE_SHARE = 0.2;

    private static final SequentialTest FAILURE_TEST =
            new SequentialTest(UpstreamState.EJECTION_EVIDENCE, MIN_FLEET_FAILURE_SHARE, MAX_FLEET_FAILURE_SHARE);

    /** 1 for each recent attempt of any upstream that failed, 0 for each that did not. */
    private final Samples fleetFailures = new Samples(FLEET_SAMPLES);

    /** Records an ended attempt. The outcome of the attempt must already be set. */
    void attemptEnded(OpenRequest request, Attempt attempt, double nowSeconds) {
        UpstreamState upstream = attempt.upstream;
        boolean isServed = attempt.outcome == Outcome.SERVED;
        boolean isConnectFailed = attempt.outcome == Outcome.CONNECT_FAILED;
        boolean isFailed = isConnectFailed
                || !isServed && !attempt.outcome.provablyNotExecuted && attempt.outcome != Outcome.CANCELLED;
        if ((isServed || isFailed) && attempt.sentAt >= upstream.observedSince) {
            recordOutcome(upstream, isFailed, nowSeconds);
        }
        if (isConnectFailed) {
            upstream.failureEvidence = UpstreamState.EJECTION_EVIDENCE;
        } else if (attempt.isTrial && isServed) {
            upstream.failureEvidence = 0;
        }
        if (isConnectFailed || attempt.isTrial) {
            upstream.ejectedUntil = nowSeconds + EJECTION_SECONDS;
        }
        upstream.isTrialInFlight &= !attempt.isTrial;
        if (isServed) {
            recordHedgeResult(request, attempt, nowSeconds);
        }
    }

    /**
     * Records an outcome for Wald's sequential test against the failure share of all upstreams. The test also detects
     * failing upstreams in sidecars with little traffic, where each answer between two failures clears the count of
     * lost hedges.
     */
    void recordOutcome(UpstreamState upstream, boolean isFailed, double nowSeconds) {
        boolean wasEjected = upstream.isEjected();
        upstream.failureEvidence =
                FAILURE_TEST.evidenceAfter(upstream.failureEvidence, fleetFailures.mean(0), isFailed);
        fleetFailures.add(nowSeconds, isFailed ? 1 : 0);
        if (!wasEjected && upstream.isEjected()) {
            upstream.ejectedUntil = nowSeconds + EJECTION_SECONDS;
        }
    }

    /** Counts the consecutive hedged requests that were served while the first attempt was still unanswered. */
    private static void recordHedgeResult(OpenRequest request, Attempt served, double nowSeconds) {
        Attempt first = request.attempts.get(0);
        if (served == first) {
            served.upstream.hedgesLost = 0;
        } else if (request.state() == RequestState.HEDGED && first.isInFlight()) {
            first.upstream.hedgesLost++;
            if (first.upstream.isEjected()) {
                first.upstream.ejectedUntil = nowSeconds + EJECTION_SECONDS;
            }
        }
    }
}
