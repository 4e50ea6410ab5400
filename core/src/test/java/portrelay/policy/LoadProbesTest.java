package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import portrelay.model.LoadReport;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;

/**
 * Tests selection where upstreams report their load in answers to probes. Names in parentheses are the simulated runs
 * that showed a failure.
 */
class LoadProbesTest {

    private final LoadBalancerHarness harness = new LoadBalancerHarness(3, LoadBalancerHarness.PROBING);

    private static LoadReport reportOfInFlight(double requests) {
        return new LoadReport(requests, 0, 0.5, Double.NaN, Double.NaN, Double.NaN);
    }

    /** Guards against a random choice by a sidecar that has no attempt in flight itself (ktm-refund-hall big-1). */
    @Test
    void firstIdleOfFiveProbedUpstreamsGetsTheRequest() {
        harness.listReady(20);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(5, harness.probed.size());
        assertTrue(harness.sent.isEmpty());
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(0), reportOfInFlight(2));
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(1), reportOfInFlight(0.02));
        assertEquals(harness.probed.get(1), harness.lastSent().upstream());
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(2), reportOfInFlight(0));
        assertEquals(1, harness.sent.size());
    }

    /** Guards against choosing an upstream that answers no probe, where all that answer are busy (ktm-refund-hall). */
    @Test
    void unansweredProbeTimesOutAndItsUpstreamIsNotChosen() {
        harness.listReady(20);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(3), reportOfInFlight(1));
        harness.advance(0.0045);
        assertTrue(harness.probed.size() > 7, "no second round of probes although no upstream was idle");
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(7), reportOfInFlight(1));
        harness.advance(0.0045);
        assertTrue(Set.of(harness.probed.get(3), harness.probed.get(7))
                .contains(harness.lastSent().upstream()));
    }

    @Test
    void requestIsSentAlthoughAllProbesFail() {
        harness.listReady(20);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(0), null);
        harness.loadBalancer.loadReported(harness.now, harness.probed.get(1), reportOfInFlight(Double.NaN));
        harness.advance(0.009);
        assertEquals(1, harness.sent.size());
    }

    /** Guards against client retries that fill queues, and whose probes load the sidecars (ktm-refund-hall i122c47). */
    @Test
    void clientRetryTakesOnlyAFreeCoreAndIsOtherwiseRejectedWithAShortRetryAfter() {
        harness.listReady(4);
        harness.loadBalancer.requestArrived(
                harness.now,
                new RequestArrival(
                        new RequestId("r"),
                        new RequestClassId(LoadBalancerHarness.SAFE),
                        null,
                        null,
                        harness.now + 2,
                        Double.NaN,
                        true));
        for (int i = 0; i < 40; i++) {
            List.copyOf(harness.probed)
                    .forEach(each -> harness.loadBalancer.loadReported(harness.now, each, reportOfInFlight(1)));
            harness.advance(0.002);
        }
        assertTrue(harness.sent.isEmpty());
        assertEquals(1, harness.rejected.size());
        assertEquals(4, harness.probed.size(), "upstreams were probed more than once");
        assertTrue(harness.retryAfter > 0 && harness.retryAfter < 0.1, "Retry-After " + harness.retryAfter);
    }

    /** Guards against a rejection where capacity becomes free within milliseconds (ktm-refund-hall overload). */
    @Test
    void upstreamsAreProbedAgainBeforeARequestWithoutUpstreamIsRejected() {
        harness.listReady(5);
        harness.requestArrives("a", LoadBalancerHarness.UNSAFE, 2);
        for (int i = 0; i < 2; i++) {
            List.copyOf(harness.probed)
                    .forEach(each -> harness.loadBalancer.loadReported(harness.now, each, reportOfInFlight(9)));
            harness.advance(0.005);
        }
        assertTrue(harness.sent.isEmpty() && harness.rejected.isEmpty());
        int before = harness.probed.size();
        harness.advance(0.02);
        assertTrue(harness.probed.size() > before, "no further probe was sent");
        harness.loadBalancer.loadReported(
                harness.now, harness.probed.get(harness.probed.size() - 1), reportOfInFlight(0));
        assertEquals(1, harness.sent.size());
    }
}
