package portrelay.policy;

import java.util.SplittableRandom;
import portrelay.model.Topology;

/** The cost of an attempt at an eligible upstream: the lowest cost is chosen, an infinite cost never. */
final class UpstreamCost {

    /**
     * Time for which an upstream is new. Attempts of other sidecars at a new upstream are estimated by the mean in
     * flight of this sidecar.
     */
    private static final double NEW_UPSTREAM_SECONDS = 3.0;

    /** Share of the latency objective that a request may take if peers report durations only. */
    private static final double OBJECTIVE_SHARE_BY_DURATION = 0.5;

    /** Share of the latency objective that a request may take if the load of the fleet is known. */
    private static final double OBJECTIVE_SHARE = 0.9;

    /** Reduction of {@link #OBJECTIVE_SHARE} as the fleet's mean attempts in flight per core rise from 1 to 1.5. */
    private static final double OBJECTIVE_SHARE_CUT_UNDER_LOAD = 0.3;

    private final Topology topology;
    private final Subset subset;
    private final SlowStart slowStart;
    private final LoadEstimator load;
    private final LatencyTracker latencies;
    private final LatencyObjectiveCheck objective;
    private final SplittableRandom random;

    UpstreamCost(FleetState fleet, LatencyTracker latencies, LatencyObjectiveCheck objective, SplittableRandom random) {
        this.topology = fleet.topology();
        this.subset = fleet.subset();
        this.slowStart = fleet.slowStart();
        this.load = fleet.load();
        this.latencies = latencies;
        this.objective = objective;
        this.random = random;
    }

    /**
     * Returns the cost if only the attempts of this sidecar, or of the few sidecars that share the upstream, are known.
     * The cost of a busy upstream is its load. Idle upstreams cost less than busy ones; their order is random, weighted
     * by capacity and speed.
     *
     * @param latencyRatio the upstream's latency divided by the expected latency
     * @param meanInFlight this sidecar's mean attempts in flight over the ready upstreams
     */
    double byOwnLoad(
            OpenRequest request, UpstreamState upstream, double latencyRatio, double meanInFlight, double nowSeconds) {
        if (!canServeInTime(request, upstream, nowSeconds)) {
            return Double.POSITIVE_INFINITY;
        }
        double othersInFlight = nowSeconds < upstream.observedSince + NEW_UPSTREAM_SECONDS ? meanInFlight : 0;
        double inFlight = load.inFlightWithoutProbes(upstream, nowSeconds) + othersInFlight;
        // The cost of an idle upstream is negative, as the logarithm is. The probability that an upstream has the
        // lowest of these random costs is proportional to its capacity / latencyRatio^2.
        return inFlight > 0
                ? inFlight * latencyRatio / upstream.capacity
                : upstream.capacity / (Math.log(random.nextDouble()) * latencyRatio * latencyRatio);
    }

    /**
     * Returns the cost if the load of upstreams is known: the expected latency. While peers are silent, the cost is
     * drawn from an exponential distribution with that mean, so that sidecars with the same endpoint list do not all
     * choose the same upstream.
     *
     * @param latencyRatio the upstream's latency divided by the expected latency
     * @param allowsUnknownLoad whether upstreams of unknown load may be chosen, as no eligible upstream has a known one
     */
    double byExpectedLatency(
            OpenRequest request,
            UpstreamState upstream,
            double latencyRatio,
            boolean allowsUnknownLoad,
            double nowSeconds) {
        double expectedRatio =
                load.expectedLatencyRatio(upstream, nowSeconds) * (topology.probesLoad() ? 1 : latencyRatio);
        boolean isAcceptable = load.isUnknown(upstream, nowSeconds)
                ? allowsUnknownLoad
                : canMeetObjective(request, upstream, expectedRatio, nowSeconds);
        if (!isAcceptable) {
            return Double.POSITIVE_INFINITY;
        }
        return subset.arePeersSilent(nowSeconds) ? -expectedRatio * Math.log(random.nextDouble()) : expectedRatio;
    }

    /**
     * Whether the request is expected to be served in time, according to the durations that peers report; true if there
     * are no such reports. Keeps all sidecars from filling the same queues until the upstreams are overloaded.
     */
    private boolean canServeInTime(OpenRequest request, UpstreamState upstream, double nowSeconds) {
        if (!topology.usesRendezvousSubsets() || subset.arePeersSilent(nowSeconds)) {
            return true;
        }
        double inFlight = load.inFlight(upstream, nowSeconds);
        if (inFlight == 0) {
            return true;
        }
        double latencyRatio = latencies.durationRatio(upstream, nowSeconds)
                * (inFlight + 1)
                / slowStart.capacityShare(upstream, nowSeconds);
        return objective.isExpectedToMeet(request, latencyRatio, OBJECTIVE_SHARE_BY_DURATION, nowSeconds);
    }

    /** Whether the request is expected to meet its latency objective, if the load of upstreams is known. */
    private boolean canMeetObjective(
            OpenRequest request, UpstreamState upstream, double expectedLatencyRatio, double nowSeconds) {
        double overload = Math.max(0, Math.min(1, 2 * (load.meanLoadPerCore() - 1)));
        double objectiveShare = OBJECTIVE_SHARE - OBJECTIVE_SHARE_CUT_UNDER_LOAD * overload;
        if (!objective.isExpectedToMeet(request, expectedLatencyRatio, objectiveShare, nowSeconds)) {
            return false;
        }
        // A retry by the client is sent only to a free core, so that no other request has to wait for it.
        return !request.arrival.retriedByClient() || load.inFlight(upstream, nowSeconds) < upstream.loadWeight.cores();
    }
}
