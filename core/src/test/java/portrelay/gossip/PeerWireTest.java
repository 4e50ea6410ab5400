package portrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import portrelay.gossip.PeerMembership.AttemptEvent;
import portrelay.gossip.PeerMembership.AttemptReport;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** Pins the characters of peer messages: sidecars of different versions run side by side, so none may change. */
class PeerWireTest {

    private final List<String> sent = new ArrayList<>();

    private final LoadBalancerActions actions = (LoadBalancerActions) Proxy.newProxyInstance(
            LoadBalancerActions.class.getClassLoader(),
            new Class<?>[] {LoadBalancerActions.class},
            (self, method, arguments) -> {
                sent.add(
                        method.getName().equals("sendToPeer")
                                ? arguments[0] + " " + arguments[1]
                                : "all " + arguments[0]);
                return null;
            });

    private PeerMembership membership(Topology.Reports reports) {
        Topology topology = new Topology(2, 5, new ZoneId(1), Topology.Weights.LIVE, reports, true, false);
        return new PeerMembership(actions, topology, 0);
    }

    private final PeerMembership inSubset = membership(Topology.Reports.WITH_ANSWERS);
    private final PeerMembership byRendezvous = membership(Topology.Reports.SILENT);

    @Test
    void sendsAttemptEventsToItsSubset() {
        inSubset.setSubsetPeers(List.of(4, 0));
        inSubset.sendAttemptEvent(AttemptEvent.STARTED, 0, -1);
        inSubset.sendAttemptEvent(AttemptEvent.STARTED, 22, 3);
        inSubset.sendAttemptEvent(AttemptEvent.SERVED, 1, 3);
        inSubset.sendAttemptEvent(AttemptEvent.FAILED, 1, -1);
        inSubset.sendAttemptEvent(AttemptEvent.DROPPED, 22, -1);
        inSubset.sendConnectionLost(2.5, false);
        inSubset.sendConnectionLost(1e9, true);
        assertEquals(
                List.of(
                        "4 !!", "0 !!", "4 7%", "0 7%", "4 9", "0 9", "4 P", "0 P", "4 |", "0 |", "4 ~rW", "0 ~rW",
                        "all ~rz"),
                sent);
    }

    @Test
    void sendsAttemptEventsByRendezvous() {
        byRendezvous.sendAttemptEvent(AttemptEvent.STARTED, 0, 0, List.of(0, 2));
        byRendezvous.sendAttemptEvent(AttemptEvent.SERVED, 123_456, 1, List.of(2, 3));
        byRendezvous.sendAttemptEvent(AttemptEvent.FAILED, 728_999, 0.5, List.of(4));
        byRendezvous.sendAttemptEvent(AttemptEvent.DROPPED, 89, 1e-9, List.of(0, 1, 2, 3, 4));
        assertEquals(List.of("0 !!!!", "3 \"c60N", "4 #zzzG", "all $z!!!"), sent);
        assertEquals(0, PeerMembership.upstreamCode(new UpstreamId(0)));
        assertEquals(33645, PeerMembership.upstreamCode(new UpstreamId(0x1234_5678_9abc_def0L)));
    }

    @Test
    void asksAPeerThenAllAndAnswersWithAllZones() {
        inSubset.advance(0);
        inSubset.advance(0.05);
        inSubset.advance(0.1);
        inSubset.receive(3, "~h$", 0.2);
        inSubset.receive(4, "~H%", 0.9);
        inSubset.receive(4, "~H%", 1.1);
        assertEquals(List.of("1 ~H\"", "3 ~H\"", "all ~h\"", "4 ~m!  \"$%"), sent);
    }

    @Test
    void readsAttemptEventsOfItsSubset() {
        assertEquals(new AttemptReport(AttemptEvent.STARTED, 0, -1, 0), inSubset.receive(0, "!!", 1));
        assertEquals(new AttemptReport(AttemptEvent.STARTED, 22, 3, 0), inSubset.receive(0, "7%", 1));
        assertEquals(new AttemptReport(AttemptEvent.STARTED, 22, -1, 0), inSubset.receive(0, "7", 1));
        assertEquals(new AttemptReport(AttemptEvent.SERVED, 1, -1, 0), inSubset.receive(0, "9", 1));
        assertEquals(new AttemptReport(AttemptEvent.DROPPED, 22, -1, 0), inSubset.receive(0, "|", 1));
        AttemptReport lost = inSubset.receive(0, "~rW", 1);
        assertEquals(new AttemptReport(AttemptEvent.LOST, -1, -1, Math.exp(0.9)), lost);
    }

    @Test
    void readsAttemptEventsByRendezvous() {
        assertEquals(new AttemptReport(AttemptEvent.STARTED, 0, -1, 0), byRendezvous.receive(0, "!!!!", 1));
        AttemptReport served = byRendezvous.receive(0, "\"c60N", 1);
        assertEquals(new AttemptReport(AttemptEvent.SERVED, 123_456, -1, 1), served);
        AttemptReport failed = byRendezvous.receive(0, "#zzzG", 1);
        assertEquals(new AttemptReport(AttemptEvent.FAILED, 728_999, -1, Math.exp(-0.7)), failed);
    }

    @Test
    void ignoresMalformedForeignAndOwnMessages() {
        for (String text : new String[] {"", " ", "}", "~", "~r", "~h", "~x!", "\u00e4"}) {
            assertNull(inSubset.receive(0, text, 1), text);
        }
        for (String text : new String[] {"", "!", "!!!", "!!!!!", "\"!!!", "%!!!!", "~h!", " !!!!"}) {
            assertNull(byRendezvous.receive(0, text, 1), text);
        }
        assertEquals(1, inSubset.lastReceivedAt());
        assertNull(inSubset.receive(2, "!!", 2));
        assertEquals(1, inSubset.lastReceivedAt());
        assertEquals(1, inSubset.members().size());
    }

    @Test
    void learnsZonesOnlyOfSidecarsOfTheFleet() {
        inSubset.receive(4, "~m!%% &", 1);
        assertEquals("{0=%, 1=%, 2=\", 3=&}", new TreeMap<>(inSubset.members()).toString());
        inSubset.receive(4, "~m\"%%", 1);
        inSubset.receive(9, "~h%", 1);
        inSubset.receive(0, "~m!((((((((", 1);
        assertEquals("{0=(, 1=(, 2=\", 3=(, 4=(}", new TreeMap<>(inSubset.members()).toString());
    }
}
