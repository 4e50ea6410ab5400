package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.Outcome;
import portrelay.model.UpstreamId;

/**
 * Tests selection, hedging and messages where sidecars report their load to the peers that share upstreams. Names in
 * parentheses are the simulated runs that showed a failure.
 */
class SharedLoadTest {

    /** Guards against a choice by the sidecar's own attempts alone (amman-main big-2). */
    @Test
    void peersAttemptInFlightCountsUntilItsEndIsReported() {
        SidecarPool pool = new SidecarPool(5);
        Map<Set<UpstreamId>, List<LoadBalancerHarness>> bySubset = new HashMap<>();
        for (LoadBalancerHarness sidecar : pool.sidecars.values()) {
            bySubset.computeIfAbsent(SidecarPool.usedBy(sidecar), k -> new ArrayList<>())
                    .add(sidecar);
        }
        pool.deliverMessages();
        List<LoadBalancerHarness> peers = bySubset.values().stream()
                .filter(each -> each.size() >= 2)
                .findFirst()
                .orElseThrow();
        LoadBalancerHarness first = peers.get(0);
        LoadBalancerHarness second = peers.get(1);
        first.requestArrives("a", LoadBalancerHarness.UNSAFE, 2);
        pool.deliverMessages();
        for (int i = 0; i < 10; i++) {
            second.requestArrives("b" + i, LoadBalancerHarness.UNSAFE, 2);
            assertNotEquals(first.lastSent().upstream(), second.lastSent().upstream());
            second.attemptEnds(second.lastSent(), Outcome.SERVED);
        }
    }

    /** Guards against attempts on connections that were dropped while idle (amman-main, idle_reap). */
    @Test
    void idleConnectionsAreReplacedAfterTwoWereLost() {
        SidecarPool pool = new SidecarPool(5);
        LoadBalancerHarness harness = pool.sidecars.get(0);
        SidecarPool.usedBy(harness);
        for (int lost = 0; lost < 2; lost++) {
            harness.advance(1);
            harness.requestArrives("lost" + lost, LoadBalancerHarness.UNSAFE, 2);
            LoadBalancerHarness.SentAttempt unanswered = harness.lastSent();
            for (int i = 0; i < 12; i++) {
                harness.requestArrives("on" + lost + i, LoadBalancerHarness.UNSAFE, 2);
                harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
            }
            // Peers are still served at each upstream of the subset.
            String startMessage = harness.messages.stream()
                    .map(LoadBalancerHarness.Message::text)
                    .filter(t -> t.length() == 2)
                    .reduce((a, b) -> b)
                    .orElseThrow();
            for (char code = '!'; code < '!' + 23; code++) {
                for (int i = 0; i < 8; i++) {
                    harness.loadBalancer.peerMessageReceived(harness.now, 4, "" + code + startMessage.charAt(1));
                    harness.loadBalancer.peerMessageReceived(harness.now, 4, "" + (char) (code + 23));
                }
            }
            harness.advance(0.3);
            harness.attemptEnds(unanswered, Outcome.TIMED_OUT);
        }
        // Broadcast twice, because no other sidecar acts on a single report.
        assertEquals(
                2,
                harness.messages.stream()
                        .filter(each -> each.to() == LoadBalancerHarness.ALL_SIDECARS
                                && each.text().startsWith("~r"))
                        .count());
        harness.advance(1);
        int before = harness.idleConnectionsClosed.size();
        harness.requestArrives("next", LoadBalancerHarness.UNSAFE, 2);
        assertEquals(harness.lastSent().upstream(), harness.idleConnectionsClosed.get(before));
    }

    /** Guards against using a weight that falls with load as the capacity (amman-main). */
    @Test
    void capacityAndCoresAreReadFromALiveWeight() {
        UpstreamState upstream = new UpstreamState(new UpstreamId(1), 2);
        for (double weight : new double[] {2, 2 / 1.5, 1, 2 / 2.5}) {
            upstream.loadWeight.update(weight, true);
        }
        assertEquals(2, upstream.loadWeight.capacity());
        assertEquals(2, upstream.loadWeight.cores());
        assertEquals(2, upstream.loadWeight.inFlight(), 1e-9);
        upstream.loadWeight.update(0.5, false);
        assertEquals(0.5, upstream.loadWeight.capacity());
    }

    /** Serves a hundred requests one by one with the given latency, so that the typical latency is known. */
    private static void learnLatency(LoadBalancerHarness harness, int requestClass, double seconds) {
        for (int i = 0; i < 100; i++) {
            harness.requestArrives("w" + requestClass + "-" + i, requestClass, 2);
            LoadBalancerHarness.SentAttempt sent = harness.lastSent();
            harness.advance(seconds);
            harness.attemptEnds(sent, Outcome.SERVED);
        }
    }

    /** Guards against attempts that count as in flight for ever because a killed sidecar reports no end. */
    @Test
    void attemptsOfAKilledPeerAreForgottenAfterTheLongestDeadline() {
        SidecarPool pool = new SidecarPool(5);
        LoadBalancerHarness harness = pool.sidecars.get(0);
        learnLatency(harness, LoadBalancerHarness.UNSAFE, 0.05);
        for (char code = '!'; code < '!' + 3; code++) {
            for (int i = 0; i < 30; i++) {
                harness.loadBalancer.peerMessageReceived(harness.now, 4, "" + code + "!");
            }
        }
        int sent = harness.sent.size();
        harness.requestArrives("behind", LoadBalancerHarness.UNSAFE, 2);
        assertEquals(sent, harness.sent.size(), "sent although thirty attempts are in flight at each upstream");
        harness.advance(2.1);
        harness.loadBalancer.peerMessageReceived(harness.now, 3, "~h!");
        harness.requestArrives("after", LoadBalancerHarness.UNSAFE, 2);
        assertEquals(sent + 1, harness.sent.size());
    }

    /** Guards against an unresponsive upstream that attracts requests (amman-main, hang). */
    @Test
    void upstreamWithUnansweredAttemptsIsNotChosen() {
        LoadBalancerHarness harness = new LoadBalancerHarness(3, LoadBalancerHarness.sharingLoad(0, 0));
        harness.listReady(3);
        harness.requestArrives("hung", LoadBalancerHarness.UNSAFE, 2);
        UpstreamId unresponsive = harness.lastSent().upstream();
        harness.advance(0.31);
        for (int i = 0; i < 30; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            harness.requestArrives("r" + i, LoadBalancerHarness.UNSAFE, 2);
            List<LoadBalancerHarness.SentAttempt> two =
                    harness.sent.subList(harness.sent.size() - 2, harness.sent.size());
            two.forEach(each -> assertNotEquals(unresponsive, each.upstream()));
            List.copyOf(two).forEach(each -> harness.attemptEnds(each, Outcome.SERVED));
        }
    }

    /** Guards against all upstreams looking idle while no message arrives (amman-main, peer_down). */
    @Test
    void listedWeightsShowTheLoadWhilePeersAreSilent() {
        SidecarPool pool = new SidecarPool(5);
        LoadBalancerHarness harness = pool.sidecars.get(0);
        learnLatency(harness, LoadBalancerHarness.UNSAFE, 0.05);
        long cell = harness.lastSent().upstream().value() / 3;
        for (int update = 0; update < 3; update++) {
            double[] weights = new double[12];
            for (int i = 0; i < 12; i++) {
                weights[i] = i == cell * 3 ? 1 / 4.0 : 1;
            }
            harness.listWeights(weights);
        }
        harness.advance(1);
        int sentToLoaded = 0;
        for (int i = 0; i < 300; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            boolean isLoaded = harness.lastSent().upstream().value() == cell * 3;
            sentToLoaded += isLoaded ? 1 : 0;
            harness.advance(isLoaded ? 0.2 : 0.05);
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        assertTrue(sentToLoaded < 60, sentToLoaded + " of 300 requests sent to the upstream with three in flight");
    }

    /**
     * Guards against admitting requests whose expected latency just meets the objective, of which half are then late
     * (amman-main overload).
     */
    @Test
    void requestsNeedMoreSlackWithinTheObjectiveWhereTheFleetIsLoaded() {
        assertEquals(0, rejectedOfSixAtWeights(1, 1, 1), "rejected though the fleet is not loaded");
        assertTrue(rejectedOfSixAtWeights(0.25, 0.25, 0.25) > 0, "none rejected though the fleet is loaded");
    }

    /** Returns how many of six simultaneous requests are rejected if three upstreams are listed with these weights. */
    private static int rejectedOfSixAtWeights(double... weights) {
        LoadBalancerHarness harness = new LoadBalancerHarness(5, LoadBalancerHarness.sharingLoad(0, 0));
        harness.listReady(3);
        learnLatency(harness, LoadBalancerHarness.UNSAFE, 0.15);
        for (int update = 0; update < 3; update++) {
            harness.listWeights(weights);
        }
        for (int i = 0; i < 6; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
        }
        harness.advance(0.1);
        return harness.rejected.size();
    }

    /** Guards against choosing an idle warming-up upstream although it is three times as slow (ktm-refund-hall). */
    @Test
    void idleWarmingUpUpstreamIsNotChosenLikeAnIdleWarmOne() {
        LoadBalancerHarness harness = new LoadBalancerHarness(3, LoadBalancerHarness.sharingLoad(0, 0));
        harness.listReady(2);
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(2, Endpoint.Health.READY, harness.now)));
        int sentToCold = 0;
        for (int i = 0; i < 60; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            sentToCold += harness.lastSent().upstream().value() == 2 ? 1 : 0;
            harness.advance(0.01);
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        assertEquals(0, sentToCold);
    }

    /** Guards against a restarted sidecar that reads capacities from weights lowered by load (amman-main). */
    @Test
    void capacityOfAnInstanceTypeIsThatOfItsIdlestInstance() {
        LoadBalancerHarness restarted = new LoadBalancerHarness(3, LoadBalancerHarness.sharingLoad(0, 0));
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            Endpoint endpoint = LoadBalancerHarness.endpoint(i, Endpoint.Health.READY, 0);
            endpoints.add(new Endpoint(
                    endpoint.id(),
                    endpoint.health(),
                    0,
                    i == 1 ? 1 : 1 / (1.0 + i),
                    endpoint.cell(),
                    endpoint.zone(),
                    endpoint.instanceType()));
        }
        // Upstreams 0 and 2 have the same instance type: 0 is idle and listed at its capacity; 2 has two attempts in
        // flight and is listed at a third of it.
        restarted.loadBalancer.endpointsUpdated(restarted.now, EndpointUpdate.CACHED, endpoints);
        Set<UpstreamId> used = new HashSet<>();
        for (int i = 0; i < 3; i++) {
            restarted.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            used.add(restarted.lastSent().upstream());
        }
        assertEquals(3, used.size(), "one upstream counts with a third of its capacity");
    }

    /** Guards against hedges at half the budget, which is after the latency objective (amman-main). */
    @Test
    void hedgeIsSentOnlyWhileItCanMeetTheObjective() {
        LoadBalancerHarness harness = new LoadBalancerHarness(3, LoadBalancerHarness.sharingLoad(0, 0));
        harness.listReady(3);
        learnLatency(harness, LoadBalancerHarness.SAFE, 0.05);
        int before = harness.sent.size();
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        harness.advance(0.25);
        assertEquals(before + 2, harness.sent.size(), "no hedge at 0.6 of the objective of 0.4 s");
        LoadBalancerHarness slow = new LoadBalancerHarness(3, LoadBalancerHarness.sharingLoad(0, 0));
        slow.listReady(3);
        learnLatency(slow, LoadBalancerHarness.SAFE, 0.2);
        before = slow.sent.size();
        slow.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        slow.advance(1.5);
        assertEquals(before + 1, slow.sent.size(), "a hedge that would end at 0.44 s, after the objective of 0.4 s");
    }
}
