package portrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.model.LoadBalancerActions;
import portrelay.model.RequestId;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** Tests in virtual time how sidecars learn each other's zones. */
class PeerMembershipTest {

    private static final double DELAY_SECONDS = 0.02;

    private record Message(int from, int to, String text) {}

    private final List<Message> inTransit = new ArrayList<>();
    private int broadcasts;

    private final class RecordingActions implements LoadBalancerActions {
        private final int sender;

        RecordingActions(int sender) {
            this.sender = sender;
        }

        @Override
        public void sendToPeer(int sidecar, String text) {
            assertTrue(text.getBytes(StandardCharsets.UTF_8).length <= 256, "message over 256 bytes");
            inTransit.add(new Message(sender, sidecar, text));
        }

        @Override
        public void broadcastToPeers(String text) {
            broadcasts++;
            inTransit.add(new Message(sender, -1, text));
        }

        @Override
        public void sendAttempt(RequestId request, UpstreamId upstream) {}

        @Override
        public void cancelAttempt(RequestId request, int attempt) {}

        @Override
        public void reject(RequestId request, double retryAfter) {}

        @Override
        public void fail(RequestId request) {}

        @Override
        public void wakeUpAt(double time) {}

        @Override
        public void pollDiscovery() {}

        @Override
        public void probeLoad(UpstreamId upstream) {}

        @Override
        public void closeIdleConnections(UpstreamId upstream) {}

        @Override
        public void log(String text) {}
    }

    private List<PeerMembership> startSidecars(int sidecars, double now) {
        List<PeerMembership> members = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            Topology topology = new Topology(
                    i, sidecars, new ZoneId(i % 4), Topology.Weights.LIVE, Topology.Reports.WITH_ANSWERS, true, false);
            members.add(new PeerMembership(new RecordingActions(i), topology, now));
        }
        return members;
    }

    private void run(List<PeerMembership> members, double from, double until) {
        for (double now = from; now < until; now += DELAY_SECONDS) {
            double time = now;
            List<Message> arriving = List.copyOf(inTransit);
            inTransit.clear();
            for (Message each : arriving) {
                for (int to = 0; to < members.size(); to++) {
                    if (to != each.from && (each.to == -1 || each.to == to)) {
                        members.get(to).receive(each.from, each.text, time);
                    }
                }
            }
            members.forEach(each -> each.advance(time));
        }
    }

    @Test
    void sidecarsThatStartTogetherKnowEachOtherWithinASecond() {
        List<PeerMembership> members = startSidecars(60, 0);
        run(members, 0, 0.3);
        members.forEach(each -> assertEquals(60, each.members().size()));
        assertEquals(60, broadcasts);
    }

    /** With over a thousand sidecars none broadcasts: zones spread from one sidecar to the next. */
    @Test
    void sidecarsOfALargeFleetLearnOfEachOtherWithoutBroadcast() {
        List<PeerMembership> members = startSidecars(1100, 0);
        run(members, 0, 2);
        assertEquals(0, broadcasts);
        long complete =
                members.stream().filter(each -> each.members().size() == 1100).count();
        assertTrue(complete > 1000, complete + " of 1100 sidecars know all zones");
    }
}
