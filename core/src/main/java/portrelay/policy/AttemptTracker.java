package portrelay.policy;

import portrelay.model.AdaptiveLimit;
import portrelay.model.IdleConnectionAge;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Outcome;

/** Sends attempts, and notifies the statistics and the adaptive limits when an attempt starts or ends. */
final class AttemptTracker {

    private final LoadBalancerActions actions;
    private final FleetState fleet;
    private final LoadEstimator load;
    private final SlowStart slowStart;
    private final AdaptiveLimit concurrencyLimit;
    private final IdleConnectionAge idleConnectionAge;
    private final PeerReports peerReports;
    private final LatencyTracker latencies;
    private final OutlierDetector outliers;
    private final LimitFeedback limitFeedback;

    AttemptTracker(LoadBalancerActions actions, FleetState fleet, Observations observations, PeerReports peerReports) {
        this.actions = actions;
        this.fleet = fleet;
        this.load = fleet.load();
        this.slowStart = fleet.slowStart();
        this.concurrencyLimit = observations.concurrencyLimit();
        this.idleConnectionAge = observations.idleConnectionAge();
        this.peerReports = peerReports;
        this.latencies = observations.latencies();
        this.outliers = observations.outliers();
        this.limitFeedback = new LimitFeedback(concurrencyLimit, latencies);
    }

    /** Sends the next attempt of the request to the upstream. */
    void start(OpenRequest request, UpstreamState upstream, double nowSeconds) {
        boolean isTrial = upstream.isTrialDue(nowSeconds) && !request.arrival.singleAttempt();
        upstream.isTrialInFlight |= isTrial;
        upstream.isUntriedSinceEnabled = false;
        double idleSeconds = connectionIdleSeconds(upstream, nowSeconds);
        Attempt attempt = new Attempt(
                upstream,
                nowSeconds,
                isTrial,
                load.expectedLatencyRatio(upstream, nowSeconds),
                idleSeconds,
                upstream.peerInFlight.servedCount(),
                (int) load.inFlight(upstream, nowSeconds) + 1);
        request.attempts.add(attempt);
        fleet.endpoints().attemptStarted(upstream);
        upstream.inFlightOnIdleConnections += idleSeconds > 0 ? 1 : 0;
        upstream.reportedInFlight++;
        peerReports.attemptStarted(request, attempt, nowSeconds);
        concurrencyLimit.attemptsStarted(request.arrival.singleAttempt() ? 0 : 1);
        slowStart.attemptSent(upstream, nowSeconds);
        actions.sendAttempt(request.arrival.id(), upstream.id);
    }

    /** Records the outcome of an attempt that was in flight until now. */
    void end(OpenRequest request, Attempt attempt, Outcome outcome, double nowSeconds) {
        attempt.outcome = outcome;
        fleet.endpoints().attemptEnded(attempt.upstream);
        if (outcome == Outcome.SERVED) {
            slowStart.attemptServed(attempt.upstream, fleet.candidates().subsetUpstreams(), nowSeconds);
        }
        // The duration of a single attempt depends on its streamed body and does not measure the upstream.
        if (!request.arrival.singleAttempt()) {
            boolean isWarm = slowStart.isWarm(attempt.upstream, nowSeconds);
            limitFeedback.attemptEnded(request, attempt, isWarm, nowSeconds);
            latencies.attemptEnded(request, attempt, nowSeconds);
            outliers.attemptEnded(request, attempt, nowSeconds);
        }
        peerReports.attemptEnded(request, attempt, nowSeconds);
    }

    /**
     * Returns how long the connection that the next attempt uses has been idle; 0 for a new or busy connection. Closes
     * the upstream's idle connections first if they have been idle for about as long as connections that were found
     * dropped.
     */
    private double connectionIdleSeconds(UpstreamState upstream, double nowSeconds) {
        boolean isIdleTimeKnown = fleet.subset().isActive() && load.isFleetLoadKnown();
        if (!isIdleTimeKnown || upstream.inFlight > 0 || upstream.lastServedAt <= 0) {
            return 0;
        }
        double idleSeconds = nowSeconds - upstream.lastServedAt;
        if (idleSeconds > 0 && idleConnectionAge.shouldReplace(idleSeconds, nowSeconds)) {
            actions.closeIdleConnections(upstream.id);
            return 0;
        }
        return idleSeconds;
    }
}
