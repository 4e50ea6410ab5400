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
 * Tests subsets by rendezvous hashing, which are used where upstreams report no load and sidecars exchange messages.
 * Names in parentheses are the simulated runs that showed a failure.
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

    /** Serves requests one by one, and returns for each upstream the peers that got reports of the attempts there. */
    private static Map<UpstreamId, Set<Integer>> reportReceivers(LoadBalancerHarness harness, int requests) {
        Map<UpstreamId, Set<Integer>> receiversByUpstream = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            harness.messages.clear();
            harness.requestArrives("q" + i, LoadBalancerHarness.SAFE, 2);
            receiversByUpstream.put(
                    harness.lastSent().upstream(),
                    harness.messages.stream()
                            .map(LoadBalancerHarness.Message::to)
                            .collect(Collectors.toSet()));
            harness.now += 0.05;
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        return receiversByUpstream;
    }

    /** Guards against a hundred sidecars that each send too rarely to an upstream to judge it (calm+mass). */
    @Test
    void allSidecarsAgreeOnTheFourteenSidecarsThatShareAnUpstream() {
        Map<UpstreamId, Set<Integer>> sharingSidecars = new HashMap<>();
        for (int sidecar = 0; sidecar < SIDECARS; sidecar++) {
            Map<UpstreamId, Set<Integer>> reported = reportReceivers(harness(sidecar, SIDECARS, UPSTREAMS), 60);
            assertTrue(
                    reported.size() <= 20,
                    sidecar + " is the index of a sidecar that uses too many upstreams: " + reported.size());
            for (Map.Entry<UpstreamId, Set<Integer>> entry : reported.entrySet()) {
                Set<Integer> sharing = new TreeSet<>(entry.getValue());
                assertTrue(sharing.add(sidecar), "a sidecar reports to itself");
                sharingSidecars.merge(entry.getKey(), sharing, (a, b) -> {
                    assertEquals(a, b, "sidecars that share " + entry.getKey());
                    return a;
                });
            }
        }
        assertEquals(UPSTREAMS, sharingSidecars.size(), "an upstream that no sidecar uses");
        sharingSidecars.values().forEach(each -> assertEquals(14, each.size()));
    }

    /** Guards against sidecars that disagree on who shares an upstream while their lists differ for seconds. */
    @Test
    void sharingSidecarsDoNotDependOnTheRestOfTheList() {
        Map<UpstreamId, Set<Integer>> receiversWithAllListed = reportReceivers(harness(3, SIDECARS, UPSTREAMS), 100);
        Map<UpstreamId, Set<Integer>> receiversWithTenUnlisted =
                reportReceivers(harness(3, SIDECARS, UPSTREAMS - 10), 100);
        assertTrue(receiversWithTenUnlisted.size() > 3);
        receiversWithTenUnlisted.forEach(
                (upstream, reported) -> assertEquals(receiversWithAllListed.get(upstream), reported));
    }

    /** Guards against 20 s without an attempt, seen on sockets where the cached list came before the start. */
    @Test
    void endpointListReceivedBeforeTheStartIsUsed() {
        LoadBalancerHarness harness = harness(0, 2, 4);
        harness.loadBalancer.start(harness.now);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, harness.sent.size());
    }

    /** Two sidecars that share all upstreams; messages from the second to the first arrive without delay. */
    private static final class SidecarPair {
        final LoadBalancerHarness first = harness(0, 2, 3);
        final LoadBalancerHarness second = harness(1, 2, 3);

        void deliverMessages() {
            List<LoadBalancerHarness.Message> messages = new ArrayList<>(second.messages);
            second.messages.clear();
            messages.forEach(each -> first.loadBalancer.peerMessageReceived(first.now, 1, each.text()));
        }

        /** Lets the second sidecar send one attempt for each request; the attempts stay in flight. */
        void sendFromSecond(int requests) {
            for (int i = 0; i < requests; i++) {
                second.requestArrives("fill" + second.sent.size() + "-" + i, LoadBalancerHarness.UNSAFE, 2);
            }
            deliverMessages();
        }
    }

    @Test
    void peersAttemptsCountLikeOwnOnes() {
        SidecarPair pair = new SidecarPair();
        pair.sendFromSecond(2);
        Set<UpstreamId> busy = pair.second.sent.stream()
                .map(LoadBalancerHarness.SentAttempt::upstream)
                .collect(Collectors.toSet());
        assertEquals(2, busy.size());
        for (int i = 0; i < 10; i++) {
            pair.first.requestArrives("o" + i, LoadBalancerHarness.SAFE, 2);
            assertTrue(!busy.contains(pair.first.lastSent().upstream()), "sent where a peer's attempt is in flight");
            pair.first.now += 0.01;
            pair.first.attemptEnds(pair.first.lastSent(), Outcome.SERVED);
        }
    }

    /** Guards against sidecars that fill queues until upstreams are overloaded (calm+mass after its burst). */
    @Test
    void requestIsRejectedWhereAllReportedQueuesAreTooLong() {
        SidecarPair pair = new SidecarPair();
        for (int round = 0; round < 8; round++) {
            pair.sendFromSecond(3);
            pair.second.now += 0.3;
            pair.first.now = pair.second.now;
            List.copyOf(pair.second.sent).stream()
                    .filter(s -> s.time() == pair.second.now - 0.3)
                    .forEach(s -> pair.second.attemptEnds(s, Outcome.SERVED));
            pair.deliverMessages();
        }
        pair.first.requestArrives("idle", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, pair.first.sent.size(), "not sent although nothing is in flight");
        pair.sendFromSecond(9);
        pair.first.requestArrives("full", LoadBalancerHarness.SAFE, 2);
        pair.first.advance(0.05);
        assertEquals(1, pair.first.sent.size());
        assertEquals(1, pair.first.rejected.size());
        assertTrue(pair.first.retryAfter > 0);
    }

    /** Guards against an unresponsive upstream that attracts requests because it has the fewest in flight. */
    @Test
    void unresponsiveUpstreamIsAvoidedWhileThereAreOthers() {
        for (int seed = 0; seed < 12; seed++) {
            LoadBalancerHarness harness = new LoadBalancerHarness(seed, topology(0, 2));
            harness.listReady(3);
            Map<UpstreamId, String> startMessages = new HashMap<>();
            for (int i = 0; i < 20; i++) {
                harness.requestArrives("learn" + i, LoadBalancerHarness.SAFE, 2);
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
            harness.requestArrives("now", LoadBalancerHarness.SAFE, 2);
            assertTrue(!harness.lastSent().upstream().equals(unresponsive), "sent to an unresponsive upstream");
        }
    }

    /** Guards against treating upstreams as unresponsive because peers are silent (split+mass). */
    @Test
    void ownAttemptsAloneCountWhilePeersAreSilent() {
        SidecarPair pair = new SidecarPair();
        pair.sendFromSecond(9);
        pair.first.advance(0.8);
        pair.first.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, pair.first.sent.size());
    }

    @Test
    void malformedMessagesChangeNothing() {
        LoadBalancerHarness harness = harness(0, 2, 3);
        for (String text : List.of("", "!", "!~", "zzzz", "!!!!!!!!!", "~h!", "~m!!!", "\"!!", "!!!\u00e9")) {
            harness.loadBalancer.peerMessageReceived(harness.now, 1, text);
        }
        harness.loadBalancer.peerMessageReceived(harness.now, 77, "!!!");
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, harness.sent.size());
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(0, Endpoint.Health.GONE, 0)));
    }

    /** Guards against reporting an end whose start no peer got, as when the address for messages is bound late. */
    @Test
    void endOfAnAttemptIsNotReportedWhereItsStartCouldNotBeSent() {
        LoadBalancerHarness harness = harness(0, 2, 1);
        harness.messages.clear();
        harness.canSendToPeers = false;
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        harness.canSendToPeers = true;
        harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        assertEquals(List.of(), harness.messages);
        harness.requestArrives("b", LoadBalancerHarness.SAFE, 2);
        harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        assertEquals(2, harness.messages.size(), "messages of the start and the end");
    }

    /** Guards against one slow answer that takes an upstream out of use while peers have attempts at the other one. */
    @Test
    void idleUpstreamWithOneSlowAnswerIsUsedBeforeOneWithAttemptsOfPeers() {
        LoadBalancerHarness harness = harness(0, 2, 2);
        harness.messages.clear();
        UpstreamId usual = serve(harness, "a", TYPICAL_SECONDS);
        String startMessage = harness.messages.get(0).text();
        for (int i = 0; i < 3; i++) {
            harness.loadBalancer.peerMessageReceived(harness.now, 1, startMessage);
        }
        UpstreamId slow = serve(harness, "b", 4 * TYPICAL_SECONDS);
        assertNotEquals(usual, slow);
        for (int i = 0; i < 5; i++) {
            assertEquals(slow, serve(harness, "c" + i, TYPICAL_SECONDS), "sent where attempts of a peer are in flight");
        }
    }

    /** Delivers a request, serves it after the given time, and returns the upstream that served it. */
    private static UpstreamId serve(LoadBalancerHarness harness, String name, double seconds) {
        harness.requestArrives(name, LoadBalancerHarness.SAFE, 2);
        LoadBalancerHarness.SentAttempt sent = harness.lastSent();
        harness.now += seconds;
        harness.attemptEnds(sent, Outcome.SERVED);
        return sent.upstream();
    }
}
