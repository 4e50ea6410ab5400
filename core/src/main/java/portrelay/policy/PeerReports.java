package portrelay.policy;

import portrelay.gossip.PeerMembership.AttemptEvent;
import portrelay.gossip.PeerMembership.AttemptReport;
import portrelay.model.IdleConnectionAge;
import portrelay.model.Outcome;
import portrelay.model.TenantId;
import portrelay.model.TenantUsage;
import portrelay.model.Topology;

/** Reports attempts of this sidecar to the peers that share its upstreams, and records the reports of those peers. */
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
     * Processes a message from a peer. A message that is malformed or belongs to another subset is ignored.
     *
     * @return whether an attempt of a peer has ended, so that there may be capacity for queued requests
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
        UpstreamState upstream = subset.upstreamByCode(report.code());
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

    /** Reports the start of an attempt of this sidecar. */
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

    /** Reports the end of an attempt of this sidecar. The outcome of the attempt must already be set. */
    void attemptEnded(OpenRequest request, Attempt attempt, double nowSeconds) {
        if (!subset.isActive()) {
            return;
        }
        UpstreamState upstream = attempt.upstream;
        boolean isServed = attempt.outcome == Outcome.SERVED;
        boolean isConnectionLost = isLostOnIdleConnection(attempt);
        boolean isFailed = !isConnectionLost && isFailure(request, attempt, nowSeconds);
        AttemptEvent event = isServed ? AttemptEvent.SERVED : isFailed ? AttemptEvent.FAILED : AttemptEvent.DROPPED;
        upstream.peerInFlight.attemptEnded(topology.sidecarIndex(), event, nowSeconds);
        upstream.inFlightOnIdleConnections -= attempt.connectionIdleSeconds > 0 ? 1 : 0;
        upstream.lastServedAt = isServed ? nowSeconds : upstream.lastServedAt;
        if (isConnectionLost) {
            reportConnectionLost(attempt.connectionIdleSeconds, nowSeconds);
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

    /**
     * Whether the attempt was lost because its connection, which had been idle, was dropped. The upstream is not at
     * fault if it has served enough later attempts.
     */
    private static boolean isLostOnIdleConnection(Attempt attempt) {
        // If the upstream answers in order, it has served this many attempts when the answer to this one is due.
        int servedCountWhenDue = attempt.servedCountWhenSent + attempt.inFlightWhenSent - 1;
        return attempt.outcome != Outcome.SERVED
                && !attempt.outcome.provablyNotExecuted
                && attempt.connectionIdleSeconds > 0
                && attempt.upstream.peerInFlight.servedCount() >= servedCountWhenDue + UpstreamState.OVERTAKING_ANSWERS;
    }

    /** Whether the attempt counts as failed; a cancelled attempt does if it was already slow. */
    private static boolean isFailure(OpenRequest request, Attempt attempt, double nowSeconds) {
        if (attempt.outcome == Outcome.CANCELLED) {
            return nowSeconds - attempt.sentAt > HedgingPolicy.slowAfterSeconds(request.requestClass);
        }
        return attempt.outcome != Outcome.SERVED && !attempt.outcome.provablyNotExecuted;
    }

    private void reportConnectionLost(double idleSeconds, double nowSeconds) {
        boolean toAllSidecars = idleConnectionAge.hasFewSamples(nowSeconds);
        if (idleConnectionAge.shouldBroadcast(idleSeconds, nowSeconds)) {
            subset.sendConnectionLost(idleSeconds, toAllSidecars);
        }
        idleConnectionAge.recordLostConnection(idleSeconds, nowSeconds);
    }
}
