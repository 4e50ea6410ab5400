package portrelay.policy;

import java.util.Collection;
import portrelay.model.IdleConnectionAge;
import portrelay.model.Topology;

/** Estimates the load of upstreams from probes, from peer reports, or from this sidecar's own attempts alone. */
final class LoadEstimator {

    /**
     * The load of an upstream is unknown if its oldest attempt has been in flight for longer than this, and no attempt
     * was served since that one started.
     */
    private static final double MAX_UNANSWERED_SECONDS = 0.3;

    /** A load report older than two probe timeouts no longer shows the current load. */
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

    /** Updates the mean load of the fleet after a change of the endpoint list, whose weights may show it. */
    void endpointsChanged() {
        if (subset.isActive()) {
            meanLoadPerCore = endpoints.meanOfReady(each -> each.loadWeight.inFlight() / each.loadWeight.cores());
        }
    }

    /** Whether probes or peer reports show the load of upstreams well enough to select upstreams by it. */
    boolean isFleetLoadKnown() {
        return isFleetLoadKnown;
    }

    /**
     * Returns the mean number of attempts in flight per core over the fleet; 0 if recent endpoint lists do not show it.
     */
    double meanLoadPerCore() {
        return meanLoadPerCore;
    }

    /** Returns the attempts in flight at the upstream, of all sidecars as far as they are known. */
    double inFlight(UpstreamState upstream, double nowSeconds) {
        if (!subset.isActive()) {
            return upstream.reportedInFlight;
        }
        double listedInFlight = subset.arePeersSilent(nowSeconds) ? upstream.loadWeight.inFlight() : 0;
        return Math.max(upstream.peerInFlight.inFlight(nowSeconds), listedInFlight);
    }

    /** Returns the attempts in flight at the upstream; only those of this sidecar if peers report none. */
    double inFlightWithoutProbes(UpstreamState upstream, double nowSeconds) {
        return subset.isActive() ? inFlight(upstream, nowSeconds) : upstream.inFlight;
    }

    /**
     * Whether the load of the upstream is unknown. With probes, that is so if it has answered no recent probe. Where
     * peers share the upstream, it is so if it has answered none of their attempts for some time, or if an attempt is
     * in flight on a connection that had been idle while idle connections are being dropped.
     */
    boolean isUnknown(UpstreamState upstream, double nowSeconds) {
        if (!subset.isActive()) {
            return nowSeconds > upstream.reportedAt + MAX_REPORT_AGE_SECONDS;
        }
        return upstream.peerInFlight.unansweredFor(nowSeconds) > MAX_UNANSWERED_SECONDS
                || upstream.inFlightOnIdleConnections > 0 && idleConnectionAge.hasRecentDrops(nowSeconds);
    }

    /** Whether no sidecar that shares the upstream has had an answer from it for longer than any latency objective. */
    boolean isUnresponsive(UpstreamState upstream, double nowSeconds) {
        return topology.usesRendezvousSubsets()
                && !subset.arePeersSilent(nowSeconds)
                && upstream.peerInFlight.unansweredFor(nowSeconds) > maxLatencyObjectiveSeconds;
    }

    /** Returns the number of attempts of this sidecar that are in flight at unresponsive upstreams. */
    int unresponsiveInFlight(Collection<UpstreamState> busy, double nowSeconds) {
        if (!topology.usesRendezvousSubsets()) {
            return 0;
        }
        return busy.stream()
                .filter(each -> isUnresponsive(each, nowSeconds))
                .mapToInt(each -> each.inFlight)
                .sum();
    }

    /**
     * Returns the expected latency of one more attempt at the upstream, as a multiple of the typical latency; 1 if the
     * load of the fleet is unknown.
     */
    double expectedLatencyRatio(UpstreamState upstream, double nowSeconds) {
        if (!isFleetLoadKnown) {
            return 1;
        }
        double capacity =
                Math.max(upstream.capacity, Double.MIN_NORMAL) * slowStart.capacityShare(upstream, nowSeconds);
        double inFlightPerCore = (inFlight(upstream, nowSeconds) + 1) / upstream.loadWeight.cores();
        return Math.max(1, inFlightPerCore) / capacity;
    }
}
