package portrelay.policy;

import portrelay.model.Outcome;
import portrelay.model.RequestState;
import portrelay.model.Samples;
import portrelay.model.SequentialTest;

/** Ejects upstreams that fail or lose against hedged attempts, and lets a trial show when they work again. */
final class OutlierDetector {

    /** From an ejection, or a failed trial, to the next trial. */
    private static final double EJECTION_SECONDS = 5.0;

    /** Recent attempts of all upstreams that show their usual failure share. */
    private static final int FLEET_SAMPLES = 64;

    /** The usual failure share counts as at least this: few samples may show none. */
    private static final double MIN_FLEET_FAILURE_SHARE = 0.05;
    /** It counts as at most this, so that an upstream which fails nearly always still stands out. */
    private static final double MAX_FLEET_FAILURE_SHARE = 0.2;

    private static final SequentialTest TEST =
            new SequentialTest(UpstreamState.EJECTION_EVIDENCE, MIN_FLEET_FAILURE_SHARE, MAX_FLEET_FAILURE_SHARE);

    /** 1 for each recent attempt of any upstream that failed, 0 for each that did not. */
    private final Samples fleetFailures = new Samples(FLEET_SAMPLES);

    /** Learns from an attempt that has ended; its outcome is set already. */
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
     * Wald's sequential test on outcomes, against the failure share of all upstreams. Guards sidecars of little
     * traffic, whose count of lost hedges is cleared by each answer between two failures.
     */
    void recordOutcome(UpstreamState upstream, boolean isFailed, double nowSeconds) {
        boolean wasEjected = upstream.isEjected();
        upstream.failureEvidence = TEST.evidenceAfter(upstream.failureEvidence, fleetFailures.mean(0), isFailed);
        fleetFailures.add(nowSeconds, isFailed ? 1 : 0);
        if (!wasEjected && upstream.isEjected()) {
            upstream.ejectedUntil = nowSeconds + EJECTION_SECONDS;
        }
    }

    /** Counts the hedged requests in a row that were served while the first attempt was still unanswered. */
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
