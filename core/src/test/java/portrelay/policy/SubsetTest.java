package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.UpstreamId;

/**
 * Tests which upstreams a sidecar uses, and which messages it sends to its peers. Names in parentheses are the
 * simulated runs that showed a failure.
 */
class SubsetTest {

    /** Guards against connections from each sidecar to each upstream (amman-main big-1). */
    @Test
    void sidecarUsesOneSegmentOfItsOwnZone() {
        SidecarPool pool = new SidecarPool(5);
        for (int i = 0; i < 10; i++) {
            Set<UpstreamId> used = SidecarPool.usedBy(pool.sidecars.get(i));
            assertTrue(used.size() <= 3, "uses more than one segment of three upstreams: " + used);
            for (UpstreamId upstream : used) {
                assertEquals(i < 5 ? 0 : 1, upstream.value() / 6, "uses another zone although its own has capacity");
            }
        }
    }

    /** Guards against a zone with more traffic than capacity (amman-main, hall-b). */
    @Test
    void surplusSidecarsOfAZoneUseAnotherZone() {
        SidecarPool pool = new SidecarPool(8);
        int usingOtherZone = 0;
        for (int i = 0; i < 10; i++) {
            long firstUsedZone =
                    SidecarPool.usedBy(pool.sidecars.get(i)).iterator().next().value() / 6;
            usingOtherZone += i < 8 && firstUsedZone == 1 ? 1 : 0;
            assertTrue(i < 8 || firstUsedZone == 1);
        }
        assertEquals(3, usingOtherZone);
    }

    /** Guards against a broadcast by each sidecar at each endpoint update (amman-main i9d3891, 711 sidecars). */
    @Test
    void endpointUpdateCausesNoBroadcast() {
        SidecarPool pool = new SidecarPool(5);
        LoadBalancerHarness harness = pool.sidecars.get(0);
        long broadcasts = harness.messages.stream()
                .filter(each -> each.to() == LoadBalancerHarness.ALL_SIDECARS)
                .count();
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.DRAINING, 0)));
        harness.advance(5);
        pool.deliverMessages();
        assertEquals(1, broadcasts);
        assertEquals(
                1,
                harness.messages.stream()
                        .filter(each -> each.to() == LoadBalancerHarness.ALL_SIDECARS)
                        .count());
    }

    /** Guards against a broadcast by each restarted sidecar (amman-main, balancer_roll). */
    @Test
    void restartedSidecarLearnsTheMembersFromOnePeer() {
        SidecarPool pool = new SidecarPool(5);
        pool.sidecars.values().forEach(each -> each.advance(1));
        LoadBalancerHarness restarted = pool.sidecars.get(2);
        restarted.messages.clear();
        pool.deliveredCounts.put(2, 0);
        restarted.restart(99);
        restarted.listReady(12);
        for (int i = 0; i < 30; i++) {
            pool.deliverMessages();
            pool.sidecars.values().forEach(each -> each.advance(0.01));
        }
        assertTrue(
                restarted.messages.stream().noneMatch(each -> each.to() == LoadBalancerHarness.ALL_SIDECARS),
                "the restarted sidecar sent a broadcast");
        int before = restarted.messages.size();
        restarted.requestArrives("a", LoadBalancerHarness.UNSAFE, 2);
        assertTrue(restarted.messages.size() > before, "knows no peer of its subset");
    }

    @Test
    void malformedMessagesAndUnknownSendersChangeNothing() {
        SidecarPool pool = new SidecarPool(5);
        LoadBalancerHarness harness = pool.sidecars.get(0);
        long cell = SidecarPool.usedBy(harness).iterator().next().value() / 3;
        int sentBefore = harness.messages.size();
        for (String text : List.of("", "~", "~h", "~H", "~r", "~x!", "~m", "~mz", "~m!", "\u00e9", "z", "~~~~", "!")) {
            for (int from : new int[] {-1, 0, 3, 10, 4711}) {
                harness.loadBalancer.peerMessageReceived(harness.now, from, text);
            }
        }
        assertEquals(sentBefore, harness.messages.size(), "answered a malformed message or an unknown sender");
        harness.advance(2);
        assertTrue(SidecarPool.usedBy(harness).stream().allMatch(each -> each.value() / 3 == cell));
        assertEquals(0, harness.rejected.size());
    }

    @Test
    void drainingUpstreamLeavesTheSubsetAtOnce() {
        SidecarPool pool = new SidecarPool(5);
        LoadBalancerHarness harness = pool.sidecars.get(0);
        UpstreamId draining = SidecarPool.usedBy(harness).iterator().next();
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint((int) draining.value(), Endpoint.Health.DRAINING, 0)));
        assertTrue(!SidecarPool.usedBy(harness).contains(draining));
    }
}
