package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.model.Outcome;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/**
 * Tests many load balancers in virtual time, for behaviour that is harmless in one sidecar but harmful in all at once.
 */
class FleetSimulationTest {

    private static final int SIDECARS = 14;
    private static final int UPSTREAMS = 60;
    private static final double REQUESTS_PER_SECOND = 60;

    /** Guards against two upstreams with the same code in messages, where one of them looks idle to all sidecars. */
    @Test
    void noUpstreamIsOverloadedBecauseItsCodeIsShared() {
        FleetSimulation fleet = new FleetSimulation(1, SIDECARS, UPSTREAMS);
        fleet.publishEndpoints();
        fleet.run(2, REQUESTS_PER_SECOND);
        fleet.resetCounts();
        fleet.run(4, REQUESTS_PER_SECOND);
        int[] sent = fleet.sentCounts();
        double mean = Arrays.stream(sent).average().orElseThrow();
        assertTrue(sent[sent.length - 1] < 3 * mean, Arrays.toString(sent));
        assertTrue(sent[0] > 0.3 * mean, Arrays.toString(sent));
        assertTrue(fleet.servedCount > 0.97 * fleet.arrivalCount(), fleet.servedCount + " of " + fleet.arrivalCount());
    }

    /**
     * Guards against one datagram for each peer in small fleets, and against counting a sidecar's own broadcast twice.
     */
    @Test
    void broadcastReplacesSingleMessagesAndItsSenderCountsItOnce() {
        LoadBalancerHarness harness = new LoadBalancerHarness(
                1, new Topology(0, 2, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, true, false));
        harness.listReady(2);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(
                List.of(LoadBalancerHarness.ALL_SIDECARS),
                harness.messages.stream().map(LoadBalancerHarness.Message::to).toList());
        harness.loadBalancer.peerMessageReceived(
                harness.now, 0, harness.messages.get(0).text());
        UpstreamId first = harness.lastSent().upstream();
        harness.now += 0.05;
        harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        boolean wasUsedAgain = false;
        for (int i = 0; i < 20; i++) {
            harness.requestArrives("b" + i, LoadBalancerHarness.SAFE, 2);
            wasUsedAgain |= harness.lastSent().upstream().equals(first);
            harness.now += 0.05;
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        assertTrue(wasUsedAgain, "an attempt that has ended still counts as in flight");
    }

    /** Guards against unresponsive upstreams that look idle again, and against the ejection of restarted ones. */
    @Test
    void unresponsiveZoneFailsOnlyRequestsSentThereAndIsUsedAgainAfterItsRestart() {
        FleetSimulation fleet = new FleetSimulation(1, SIDECARS, UPSTREAMS);
        fleet.publishEndpoints();
        fleet.run(4, REQUESTS_PER_SECOND, LoadBalancerHarness.UNSAFE);
        List<FleetSimulation.Server> zoneServers = fleet.servers.values().stream()
                .filter(server -> server.id.value() < UPSTREAMS / 3)
                .toList();
        zoneServers.forEach(server -> server.isUnresponsive = true);
        fleet.resetCounts();
        fleet.run(5, REQUESTS_PER_SECOND, LoadBalancerHarness.UNSAFE);
        int sentToUnresponsive =
                zoneServers.stream().mapToInt(server -> server.sentCount).sum();
        assertTrue(
                sentToUnresponsive < 0.028 * fleet.arrivalCount(), sentToUnresponsive + " of " + fleet.arrivalCount());
        assertTrue(fleet.rejected() < 0.01 * fleet.arrivalCount(), fleet.rejected() + " of " + fleet.arrivalCount());
        zoneServers.forEach(server -> server.restart(true));
        fleet.publishEndpoints();
        fleet.resetCounts();
        fleet.run(5, REQUESTS_PER_SECOND, LoadBalancerHarness.UNSAFE);
        int fewest =
                zoneServers.stream().mapToInt(server -> server.sentCount).min().orElseThrow();
        assertTrue(fewest >= 10, "fewest attempts at a restarted upstream: " + fewest);
        assertTrue(fleet.rejected() < 0.01 * fleet.arrivalCount(), fleet.rejected() + " of " + fleet.arrivalCount());
        fleet.run(2.5, 0);
        assertEquals(0, fleet.openRequestCount(), "requests without a final answer");
    }

    /** Guards against restarted sidecars that know of no attempt in flight and all send to the same upstreams. */
    @Test
    void restartOfMostSidecarsOverloadsNoUpstream() {
        FleetSimulation fleet = new FleetSimulation(2, SIDECARS, UPSTREAMS);
        fleet.publishEndpoints();
        fleet.run(4, REQUESTS_PER_SECOND);
        for (int i = 0; i < 10; i++) {
            fleet.restart(i);
        }
        fleet.resetCounts();
        fleet.run(2, REQUESTS_PER_SECOND);
        int[] sent = fleet.sentCounts();
        double mean = Arrays.stream(sent).average().orElseThrow();
        assertTrue(sent[sent.length - 1] < 3 * mean, Arrays.toString(sent));
        assertTrue(fleet.servedCount > 0.95 * fleet.arrivalCount(), fleet.servedCount + " of " + fleet.arrivalCount());
    }

    /** Guards against all sidecars together overloading warming-up upstreams, one or most of the fleet at once. */
    @Test
    void warmingUpUpstreamsAreNotOverloadedByAllSidecars() {
        for (int sidecars : new int[] {SIDECARS, 100}) {
            for (int coldCount : new int[] {1, 36}) {
                FleetSimulation fleet = new FleetSimulation(3, sidecars, UPSTREAMS);
                fleet.lossShare = 0.05;
                fleet.maxDelaySeconds = 0.027;
                fleet.publishEndpoints();
                double rate = 840.0 / sidecars;
                fleet.run(3, rate);
                List<FleetSimulation.Server> coldServers = fleet.servers.values().stream()
                        .filter(server -> server.id.value() < coldCount)
                        .toList();
                coldServers.forEach(server -> server.restart(true));
                fleet.publishEndpoints();
                fleet.resetCounts();
                fleet.run(4, rate);
                int max = coldServers.stream()
                        .mapToInt(server -> server.maxArrivalsWithin(1))
                        .max()
                        .orElseThrow();
                String description = sidecars + " sidecars, " + coldCount + " warming up: up to " + max
                        + " attempts within a second, served " + fleet.servedCount
                        + " of "
                        + fleet.arrivalCount();
                // Two thirds of what overloads a warming-up upstream.
                assertTrue(max < 24, description);
                assertTrue(fleet.servedCount > 0.9 * fleet.arrivalCount(), description);
            }
        }
    }

    /** Guards against attempts that count as in flight for ever after lost or doubled messages or a killed sidecar. */
    @Test
    void inFlightCountsRecoverFromLostMessages() {
        FleetSimulation fleet = new FleetSimulation(4, SIDECARS, 20);
        fleet.lossShare = 0.3;
        fleet.duplicateShare = 0.1;
        fleet.maxDelaySeconds = 0.027;
        fleet.publishEndpoints();
        fleet.run(3, 30);
        fleet.restart(5);
        fleet.run(2, 30);
        fleet.lossShare = 0;
        fleet.duplicateShare = 0;
        fleet.run(2.1, 0);
        fleet.resetCounts();
        // Nothing is in flight any more, so all upstreams must look idle to all sidecars.
        fleet.run(3, 30);
        int[] sent = fleet.sentCounts();
        double mean = Arrays.stream(sent).average().orElseThrow();
        assertTrue(sent[0] > 0.4 * mean, Arrays.toString(sent));
        assertTrue(fleet.servedCount > 0.97 * fleet.arrivalCount(), fleet.servedCount + " of " + fleet.arrivalCount());
    }

    /** Guards against tables that keep a row for each replaced upstream. */
    @Test
    void noStateIsKeptOfReplacedUpstreams() {
        FleetSimulation fleet = new FleetSimulation(6, SIDECARS, UPSTREAMS);
        fleet.publishEndpoints();
        for (int i = 0; i < 5; i++) {
            fleet.run(1, REQUESTS_PER_SECOND);
            fleet.replace(36);
            fleet.publishEndpoints();
        }
        fleet.run(2.5, 0);
        for (LoadBalancerHarness harness : fleet.sidecars) {
            assertEquals(fleet.servers.keySet(), harness.loadBalancer.endpoints.ids());
            assertEquals(UPSTREAMS, harness.loadBalancer.endpoints.upstreams().size());
            assertEquals(0, harness.loadBalancer.requests.openCount());
            assertTrue(harness.loadBalancer.queue.isEmpty());
        }
        fleet.resetCounts();
        fleet.run(2, REQUESTS_PER_SECOND);
        assertTrue(fleet.servedCount > 0.9 * fleet.arrivalCount(), fleet.servedCount + " of " + fleet.arrivalCount());
    }
}
