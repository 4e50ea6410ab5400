package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.Outcome;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;

/** Tests upstreams that operators disable and enable. */
class DisabledUpstreamTest {

    /** The upstream that the tests disable, and most of them enable again. */
    private static final UpstreamId TOGGLED_UPSTREAM = new UpstreamId(0);

    /** Serves safe requests one by one, and returns whether an attempt of one of them was sent to the upstream. */
    private static boolean isToggledUpstreamUsed(LoadBalancerHarness harness, int requests) {
        int before = harness.sent.size();
        for (int i = 0; i < requests; i++) {
            harness.requestArrives("u" + harness.now + "-" + i, LoadBalancerHarness.SAFE, 2);
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
            harness.advance(0.01);
        }
        return harness.sent.subList(before, harness.sent.size()).stream()
                .anyMatch(each -> each.upstream().equals(TOGGLED_UPSTREAM));
    }

    @Test
    void noEndpointUpdateEnablesADisabledUpstream() {
        LoadBalancerHarness harness = new LoadBalancerHarness(1);
        harness.listReady(3);
        assertTrue(isToggledUpstreamUsed(harness, 60));
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
        assertTrue(!isToggledUpstreamUsed(harness, 60));
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.DRAINING, 0)));
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.READY, 0)));
        assertTrue(!isToggledUpstreamUsed(harness, 60), "used after it was drained and listed as ready again");
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.GONE, 0)));
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.READY, harness.now)));
        assertTrue(!isToggledUpstreamUsed(harness, 60), "used after it was unlisted and listed again");
        harness.listReady(3);
        assertTrue(!isToggledUpstreamUsed(harness, 60), "used after a complete endpoint list");
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, false);
        harness.advance(15);
        assertTrue(
                isToggledUpstreamUsed(harness, 60),
                "not used: enabling once must be enough however often it was disabled");
    }

    @Test
    void disabledUpstreamGetsNoHedgeRetryOrQueuedRequest() {
        for (int seed = 0; seed < 20; seed++) {
            LoadBalancerHarness harness = new LoadBalancerHarness(seed);
            harness.listReady(2);
            harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
            harness.requestArrives("copy", LoadBalancerHarness.SAFE, 2);
            harness.advance(1.5);
            harness.attemptEnds(harness.lastSent(), Outcome.ERROR);
            harness.requestArrives("further", LoadBalancerHarness.UNSAFE, 2);
            harness.attemptEnds(harness.lastSent(), Outcome.OVERLOADED);
            harness.advance(1);
            harness.sent.forEach(each -> assertNotEquals(TOGGLED_UPSTREAM, each.upstream()));
        }
    }

    @Test
    void enabledUpstreamStaysUnusedWhileTheListSaysDraining() {
        LoadBalancerHarness harness = new LoadBalancerHarness(2);
        harness.listReady(3);
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.DRAINING, 0)));
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, false);
        assertTrue(!isToggledUpstreamUsed(harness, 60));
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.READY, 0)));
        harness.advance(15);
        assertTrue(isToggledUpstreamUsed(harness, 60));
    }

    @Test
    void enabledUpstreamWarmsUpAndIsNoLongerEjected() {
        LoadBalancerHarness harness = new LoadBalancerHarness(4);
        harness.listReady(3);
        // Ejected by a failed connection.
        while (!harness.sent.stream().anyMatch(each -> each.upstream().equals(TOGGLED_UPSTREAM))) {
            harness.requestArrives("n" + harness.sent.size(), LoadBalancerHarness.SAFE, 2);
            LoadBalancerHarness.SentAttempt attempt = harness.lastSent();
            harness.attemptEnds(
                    attempt, attempt.upstream().equals(TOGGLED_UPSTREAM) ? Outcome.CONNECT_FAILED : Outcome.SERVED);
        }
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, false);
        // It warms up from the enabling call on, and meanwhile gets a share of the attempts that a warm upstream gets.
        int requests = 300;
        int before = harness.sent.size();
        for (int i = 0; i < requests; i++) {
            harness.requestArrives("c" + i, LoadBalancerHarness.SAFE, 2);
            harness.advance(0.004);
            harness.sent
                    .subList(harness.sent.size() - 1, harness.sent.size())
                    .forEach(s -> harness.attemptEnds(s, Outcome.SERVED));
            harness.advance(0.006);
        }
        long sentWhileWarmingUp = harness.sent.subList(before, harness.sent.size()).stream()
                .filter(s -> s.upstream().equals(TOGGLED_UPSTREAM))
                .count();
        assertTrue(
                sentWhileWarmingUp >= 1 && sentWhileWarmingUp < requests / 4,
                "attempts sent to it while it warms up: " + sentWhileWarmingUp);
        // More attempts than the trials that an ejected upstream gets.
        harness.advance(1);
        int sentBeforeLast = harness.sent.size();
        isToggledUpstreamUsed(harness, 60);
        long sentLast = harness.sent.subList(sentBeforeLast, harness.sent.size()).stream()
                .filter(s -> s.upstream().equals(TOGGLED_UPSTREAM))
                .count();
        assertTrue(sentLast >= 5, "still ejected: it got " + sentLast + " of 60 requests");
    }

    @Test
    void enabledUpstreamIsTriedWithinFiveSecondsUnderLittleTraffic() {
        for (int seed = 0; seed < 50; seed++) {
            LoadBalancerHarness harness = new LoadBalancerHarness(seed);
            harness.listReady(10);
            harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
            harness.advance(3);
            harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, false);
            double enabledAt = harness.now;
            boolean wasTried = false;
            for (int i = 0; harness.now < enabledAt + 5; i++) {
                harness.requestArrives("t" + i, LoadBalancerHarness.SAFE, 2);
                wasTried |= harness.lastSent().upstream().equals(TOGGLED_UPSTREAM);
                harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
                harness.advance(0.7);
            }
            assertTrue(wasTried, "not tried within five seconds, seed " + seed);
        }
    }

    @Test
    void requestIsRejectedAtOnceWhileAllUpstreamsAreDisabledAndSentAfterOneIsEnabled() {
        LoadBalancerHarness harness = new LoadBalancerHarness(5);
        harness.listReady(1);
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, true);
        RequestId rejected = harness.requestArrives("none", LoadBalancerHarness.UNSAFE, 2);
        assertEquals(List.of(rejected), harness.rejected);
        harness.loadBalancer.setDisabled(harness.now, TOGGLED_UPSTREAM, false);
        harness.requestArrives("one", LoadBalancerHarness.UNSAFE, 2);
        assertEquals(TOGGLED_UPSTREAM, harness.lastSent().upstream());
    }

    @Test
    void retryStaysInTheDeduplicationScopeOfADisabledUpstream() {
        LoadBalancerHarness harness = new LoadBalancerHarness(6);
        harness.listReady(6);
        RequestId id = harness.requestArrives("n", LoadBalancerHarness.KEYED_IN_CELL, 2);
        UpstreamId first = harness.lastSent().upstream();
        harness.loadBalancer.setDisabled(harness.now, first, true);
        harness.attemptEnds(harness.lastSent(), Outcome.ERROR);
        // Only the cell of the first attempt deduplicates a retry, so only its two other upstreams may get it.
        harness.sent.stream()
                .filter(s -> s.request().equals(id))
                .forEach(s -> assertEquals(first.value() / 3, s.upstream().value() / 3));
        while (harness.failed.isEmpty()) {
            harness.attemptEnds(harness.lastSent(), Outcome.ERROR);
        }
        assertTrue(harness.rejected.isEmpty());
    }
}
