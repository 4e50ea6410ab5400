package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.Outcome;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** Tests that the work of a decision has a bound, and that decisions stay right, with thousands of upstreams. */
class CandidateWindowTest {

    private static final int MANY = 6400;
    private static final int CELL_SIZE = 4;

    private final EndpointTable endpoints =
            new EndpointTable(LoadBalancerHarness.STANDALONE, 2, new SplittableRandom(1));
    private final CandidateWindow window =
            new CandidateWindow(endpoints, new Subset(new LoadBalancerHarness(1), LoadBalancerHarness.STANDALONE));

    private static Endpoint endpoint(int id, Endpoint.Health health) {
        return new Endpoint(
                new UpstreamId(id), health, 0, 1, new CellId(id / CELL_SIZE), new ZoneId(0), new InstanceTypeId(0));
    }

    private static List<Endpoint> rows(int from, int to, Endpoint.Health health) {
        return IntStream.range(from, to).mapToObj(id -> endpoint(id, health)).toList();
    }

    private void list(int rows) {
        endpoints.update(EndpointUpdate.COMPLETE, rows(0, rows, Endpoint.Health.READY), 0);
    }

    @Test
    void aShortListIsLookedAtAsAWhole() {
        list(CandidateWindow.MAX_UPSTREAMS);
        assertSame(endpoints.upstreams(), window.upstreams());
        assertEquals(1, window.subsetPerWindow());
    }

    @Test
    void ofALongListEachSelectionLooksAtABoundedPartAndAllOfThemAtTheWhole() {
        list(MANY);
        Set<UpstreamState> seen = new HashSet<>();
        for (int i = 0; i < MANY / CandidateWindow.MAX_UPSTREAMS; i++) {
            window.moveOn(each -> false);
            assertEquals(CandidateWindow.MAX_UPSTREAMS, window.upstreams().size());
            seen.addAll(window.upstreams());
        }
        assertEquals(MANY, seen.size());
        assertEquals(MANY / CandidateWindow.MAX_UPSTREAMS, window.subsetPerWindow());
    }

    @Test
    void aWindowOfAvoidedUpstreamsIsPassedOver() {
        list(MANY);
        List<UpstreamState> avoided = endpoints.upstreams().subList(0, 2 * CandidateWindow.MAX_UPSTREAMS);
        window.moveOn(avoided::contains);
        assertSame(endpoints.upstreams().get(avoided.size()), window.upstreams().get(0));
    }

    @Test
    void aListThatShrinksBelowTheWindowIsLookedAtAsAWhole() {
        list(MANY);
        window.moveOn(each -> false);
        list(3);
        window.moveOn(each -> false);
        assertEquals(3, window.upstreams().size());
    }

    /** Guards against a retry that fails because the cell that it is bound to is outside of the window. */
    @Test
    void aKeyedRequestIsRepeatedInItsCellWithThousandsOfUpstreams() {
        LoadBalancerHarness harness = new LoadBalancerHarness(1);
        harness.loadBalancer.endpointsUpdated(
                harness.now, EndpointUpdate.COMPLETE, rows(0, MANY, Endpoint.Health.READY));
        for (int i = 0; i < 50; i++) {
            harness.requestArrives("k" + i, LoadBalancerHarness.KEYED_IN_CELL, 2);
            LoadBalancerHarness.SentAttempt first = harness.lastSent();
            harness.attemptEnds(first, Outcome.ERROR);
            LoadBalancerHarness.SentAttempt second = harness.lastSent();
            assertEquals(new RequestId("k" + i), second.request());
            assertEquals(1, second.index());
            assertEquals(first.upstream().value() / CELL_SIZE, second.upstream().value() / CELL_SIZE);
            harness.attemptEnds(second, Outcome.SERVED);
            harness.advance(0.01);
        }
    }

    /** Guards against an upstream of a former list that is still used, or kept, after all rows were replaced. */
    @Test
    void afterAChangeOfEveryRowOnlyNewUpstreamsAreUsedAndOldOnesForgotten() {
        LoadBalancerHarness harness = new LoadBalancerHarness(1);
        harness.loadBalancer.endpointsUpdated(
                harness.now, EndpointUpdate.COMPLETE, rows(0, MANY, Endpoint.Health.READY));
        List<LoadBalancerHarness.SentAttempt> inFlight = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            harness.requestArrives("old" + i, LoadBalancerHarness.SAFE, 2);
            inFlight.add(harness.lastSent());
        }
        harness.loadBalancer.endpointsUpdated(
                harness.now, EndpointUpdate.COMPLETE, rows(MANY, 2 * MANY, Endpoint.Health.READY));
        assertEquals(MANY + 3, harness.loadBalancer.endpoints.upstreams().size());
        inFlight.forEach(each -> harness.attemptEnds(each, Outcome.SERVED));
        assertEquals(MANY, harness.loadBalancer.endpoints.upstreams().size());
        for (int i = 0; i < 100; i++) {
            harness.requestArrives("new" + i, LoadBalancerHarness.SAFE, 2);
            assertTrue(harness.lastSent().upstream().value() >= MANY);
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
            harness.advance(0.01);
        }
    }
}
