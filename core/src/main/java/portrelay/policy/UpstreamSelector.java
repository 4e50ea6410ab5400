package portrelay.policy;

import java.util.List;
import java.util.SplittableRandom;
import portrelay.model.RequestClass;

/** Chooses the upstream of an attempt by an ordered list of rules over the eligible ones: the first match wins. */
final class UpstreamSelector {

    /** How long after an operator enabled an upstream its trial is due, if nothing has been sent there. */
    private static final double TRIAL_DELAY_SECONDS = 3.0;

    /** The rules, in the order in which they are tried. */
    enum Rule {
        /** An upstream that was ejected or disabled gets one attempt to show that it works. */
        TRIAL,
        /** An idle upstream that is warming up gets the attempt that it has credit for. */
        WARMING_UP,
        /** An idle upstream that is slow, but expected to answer sooner than the others, which are all busy. */
        IDLE_THOUGH_SLOW,
        /** The cheapest of the upstreams that are not slow. */
        LOWEST_COST,
        /** The cheapest of all. */
        LOWEST_COST_OR_SLOW,
        /** No upstream may get the attempt now. */
        NONE
    }

    /** The chosen upstream and the rule that chose it; the upstream is null where the rule is NONE. */
    record Selection(UpstreamState upstream, Rule rule) {
        static final Selection NONE = new Selection(null, Rule.NONE);
    }

    /** What holds for all upstreams while one is chosen. */
    private record Criteria(boolean includesAvoided, boolean allowsUnknownLoad, double meanInFlight) {}

    private final EndpointTable endpoints;
    private final Subset subset;
    private final UpstreamEligibility eligibility;
    private final LoadEstimator load;
    private final SlowStart slowStart;
    private final LatencyTracker latencies;
    private final UpstreamCost cost;
    private final boolean usesProbes;
    private final SplittableRandom random;

    UpstreamSelector(
            FleetState fleet,
            UpstreamEligibility eligibility,
            LatencyTracker latencies,
            UpstreamCost cost,
            SplittableRandom random) {
        this.endpoints = fleet.endpoints();
        this.subset = fleet.subset();
        this.eligibility = eligibility;
        this.load = fleet.load();
        this.slowStart = fleet.slowStart();
        this.latencies = latencies;
        this.cost = cost;
        this.usesProbes = fleet.topology().probesLoad();
        this.random = random;
    }

    /** Chooses for the first attempt of a request, or for a hedged or repeated one. */
    Selection select(OpenRequest request, boolean isFirstAttempt, double nowSeconds) {
        if (isLimited(nowSeconds) && !eligibility.hasCapacity(nowSeconds)) {
            return Selection.NONE;
        }
        List<UpstreamState> withCredit =
                isFirstAttempt && !load.isFleetLoadKnown() ? warmingUpWithCredit(request, nowSeconds) : List.of();
        Selection selection = firstMatch(request, isFirstAttempt, withCredit, nowSeconds);
        if (selection.upstream() != null) {
            withCredit.stream()
                    .filter(each -> each != selection.upstream())
                    .forEach(each -> slowStart.notChosen(each, random.nextDouble()));
        }
        return selection;
    }

    /** Whether the concurrency limit applies: where the load of the fleet is known and moderate it does not. */
    private boolean isLimited(double nowSeconds) {
        return !load.isFleetLoadKnown() || subset.arePeersSilent(nowSeconds) && load.meanLoadPerCore() > 1;
    }

    private Selection firstMatch(
            OpenRequest request, boolean isFirstAttempt, List<UpstreamState> withCredit, double nowSeconds) {
        UpstreamState trial = isFirstAttempt ? dueTrial(request, nowSeconds) : null;
        if (trial != null) {
            return new Selection(trial, Rule.TRIAL);
        }
        UpstreamState warmingUp = idleWarmingUp(withCredit, nowSeconds);
        if (warmingUp != null) {
            return new Selection(warmingUp, Rule.WARMING_UP);
        }
        Criteria criteria = criteria(request, nowSeconds);
        UpstreamState cheapest = lowestCost(request, criteria, false, nowSeconds);
        if (cheapest != null && (load.isFleetLoadKnown() || isIdle(cheapest, nowSeconds))) {
            return new Selection(cheapest, Rule.LOWEST_COST);
        }
        UpstreamState cheapestOrSlow = lowestCost(request, criteria, true, nowSeconds);
        if (cheapest == null) {
            return cheapestOrSlow == null ? Selection.NONE : new Selection(cheapestOrSlow, Rule.LOWEST_COST_OR_SLOW);
        }
        boolean isSooner = isIdle(cheapestOrSlow, nowSeconds)
                && expectedLatencyRatio(cheapestOrSlow, nowSeconds) < expectedLatencyRatio(cheapest, nowSeconds);
        return isSooner
                ? new Selection(cheapestOrSlow, Rule.IDLE_THOUGH_SLOW)
                : new Selection(cheapest, Rule.LOWEST_COST);
    }

    private boolean isIdle(UpstreamState upstream, double nowSeconds) {
        return load.inFlightWithoutProbes(upstream, nowSeconds) == 0;
    }

    /** Latency of one more attempt there by what is in flight, as a multiple of the typical one. */
    private double expectedLatencyRatio(UpstreamState upstream, double nowSeconds) {
        return (load.inFlightWithoutProbes(upstream, nowSeconds) + 1)
                * latencies.latencyRatio(upstream, nowSeconds)
                / upstream.capacity;
    }

    /** The first upstream whose trial is due, and idle where that is known. Only safe requests take part in trials. */
    private UpstreamState dueTrial(OpenRequest request, double nowSeconds) {
        if (request.requestClass.idempotency() != RequestClass.Idempotency.SAFE) {
            return null;
        }
        for (UpstreamState each : endpoints.upstreams()) {
            boolean isDue = each.isTrialOwed && nowSeconds >= each.enabledAt + TRIAL_DELAY_SECONDS
                    || each.isTrialDue(nowSeconds) && !each.isTrialInFlight;
            if (isDue
                    && eligibility.isEligible(request, each, nowSeconds)
                    && (!load.isFleetLoadKnown()
                            || load.inFlight(each, nowSeconds) == 0 && !load.isUnknown(each, nowSeconds))) {
                return each;
            }
        }
        return null;
    }

    private List<UpstreamState> warmingUpWithCredit(OpenRequest request, double nowSeconds) {
        return subset.among(endpoints.upstreams()).stream()
                .filter(each ->
                        slowStart.hasCredit(each, nowSeconds) && eligibility.isEligible(request, each, nowSeconds))
                .toList();
    }

    /** The first idle one with credit; by cost alone many sidecars would never send to an upstream that warms up. */
    private UpstreamState idleWarmingUp(List<UpstreamState> withCredit, double nowSeconds) {
        return withCredit.stream()
                .filter(each ->
                        load.inFlightWithoutProbes(each, nowSeconds) == 0 && !eligibility.isAvoided(each, nowSeconds))
                .findFirst()
                .orElse(null);
    }

    private Criteria criteria(OpenRequest request, double nowSeconds) {
        boolean allowsUnknownLoad = usesProbes
                && endpoints.upstreams().stream()
                        .noneMatch(each ->
                                !load.isUnknown(each, nowSeconds) && eligibility.isEligible(request, each, nowSeconds));
        double meanInFlight = load.isFleetLoadKnown() ? 0 : endpoints.meanOfReady(each -> each.inFlight);
        return new Criteria(eligibility.areAllAvoided(nowSeconds), allowsUnknownLoad, meanInFlight);
    }

    /** The cheapest eligible upstream; null where there is none. */
    private UpstreamState lowestCost(OpenRequest request, Criteria criteria, boolean includesSlow, double nowSeconds) {
        boolean isLoadKnown = load.isFleetLoadKnown();
        UpstreamState cheapest = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (UpstreamState each : endpoints.upstreams()) {
            // Quickest checks first: this loop runs per endpoint and request.
            if (!eligibility.isEligible(request, each, nowSeconds)
                    || !criteria.includesAvoided && eligibility.isAvoided(each, nowSeconds)
                    || isLoadKnown && !criteria.allowsUnknownLoad && load.isUnknown(each, nowSeconds)) {
                continue;
            }
            double latencyRatio = latencies.latencyRatio(each, nowSeconds);
            if (!includesSlow && latencies.isSlow(each, latencyRatio, nowSeconds)) {
                continue;
            }
            double candidateCost = isLoadKnown
                    ? cost.byExpectedLatency(request, each, latencyRatio, criteria.allowsUnknownLoad, nowSeconds)
                    : cost.byOwnLoad(request, each, latencyRatio, criteria.meanInFlight, nowSeconds);
            if (candidateCost < lowest) {
                lowest = candidateCost;
                cheapest = each;
            }
        }
        return cheapest;
    }
}
