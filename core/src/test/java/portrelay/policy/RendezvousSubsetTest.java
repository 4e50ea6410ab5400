package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.Outcome;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/**
 * Subsets by rendezvous hashing: where upstreams report no load and sidecars exchange messages. Parentheses name
 * simulated runs.
 */
class RendezvousSubsetTest {

    private static final int SIDECARS = 100;
    private static final int UPSTREAMS = 60;
    private static final double TYPICAL_SECONDS = 0.01;

    private static Topology topology(int sidecar, int sidecars) {
        return new Topology(sidecar, sidecars, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, true, false);
    }

    private static LoadBalancerHarness harness(int sidecar, int sidecars, int upstreams) {
        LoadBalancerHarness harness = new LoadBalancerHarness(sidecar, topology(sidecar, sidecars));
        harness.listReady(upstreams);
        return harness;
    }

    /** The peers that it reports its attempts to, by upstream, over so many requests. */
    private static Map<UpstreamId, Set<Integer>> reportedPeers(LoadBalancerHarness harness, int requests) {
        Map<UpstreamId, Set<Integer>> peersOf = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            harness.messages.clear();
            harness.arrive("q" + i, LoadBalancerHarness.SAFE, 2);
            peersOf.put(
                    harness.lastSent().upstream(),
                    harness.messages.stream()
                            .map(LoadBalancerHarness.Message::to)
                            .collect(Collectors.toSet()));
            harness.now += 0.05;
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        return peersOf;
    }

    /** Guards against a hundred sidecars that each meet an upstream too rarely to judge it (calm+mass). */
    @Test
    void allSidecarsAgreeOnTheFourteenThatShareAnUpstream() {
        Map<UpstreamId, Set<Integer>> sharingSidecars = new HashMap<>();
        for (int sidecar = 0; sidecar < SIDECARS; sidecar++) {
            Map<UpstreamId, Set<Integer>> reported = reportedPeers(harness(sidecar, SIDECARS, UPSTREAMS), 60);
            assertTrue(reported.size() <= 20, sidecar + " uses " + reported.size());
            for (Map.Entry<UpstreamId, Set<Integer>> each : reported.entrySet()) {
                Set<Integer> all = new TreeSet<>(each.getValue());
                assertTrue(all.add(sidecar), "reports to itself");
                sharingSidecars.merge(each.getKey(), all, (a, b) -> {
                    assertEquals(a, b, "who shares " + each.getKey());
                    return a;
                });
            }
        }
        assertEquals(UPSTREAMS, sharingSidecars.size(), "an upstream without a sidecar");
        sharingSidecars.values().forEach(each -> assertEquals(14, each.size()));
    }

    /** Guards against disagreement while lists differ for seconds. */
    @Test
    void sharingSidecarsDoNotDependOnTheRestOfTheList() {
        Map<UpstreamId, Set<Integer>> ofSixty = reportedPeers(harness(3, SIDECARS, UPSTREAMS), 100);
        Map<UpstreamId, Set<Integer>> ofFifty = reportedPeers(harness(3, SIDECARS, UPSTREAMS - 10), 100);
        assertTrue(ofFifty.size() > 3);
        ofFifty.forEach((upstream, reported) -> assertEquals(ofSixty.get(upstream), reported));
    }

    /** Guards against 20 s without a send on sockets, where the cached list comes before the start. */
    @Test
    void endpointListReceivedBeforeTheStartIsUsed() {
        LoadBalancerHarness harness = harness(0, 2, 4);
        harness.loadBalancer.start(harness.now);
        harness.arrive("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, harness.sent.size());
    }

    /** Two sidecars that share all upstreams; messages arrive at once. */
    private static final class Pair {
        final LoadBalancerHarness first = harness(0, 2, 3);
        final LoadBalancerHarness second = harness(1, 2, 3);

        void deliverMessages() {
            List<LoadBalancerHarness.Message> messages = new ArrayList<>(second.messages);
            second.messages.clear();
            messages.forEach(each -> first.loadBalancer.peerMessageReceived(first.now, 1, each.text()));
        }

        /** The other sidecar sends so many attempts, which stay in flight. */
        void fill(int requests) {
            for (int i = 0; i < requests; i++) {
                second.arrive("fill" + second.sent.size() + "-" + i, LoadBalancerHarness.UNSAFE, 2);
            }
            deliverMessages();
        }
    }

    @Test
    void peersAttemptsCountLikeOwnOnes() {
        Pair pair = new Pair();
        pair.fill(2);
        Set<UpstreamId> busy = pair.second.sent.stream()
                .map(LoadBalancerHarness.Sent::upstream)
                .collect(Collectors.toSet());
        assertEquals(2, busy.size());
        for (int i = 0; i < 10; i++) {
            pair.first.arrive("o" + i, LoadBalancerHarness.SAFE, 2);
            assertTrue(!busy.contains(pair.first.lastSent().upstream()), "sent where a peer's attempt is in flight");
            pair.first.now += 0.01;
            pair.first.attemptEnds(pair.first.lastSent(), Outcome.SERVED);
        }
    }

    /** Guards against all sidecars filling queues until upstreams are overloaded (calm+mass after its burst). */
    @Test
    void requestIsRejectedWhereAllReportedQueuesAreTooLong() {
        Pair pair = new Pair();
        for (int round = 0; round < 8; round++) {
            pair.fill(3);
            pair.second.now += 0.3;
            pair.first.now = pair.second.now;
            List.copyOf(pair.second.sent).stream()
                    .filter(s -> s.time() == pair.second.now - 0.3)
                    .forEach(s -> pair.second.attemptEnds(s, Outcome.SERVED));
            pair.deliverMessages();
        }
        pair.first.arrive("idle", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, pair.first.sent.size(), "not sent although nothing is in flight");
        pair.fill(9);
        pair.first.arrive("full", LoadBalancerHarness.SAFE, 2);
        pair.first.advance(0.05);
        assertEquals(1, pair.first.sent.size());
        assertEquals(1, pair.first.rejected.size());
        assertTrue(pair.first.retryAfter > 0);
    }

    /** Guards against a hanging upstream that attracts requests by the fewest in flight. */
    @Test
    void unresponsiveUpstreamIsAvoidedWhileThereAreOthers() {
        for (int seed = 0; seed < 12; seed++) {
            LoadBalancerHarness harness = new LoadBalancerHarness(seed, topology(0, 2));
            harness.listReady(3);
            Map<UpstreamId, String> startMessages = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                harness.arrive("learn" + i, LoadBalancerHarness.SAFE, 2);
                startMessages.put(
                        harness.lastSent().upstream(),
                        harness.messages.get(harness.messages.size() - 1).text());
                harness.now += 0.05;
                harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
            }
            UpstreamId unresponsive = new UpstreamId(0);
            harness.loadBalancer.peerMessageReceived(harness.now, 1, startMessages.get(unresponsive));
            harness.now += 0.45;
            startMessages.values().stream()
                    .filter(text -> !text.equals(startMessages.get(unresponsive)))
                    .forEach(text -> harness.loadBalancer.peerMessageReceived(harness.now, 1, text));
            harness.arrive("now", LoadBalancerHarness.SAFE, 2);
            assertTrue(!harness.lastSent().upstream().equals(unresponsive), "sent to an unresponsive upstream");
        }
    }

    /** Guards against taking the silence of peers for that of upstreams (split+mass). */
    @Test
    void ownAttemptsAloneCountWhilePeersAreSilent() {
        Pair pair = new Pair();
        pair.fill(9);
        pair.first.advance(0.8);
        pair.first.arrive("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, pair.first.sent.size());
    }

    @Test
    void malformedMessagesChangeNothing() {
        LoadBalancerHarness harness = harness(0, 2, 3);
        for (String text : List.of("", "!", "!~", "zzzz", "!!!!!!!!!", "~h!", "~m!!!", "\"!!", "!!!\u00e9")) {
            harness.loadBalancer.peerMessageReceived(harness.now, 1, text);
        }
        harness.loadBalancer.peerMessageReceived(harness.now, 77, "!!!");
        harness.arrive("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, harness.sent.size());
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.GONE, 0)));
    }

    /** Guards against an end that no peer knows a start of, as after the address was bound late. */
    @Test
    void anAttemptWhoseStartNoPeerCouldHearIsNotReportedAtItsEnd() {
        LoadBalancerHarness harness = harness(0, 2, 1);
        harness.messages.clear();
        harness.canSendToPeers = false;
        harness.arrive("a", LoadBalancerHarness.SAFE, 2);
        harness.canSendToPeers = true;
        harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        assertEquals(List.of(), harness.messages);
        harness.arrive("b", LoadBalancerHarness.SAFE, 2);
        harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        assertEquals(2, harness.messages.size(), "start and end");
    }

    /** Guards against one slow answer that takes an upstream out of service while peers wait at the other one. */
    @Test
    void afterOneSlowAnswerAnIdleUpstreamIsStillUsedBeforeOneWhereAPeerWaits() {
        LoadBalancerHarness harness = harness(0, 2, 2);
        harness.messages.clear();
        UpstreamId usual = serve(harness, "a", TYPICAL_SECONDS);
        String begun = harness.messages.get(0).text();
        for (int i = 0; i < 3; i++) {
            harness.loadBalancer.peerMessageReceived(harness.now, 1, begun);
        }
        UpstreamId slow = serve(harness, "b", 4 * TYPICAL_SECONDS);
        assertNotEquals(usual, slow);
        for (int i = 0; i < 5; i++) {
            assertEquals(slow, serve(harness, "c" + i, TYPICAL_SECONDS), "sent where a peer waits");
        }
    }

    /** Plays a request whose answer takes that long, and returns the upstream that served it. */
    private static UpstreamId serve(LoadBalancerHarness harness, String name, double seconds) {
        harness.arrive(name, LoadBalancerHarness.SAFE, 2);
        LoadBalancerHarness.Sent sent = harness.lastSent();
        harness.now += seconds;
        harness.attemptEnds(sent, Outcome.SERVED);
        return sent.upstream();
    }
}
