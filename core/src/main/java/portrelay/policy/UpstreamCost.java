package portrelay.policy;

import java.util.SplittableRandom;
import portrelay.model.Topology;

/** What an attempt at an eligible upstream costs: the lowest cost is chosen, an infinite one never. */
final class UpstreamCost {

    /**
     * While an upstream is newer, this sidecar's mean in flight is added for what other sidecars may have sent to it.
     */
    private static final double NEW_UPSTREAM_SECONDS = 3.0;

    /** Share of the latency objective that a request may take where peers report durations only. */
    private static final double OBJECTIVE_SHARE_BY_DURATION = 0.5;

    /** Share of the latency objective that a request may take where the load is known. */
    private static final double OBJECTIVE_SHARE = 0.9;

    /** How far that share falls as the fleet's attempts in flight per core rise from 1 to 1.5. */
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
     * The cost where only attempts of this sidecar, or of the few that share the upstream, are known. Idle upstreams
     * cost less than busy ones, in random order weighted by capacity and speed; busy ones cost their load.
     *
     * @param latencyRatio the upstream's latency over the expected one
     * @param meanInFlight this sidecar's mean over ready upstreams
     */
    double byOwnLoad(
            OpenRequest request, UpstreamState upstream, double latencyRatio, double meanInFlight, double nowSeconds) {
        if (!canServeInTime(request, upstream, nowSeconds)) {
            return Double.POSITIVE_INFINITY;
        }
        double othersInFlight = nowSeconds < upstream.observedSince + NEW_UPSTREAM_SECONDS ? meanInFlight : 0;
        double inFlight = load.inFlightWithoutProbes(upstream, nowSeconds) + othersInFlight;
        // Idle: below 0, as the logarithm is. The lowest of such draws is an upstream's with a probability in
        // proportion
        // to capacity / ratio squared.
        return inFlight > 0
                ? inFlight * latencyRatio / upstream.capacity
                : upstream.capacity / (Math.log(random.nextDouble()) * latencyRatio * latencyRatio);
    }

    /**
     * The cost where the load of upstreams is known: the expected latency. While peers are silent it is drawn around
     * that, so that sidecars that know the same list do not all choose the same upstream.
     *
     * @param latencyRatio the upstream's latency over the expected one
     * @param allowsUnknownLoad whether every eligible upstream has an unknown load
     */
    double byExpectedLatency(
            OpenRequest request,
            UpstreamState upstream,
            double latencyRatio,
            boolean allowsUnknownLoad,
            double nowSeconds) {
        double expected = load.expectedLatencyRatio(upstream, nowSeconds) * (topology.probesLoad() ? 1 : latencyRatio);
        boolean isAcceptable = load.isUnknown(upstream, nowSeconds)
                ? allowsUnknownLoad
                : canMeetObjective(request, upstream, expected, nowSeconds);
        if (!isAcceptable) {
            return Double.POSITIVE_INFINITY;
        }
        return subset.arePeersSilent(nowSeconds) ? -expected * Math.log(random.nextDouble()) : expected;
    }

    /**
     * Whether the request is expected to be served in good time, by the durations that peers report; true where there
     * are no such reports. Guards against all sidecars filling the same queues until upstreams are overloaded.
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

    /** Whether the request is expected to meet its latency objective where the load of upstreams is known. */
    private boolean canMeetObjective(
            OpenRequest request, UpstreamState upstream, double expectedLatencyRatio, double nowSeconds) {
        double overload = Math.max(0, Math.min(1, 2 * (load.meanLoadPerCore() - 1)));
        double objectiveShare = OBJECTIVE_SHARE - OBJECTIVE_SHARE_CUT_UNDER_LOAD * overload;
        if (!objective.isExpectedToMeet(request, expectedLatencyRatio, objectiveShare, nowSeconds)) {
            return false;
        }
        // A client's retry gets a free core or nothing: no other request is to wait behind it.
        return !request.arrival.retriedByClient() || load.inFlight(upstream, nowSeconds) < upstream.loadWeight.cores();
    }
}
