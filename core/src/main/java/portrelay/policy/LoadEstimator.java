package portrelay.policy;

import portrelay.model.IdleConnectionAge;
import portrelay.model.Topology;

/** What is known of the load of upstreams: from probes, from peers, or from this sidecar's own attempts alone. */
final class LoadEstimator {

    /** Where the oldest attempt is in flight for longer with none served since, the upstream's load is unknown. */
    private static final double MAX_UNANSWERED_SECONDS = 0.3;

    /** A load report older than two timeouts of a probe says nothing of the load now. */
    private static final double MAX_REPORT_AGE_SECONDS = 2 * LoadProbes.TIMEOUT_SECONDS;

    private final Topology topology;
    private final EndpointTable endpoints;
    private final Subset subset;
    private final SlowStart slowStart;
    private final IdleConnectionAge idleConnectionAge;
    private final double maxLatencyObjectiveSeconds;
    private final boolean isFleetLoadKnown;
    private double meanLoadPerCore;

    LoadEstimator(
            Topology topology,
            EndpointTable endpoints,
            Subset subset,
            SlowStart slowStart,
            IdleConnectionAge idleConnectionAge,
            double maxLatencyObjectiveSeconds) {
        this.topology = topology;
        this.endpoints = endpoints;
        this.subset = subset;
        this.slowStart = slowStart;
        this.idleConnectionAge = idleConnectionAge;
        this.maxLatencyObjectiveSeconds = maxLatencyObjectiveSeconds;
        this.isFleetLoadKnown = topology.probesLoad() || topology.sharesLoad() && !topology.usesRendezvousSubsets();
    }

    /** The endpoint list has changed; its weights may show the load of the fleet. */
    void endpointsChanged() {
        if (subset.isActive()) {
            meanLoadPerCore = endpoints.meanOfReady(each -> each.loadWeight.inFlight() / each.loadWeight.cores());
        }
    }

    /** Whether probes or peers tell the load of upstreams well enough to send by it. */
    boolean isFleetLoadKnown() {
        return isFleetLoadKnown;
    }

    /** Mean in flight per core over the fleet as the last lists showed it; 0 where they do not. */
    double meanLoadPerCore() {
        return meanLoadPerCore;
    }

    /** Attempts in flight at the upstream, of all sidecars as far as that is known. */
    double inFlight(UpstreamState upstream, double nowSeconds) {
        if (!subset.isActive()) {
            return upstream.reportedInFlight;
        }
        double listedInFlight = subset.arePeersSilent(nowSeconds) ? upstream.loadWeight.inFlight() : 0;
        return Math.max(upstream.peerInFlight.inFlight(nowSeconds), listedInFlight);
    }

    /** The same, of this sidecar's attempts alone where no peer reports any. */
    double inFlightWithoutProbes(UpstreamState upstream, double nowSeconds) {
        return subset.isActive() ? inFlight(upstream, nowSeconds) : upstream.inFlight;
    }

    /**
     * Whether its load is unknown: it has answered no recent probe or, where sidecars share it, none of their attempts
     * for some time; or an attempt is in flight on a connection that had been idle, while such connections are dropped.
     */
    boolean isUnknown(UpstreamState upstream, double nowSeconds) {
        if (!subset.isActive()) {
            return nowSeconds > upstream.reportedAt + MAX_REPORT_AGE_SECONDS;
        }
        return upstream.peerInFlight.unansweredFor(nowSeconds) > MAX_UNANSWERED_SECONDS
                || upstream.inFlightOnIdleConnections > 0 && idleConnectionAge.hasRecentDrops(nowSeconds);
    }

    /** Whether no sidecar that shares it got an answer for longer than any request in time may take. */
    boolean isUnresponsive(UpstreamState upstream, double nowSeconds) {
        return topology.usesRendezvousSubsets()
                && !subset.arePeersSilent(nowSeconds)
                && upstream.peerInFlight.unansweredFor(nowSeconds) > maxLatencyObjectiveSeconds;
    }

    /** Expected latency of one more attempt there, as a multiple of the typical one; 1 where no load is known. */
    double expectedLatencyRatio(UpstreamState upstream, double nowSeconds) {
        if (!isFleetLoadKnown) {
            return 1;
        }
        double capacity =
                Math.max(upstream.capacity, Double.MIN_NORMAL) * slowStart.capacityShare(upstream, nowSeconds);
        double perCore = (inFlight(upstream, nowSeconds) + 1) / upstream.loadWeight.cores();
        return Math.max(1, perCore) / capacity;
    }
}
