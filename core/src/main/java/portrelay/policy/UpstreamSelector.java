package portrelay.policy;

import java.util.List;
import java.util.SplittableRandom;
import portrelay.model.RequestClass;

/** Selects the upstream of an attempt by an ordered list of rules over the eligible ones: the first match wins. */
final class UpstreamSelector {

    /** Time from when an operator enables an upstream to its trial request, if nothing was sent there in between. */
    private static final double TRIAL_DELAY_SECONDS = 3.0;

    /** The rules, in the order in which they are tried. */
    enum Rule {
        /** A trial request: an upstream that was ejected or disabled gets one attempt to show that it works. */
        TRIAL,
        /** An idle upstream that is warming up and has slow start credit for the attempt. */
        WARMING_UP,
        /** An idle upstream that is slow, but expected to answer sooner than the others, which are all busy. */
        IDLE_THOUGH_SLOW,
        /** The cheapest of the upstreams that are not slow. */
        LOWEST_COST,
        /** The cheapest of all upstreams, slow ones included, if no other may get the attempt. */
        LOWEST_COST_OR_SLOW,
        /** No upstream may get the attempt now. */
        NONE
    }

    /** The chosen upstream and the rule that chose it; the upstream is null where the rule is NONE. */
    record Selection(UpstreamState upstream, Rule rule) {
        static final Selection NONE = new Selection(null, Rule.NONE);
    }

    /** The criteria that apply to all candidates of one selection. */
    private record Criteria(boolean includesAvoided, boolean allowsUnknownLoad, double meanInFlight) {}

    private final EndpointTable endpoints;
    private final CandidateWindow window;
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
        this.window = fleet.candidates();
        this.subset = fleet.subset();
        this.eligibility = eligibility;
        this.load = fleet.load();
        this.slowStart = fleet.slowStart();
        this.latencies = latencies;
        this.cost = cost;
        this.usesProbes = fleet.topology().probesLoad();
        this.random = random;
    }

    /** Selects the upstream for the first attempt of a request, or for a hedge or a retry. */
    Selection select(OpenRequest request, boolean isFirstAttempt, double nowSeconds) {
        if (isLimited(nowSeconds) && !eligibility.hasCapacity(nowSeconds)) {
            return Selection.NONE;
        }
        window.moveOn(each -> eligibility.isAvoided(each, nowSeconds));
        List<UpstreamState> candidates = window.upstreamsFor(request);
        List<UpstreamState> withCredit =
                isFirstAttempt && !load.isFleetLoadKnown() ? warmingUpWithCredit(request, nowSeconds) : List.of();
        Selection selection = firstMatch(request, candidates, isFirstAttempt, withCredit, nowSeconds);
        if (selection.upstream() != null) {
            withCredit.stream()
                    .filter(each -> each != selection.upstream())
                    .forEach(each -> slowStart.notChosen(each, random.nextDouble()));
        }
        return selection;
    }

    /**
     * Whether the concurrency limit applies. If the load of the fleet is known, it applies only while peers are silent
     * and the fleet is busy.
     */
    private boolean isLimited(double nowSeconds) {
        return !load.isFleetLoadKnown() || subset.arePeersSilent(nowSeconds) && load.meanLoadPerCore() > 1;
    }

    private Selection firstMatch(
            OpenRequest request,
            List<UpstreamState> candidates,
            boolean isFirstAttempt,
            List<UpstreamState> withCredit,
            double nowSeconds) {
        UpstreamState trial = isFirstAttempt ? dueTrial(request, candidates, nowSeconds) : null;
        if (trial != null) {
            return new Selection(trial, Rule.TRIAL);
        }
        UpstreamState warmingUp = idleWarmingUp(withCredit, nowSeconds);
        if (warmingUp != null) {
            return new Selection(warmingUp, Rule.WARMING_UP);
        }
        Criteria criteria = criteria(request, candidates, nowSeconds);
        UpstreamState cheapest = lowestCost(request, candidates, criteria, false, nowSeconds);
        if (cheapest != null && (load.isFleetLoadKnown() || isIdle(cheapest, nowSeconds))) {
            return new Selection(cheapest, Rule.LOWEST_COST);
        }
        UpstreamState cheapestOrSlow = lowestCost(request, candidates, criteria, true, nowSeconds);
        if (cheapest == null) {
            return cheapestOrSlow == null ? Selection.NONE : new Selection(cheapestOrSlow, Rule.LOWEST_COST_OR_SLOW);
        }
        boolean isExpectedSooner = isIdle(cheapestOrSlow, nowSeconds)
                && expectedLatencyRatio(cheapestOrSlow, nowSeconds) < expectedLatencyRatio(cheapest, nowSeconds);
        return isExpectedSooner
                ? new Selection(cheapestOrSlow, Rule.IDLE_THOUGH_SLOW)
                : new Selection(cheapest, Rule.LOWEST_COST);
    }

    private boolean isIdle(UpstreamState upstream, double nowSeconds) {
        return load.inFlightWithoutProbes(upstream, nowSeconds) == 0;
    }

    /**
     * Returns the expected latency of one more attempt at the upstream, from the attempts in flight there, as a
     * multiple of the typical latency.
     */
    private double expectedLatencyRatio(UpstreamState upstream, double nowSeconds) {
        return (load.inFlightWithoutProbes(upstream, nowSeconds) + 1)
                * latencies.latencyRatio(upstream, nowSeconds)
                / upstream.capacity;
    }

    /**
     * Returns the first upstream whose trial request is due; null if there is none. If the load of the fleet is known,
     * the upstream must also be idle. Only safe requests are used as trial requests.
     */
    private UpstreamState dueTrial(OpenRequest request, List<UpstreamState> candidates, double nowSeconds) {
        if (request.requestClass.idempotency() != RequestClass.Idempotency.SAFE) {
            return null;
        }
        for (UpstreamState upstream : candidates) {
            boolean isDue = upstream.isUntriedSinceEnabled && nowSeconds >= upstream.enabledAt + TRIAL_DELAY_SECONDS
                    || upstream.isTrialDue(nowSeconds) && !upstream.isTrialInFlight;
            if (isDue
                    && eligibility.isEligible(request, upstream, nowSeconds)
                    && (!load.isFleetLoadKnown()
                            || load.inFlight(upstream, nowSeconds) == 0 && !load.isUnknown(upstream, nowSeconds))) {
                return upstream;
            }
        }
        return null;
    }

    private List<UpstreamState> warmingUpWithCredit(OpenRequest request, double nowSeconds) {
        return window.subsetUpstreams().stream()
                .filter(each ->
                        slowStart.hasCredit(each, nowSeconds) && eligibility.isEligible(request, each, nowSeconds))
                .toList();
    }

    /**
     * Returns the first idle upstream of those with credit; null if there is none. If cost alone decided, many sidecars
     * would never send to an upstream that is warming up.
     */
    private UpstreamState idleWarmingUp(List<UpstreamState> withCredit, double nowSeconds) {
        return withCredit.stream()
                .filter(each ->
                        load.inFlightWithoutProbes(each, nowSeconds) == 0 && !eligibility.isAvoided(each, nowSeconds))
                .findFirst()
                .orElse(null);
    }

    private Criteria criteria(OpenRequest request, List<UpstreamState> candidates, double nowSeconds) {
        boolean allowsUnknownLoad = usesProbes
                && candidates.stream()
                        .noneMatch(each ->
                                !load.isUnknown(each, nowSeconds) && eligibility.isEligible(request, each, nowSeconds));
        double meanInFlight = load.isFleetLoadKnown() ? 0 : endpoints.meanInFlightOfReady();
        return new Criteria(eligibility.areAllAvoided(nowSeconds), allowsUnknownLoad, meanInFlight);
    }

    /** Returns the cheapest eligible upstream; null if there is none. */
    private UpstreamState lowestCost(
            OpenRequest request,
            List<UpstreamState> candidates,
            Criteria criteria,
            boolean includesSlow,
            double nowSeconds) {
        boolean isLoadKnown = load.isFleetLoadKnown();
        UpstreamState cheapest = null;
        double lowest = Double.POSITIVE_INFINITY;
        for (UpstreamState candidate : candidates) {
            // The quickest checks come first, as this loop runs for each candidate at each selection.
            if (!eligibility.isEligible(request, candidate, nowSeconds)
                    || !criteria.includesAvoided && eligibility.isAvoided(candidate, nowSeconds)
                    || isLoadKnown && !criteria.allowsUnknownLoad && load.isUnknown(candidate, nowSeconds)) {
                continue;
            }
            double latencyRatio = latencies.latencyRatio(candidate, nowSeconds);
            if (!includesSlow && latencies.isSlow(candidate, latencyRatio, nowSeconds)) {
                continue;
            }
            double candidateCost = isLoadKnown
                    ? cost.byExpectedLatency(request, candidate, latencyRatio, criteria.allowsUnknownLoad, nowSeconds)
                    : cost.byOwnLoad(request, candidate, latencyRatio, criteria.meanInFlight, nowSeconds);
            if (candidateCost < lowest) {
                lowest = candidateCost;
                cheapest = candidate;
            }
        }
        return cheapest;
    }
}
