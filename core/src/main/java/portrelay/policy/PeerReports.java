package portrelay.policy;

import portrelay.gossip.PeerMembership.AttemptEvent;
import portrelay.gossip.PeerMembership.AttemptReport;
import portrelay.model.IdleConnectionAge;
import portrelay.model.Outcome;
import portrelay.model.TenantId;
import portrelay.model.TenantUsage;
import portrelay.model.Topology;

/** What this sidecar reports of its attempts to the peers that share its upstreams, and what it learns from theirs. */
final class PeerReports {

    private static final int NO_TENANT = -1;

    private final Topology topology;
    private final Subset subset;
    private final TenantUsage tenantUsage;
    private final LatencyTracker latencies;
    private final OutlierDetector outliers;
    private final IdleConnectionAge idleConnectionAge;

    PeerReports(FleetState fleet, Observations observations) {
        this.topology = fleet.topology();
        this.subset = fleet.subset();
        this.tenantUsage = observations.tenantUsage();
        this.latencies = observations.latencies();
        this.outliers = observations.outliers();
        this.idleConnectionAge = observations.idleConnectionAge();
    }

    /**
     * Takes over a peer's message; one that is malformed or of another subset changes nothing.
     *
     * @return whether an attempt of a peer has ended, so that there may be capacity
     */
    boolean receive(int fromSidecar, String text, double nowSeconds) {
        AttemptReport report = subset.receive(fromSidecar, text, nowSeconds);
        if (report == null) {
            return false;
        }
        if (report.event() == AttemptEvent.LOST) {
            idleConnectionAge.recordLostConnection(report.idleTimeOrDurationRatio(), nowSeconds);
            return false;
        }
        UpstreamState upstream = subset.upstreamOf(report.code());
        if (upstream == null) {
            return false;
        }
        if (report.event() == AttemptEvent.STARTED) {
            upstream.peerInFlight.attemptStarted(fromSidecar, nowSeconds);
            tenantUsage.record(report.tenant());
            return false;
        }
        boolean wasInFlight = upstream.peerInFlight.attemptEnded(fromSidecar, report.event(), nowSeconds);
        latencies.recordDuration(
                upstream, report.event() == AttemptEvent.SERVED, report.idleTimeOrDurationRatio(), nowSeconds);
        if (wasInFlight && report.event() != AttemptEvent.DROPPED) {
            outliers.recordOutcome(upstream, report.event() == AttemptEvent.FAILED, nowSeconds);
        }
        return true;
    }

    /** Reports an attempt of this sidecar that is being sent. */
    void attemptStarted(OpenRequest request, Attempt attempt, double nowSeconds) {
        if (!subset.isActive()) {
            return;
        }
        attempt.upstream.peerInFlight.attemptStarted(topology.sidecarIndex(), nowSeconds);
        attempt.isStartReported = subset.canReport();
        if (attempt.isStartReported) {
            subset.send(AttemptEvent.STARTED, attempt.upstream, TenantId.indexOf(request.arrival.tenant()), 0);
        }
    }

    /** Reports the end of an attempt of this sidecar; its outcome is set. */
    void attemptEnded(OpenRequest request, Attempt attempt, double nowSeconds) {
        if (!subset.isActive()) {
            return;
        }
        UpstreamState upstream = attempt.upstream;
        boolean isServed = attempt.outcome == Outcome.SERVED;
        boolean isConnectionLost = isLostWithIdleConnection(attempt);
        boolean isFailed = !isConnectionLost && isFailure(request, attempt, nowSeconds);
        AttemptEvent event = isServed ? AttemptEvent.SERVED : isFailed ? AttemptEvent.FAILED : AttemptEvent.DROPPED;
        upstream.peerInFlight.attemptEnded(topology.sidecarIndex(), event, nowSeconds);
        upstream.inFlightOnIdleConnections -= attempt.connectionIdleSeconds > 0 ? 1 : 0;
        upstream.lastServedAt = isServed ? nowSeconds : upstream.lastServedAt;
        if (isConnectionLost) {
            connectionLost(attempt.connectionIdleSeconds, nowSeconds);
        } else if (isFailed && attempt.outcome == Outcome.CANCELLED) {
            outliers.recordOutcome(upstream, true, nowSeconds);
        }
        double durationRatio = (nowSeconds - attempt.sentAt)
                / latencies.typicalSeconds(request.requestClass)
                / attempt.inFlightWhenSent;
        latencies.recordDuration(upstream, isServed, durationRatio, nowSeconds);
        if (attempt.isStartReported) {
            subset.send(event, upstream, NO_TENANT, durationRatio);
        }
    }

    /** Enough later attempts were served there: not the upstream is at fault but the connection, which was idle. */
    private static boolean isLostWithIdleConnection(Attempt attempt) {
        int overtakenFrom = attempt.servedBefore + attempt.inFlightWhenSent - 1;
        return attempt.outcome != Outcome.SERVED
                && !attempt.outcome.provablyNotExecuted
                && attempt.connectionIdleSeconds > 0
                && attempt.upstream.peerInFlight.servedCount() >= overtakenFrom + UpstreamState.OVERTAKING_ANSWERS;
    }

    /** A cancelled attempt counts as failed where it had been slow already. */
    private static boolean isFailure(OpenRequest request, Attempt attempt, double nowSeconds) {
        if (attempt.outcome == Outcome.CANCELLED) {
            return nowSeconds - attempt.sentAt > HedgingPolicy.slowAfterSeconds(request.requestClass);
        }
        return attempt.outcome != Outcome.SERVED && !attempt.outcome.provablyNotExecuted;
    }

    private void connectionLost(double idleSeconds, double nowSeconds) {
        boolean toAllSidecars = idleConnectionAge.hasFewSamples(nowSeconds);
        if (idleConnectionAge.shouldBroadcast(idleSeconds, nowSeconds)) {
            subset.sendConnectionLost(idleSeconds, toAllSidecars);
        }
        idleConnectionAge.recordLostConnection(idleSeconds, nowSeconds);
    }
}
