package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import portrelay.model.AdaptiveLimit;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.IdleConnectionAge;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantUsage;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.policy.UpstreamSelector.Rule;
import portrelay.policy.UpstreamSelector.Selection;

/** Tests the order of the selection rules in a sidecar that knows its own attempts only. */
class UpstreamSelectorTest {

    private static final double NOW = 100;
    private static final int UPSTREAMS = 3;
    private static final int LIMIT = 3;

    private final AdaptiveLimit concurrencyLimit = new AdaptiveLimit();
    private EndpointTable endpoints;
    private UpstreamSelector selector;

    @BeforeEach
    void createSelector() {
        Topology topology = LoadBalancerHarness.STANDALONE;
        SplittableRandom random = new SplittableRandom(1);
        endpoints = new EndpointTable(topology, 2, random);
        Subset subset = new Subset(new LoadBalancerHarness(1), topology);
        SlowStart slowStart = new SlowStart(LoadBalancerHarness.SLOW_START, 1);
        LoadEstimator load = new LoadEstimator(topology, endpoints, subset, slowStart, new IdleConnectionAge(), 0.4);
        CandidateWindow candidates = new CandidateWindow(endpoints, subset);
        FleetState fleet = new FleetState(topology, endpoints, subset, candidates, slowStart, load);
        LatencyTracker latencies = new LatencyTracker(LoadBalancerHarness.REQUEST_CLASSES.size());
        UpstreamEligibility eligibility = new UpstreamEligibility(
                fleet, new RetryPolicy(LoadBalancerHarness.ATTEMPT_RULES, load), concurrencyLimit);
        LatencyObjectiveCheck objective = new LatencyObjectiveCheck(latencies, new TenantUsage(List.of(), 1));
        UpstreamCost cost = new UpstreamCost(fleet, latencies, objective, random);
        selector = new UpstreamSelector(fleet, eligibility, latencies, cost, random);
        endpoints.update(
                EndpointUpdate.CACHED,
                IntStream.range(0, UPSTREAMS)
                        .mapToObj(id -> LoadBalancerHarness.endpoint(id, Endpoint.Health.READY, 0))
                        .toList(),
                NOW);
    }

    private UpstreamState upstream(int id) {
        return endpoints.get(new UpstreamId(id));
    }

    private Selection select(int requestClass) {
        RequestArrival arrival = new RequestArrival(
                new RequestId("a"), new RequestClassId(requestClass), null, null, NOW + 2, Double.NaN, false);
        OpenRequest request = new OpenRequest(arrival, LoadBalancerHarness.REQUEST_CLASSES.get(requestClass), NOW);
        return selector.select(request, true, NOW);
    }

    @Test
    void dueTrialOfAnEjectedUpstreamPrecedesAllOtherRules() {
        upstream(1).hedgesLost = UpstreamState.HEDGE_LOSSES_TO_EJECT;
        assertEquals(new Selection(upstream(1), Rule.TRIAL), select(LoadBalancerHarness.SAFE));
    }

    @Test
    void requestThatIsNotSafeIsNotUsedForATrial() {
        upstream(1).hedgesLost = UpstreamState.HEDGE_LOSSES_TO_EJECT;
        Selection selection = select(LoadBalancerHarness.UNSAFE);
        assertEquals(Rule.LOWEST_COST, selection.rule());
        assertNotEquals(upstream(1), selection.upstream());
    }

    @Test
    void idleWarmingUpUpstreamWithCreditPrecedesTheCheapest() {
        upstream(2).enabledAt = NOW - 1;
        upstream(2).slowStartCredit = 1;
        assertEquals(new Selection(upstream(2), Rule.WARMING_UP), select(LoadBalancerHarness.SAFE));
        upstream(2).slowStartCredit = 0.5;
        assertEquals(Rule.LOWEST_COST, select(LoadBalancerHarness.SAFE).rule());
    }

    @Test
    void upstreamWithFewestInFlightIsCheapestWhereNoneIsIdle() {
        for (int id = 0; id < UPSTREAMS; id++) {
            upstream(id).inFlight = UPSTREAMS - id;
        }
        assertEquals(new Selection(upstream(UPSTREAMS - 1), Rule.LOWEST_COST), select(LoadBalancerHarness.SAFE));
    }

    @Test
    void slowUpstreamsAreUsedWhereAllAreSlow() {
        for (int id = 0; id < UPSTREAMS; id++) {
            for (int sample = 0; sample < 8; sample++) {
                upstream(id).latencyRatios.add(NOW, 4);
            }
        }
        assertEquals(Rule.LOWEST_COST_OR_SLOW, select(LoadBalancerHarness.SAFE).rule());
    }

    /** Selects while two upstreams are not slow but have attempts in flight, and the third has given slow answers. */
    private Selection selectBesideBusy(int inFlight, int slowAnswers) {
        for (int id = 0; id < UPSTREAMS - 1; id++) {
            upstream(id).inFlight = inFlight;
        }
        for (int sample = 0; sample < slowAnswers; sample++) {
            upstream(UPSTREAMS - 1).latencyRatios.add(NOW, 4);
        }
        return select(LoadBalancerHarness.SAFE);
    }

    /** Guards against one slow answer, as each first one is, that sends all requests elsewhere for seconds. */
    @Test
    void upstreamIsNotSlowAfterOneSlowAnswer() {
        assertEquals(new Selection(upstream(UPSTREAMS - 1), Rule.LOWEST_COST), selectBesideBusy(1, 1));
    }

    /**
     * With two answers at 4 times the typical latency, the idle upstream is expected to take 3 times that latency, as
     * the prior counts as one sample at the typical latency. The busy ones are expected to take 2 + 1 times it with two
     * attempts in flight, and 3 + 1 times it with three.
     */
    @Test
    void idleSlowUpstreamIsUsedWhereItIsExpectedToAnswerSooner() {
        assertEquals(Rule.LOWEST_COST, selectBesideBusy(2, 2).rule());
        assertNotEquals(upstream(UPSTREAMS - 1), selectBesideBusy(2, 0).upstream());
        assertEquals(new Selection(upstream(UPSTREAMS - 1), Rule.IDLE_THOUGH_SLOW), selectBesideBusy(3, 0));
    }

    @Test
    void noUpstreamIsChosenWhereTheConcurrencyLimitIsReached() {
        concurrencyLimit.attemptsStarted(LIMIT);
        Selection selection = select(LoadBalancerHarness.SAFE);
        assertEquals(Rule.NONE, selection.rule());
        assertNull(selection.upstream());
    }
}
