package portrelay.gossip;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/**
 * Learns which sidecars are members and in which zones they are. A sidecar sends its zone to one other sidecar at a
 * time, which replies with all zones that it knows. If the first ones do not reply, as when all sidecars start
 * together, it broadcasts its zone to all. This class also sends and decodes the attempt events of sidecars that share
 * upstreams. The order of {@link #members} is the same at all sidecars that know the same members. Not thread-safe.
 */
public final class PeerMembership {

    /**
     * What a sidecar reports about an attempt. The ordinal of a constant is its code on the wire, so their order must
     * not change.
     */
    public enum AttemptEvent {
        /** The attempt was started. */
        STARTED,
        /** The attempt ended and was served. */
        SERVED,
        /** The attempt ended and failed. */
        FAILED,
        /** The attempt ended with neither success nor failure. */
        DROPPED,
        /** A request was lost on a connection that had been idle and turned out to be closed. */
        LOST
    }

    /**
     * A report from a peer.
     *
     * @param event the reported event
     * @param code the upstream's position in the subset, or {@link #upstreamCode} by rendezvous; -1 for LOST
     * @param tenant the tenant of a started attempt within a subset; -1 for none
     * @param idleTimeOrDurationRatio for LOST the idle time of the connection in seconds; for the end of an attempt by
     *     rendezvous its duration ratio, as in {@link #sendAttemptEvent(AttemptEvent, int, double, List)}; 0 for all
     *     others
     */
    public record AttemptReport(AttemptEvent event, int code, int tenant, double idleTimeOrDurationRatio)
            implements PeerMessage {}

    /** Interval between two zone queries while too few members are known. */
    private static final double URGENT_QUERY_INTERVAL_SECONDS = 0.05;

    /** Mean interval otherwise; each sidecar has an interval of its own, so that their queries are spread over time. */
    private static final double QUERY_INTERVAL_SECONDS = 10;
    /** After this many unanswered queries, all sidecars have probably just started and none can answer. */
    private static final int UNANSWERED_BEFORE_BROADCAST = 2;
    /** With more sidecars a broadcast takes as long as spreading zones from one sidecar to the next. */
    private static final int MAX_BROADCAST_SIDECARS = 1000;
    /** A sidecar with less uptime knows too few zones to answer: the querying sidecar would stop querying others. */
    private static final double MIN_UPTIME_TO_ANSWER_SECONDS = 1;

    private final LoadBalancerActions actions;
    private final Topology topology;
    private final double startedAt;
    private final char ownZone;
    private final TreeMap<Integer, Character> members = new TreeMap<>(Comparator.comparing(Rendezvous::hashToUnit));
    private List<Integer> subsetPeers = List.of();
    private double nextQueryAt;
    private int queriesSent;
    private boolean wasAnswered;
    /**
     * Whether a member or its zone has become known since the last query; if so, the next query follows soon. Guards
     * against a fleet in which each sidecar knows only a part of the others.
     */
    private boolean hasLearnedSinceQuery;

    private double lastReceivedAt;
    private boolean hasChanged;

    /**
     * Creates an instance that knows this sidecar only, and sends its first zone query in the first {@link #advance}.
     */
    public PeerMembership(LoadBalancerActions actions, Topology topology, double now) {
        this.actions = actions;
        this.topology = topology;
        this.ownZone = PeerMessageCodec.zoneCode(
                topology.zone() == null ? 0 : topology.zone().value());
        this.startedAt = now;
        this.nextQueryAt = now;
        this.lastReceivedAt = now;
        members.put(topology.sidecarIndex(), ownZone);
    }

    /**
     * Returns the code that identifies an upstream in messages between sidecars that choose upstreams by rendezvous.
     */
    public static int upstreamCode(UpstreamId id) {
        return PeerMessageCodec.upstreamCode(id);
    }

    // ---- Members ----------------------------------------------------------------------------------------

    /** Sets the peers that use the same subset, to which attempt events are sent. */
    public void setSubsetPeers(List<Integer> sidecars) {
        subsetPeers = sidecars;
    }

    /** Whether peers may report attempts at the upstreams of this sidecar. */
    public boolean hasSubsetPeers() {
        return topology.usesRendezvousSubsets() || !subsetPeers.isEmpty();
    }

    /** Returns the zone code of each known sidecar, including this one, as a live view. */
    public Map<Integer, Character> members() {
        return members;
    }

    /** Whether fewer than half of the sidecars are known. */
    public boolean isMinorityKnown() {
        return members.size() * 2 < topology.sidecarCount();
    }

    /** Whether a member was added or changed its zone since the last call. */
    public boolean checkAndClearChanged() {
        boolean changed = hasChanged;
        hasChanged = false;
        return changed;
    }

    /** Asks a peer for all zones if a query is due; varies the peer from one query to the next. */
    public void advance(double now) {
        if (now < nextQueryAt || topology.usesRendezvousSubsets()) {
            return;
        }
        boolean isUnanswered = queriesSent <= UNANSWERED_BEFORE_BROADCAST && !wasAnswered;
        boolean isUrgent = isUnanswered || isMinorityKnown() || hasLearnedSinceQuery;
        nextQueryAt = now + (isUrgent ? URGENT_QUERY_INTERVAL_SECONDS : jitteredQueryInterval());
        if (isUnanswered
                && queriesSent == UNANSWERED_BEFORE_BROADCAST
                && topology.sidecarCount() <= MAX_BROADCAST_SIDECARS) {
            actions.broadcastToPeers(PeerMessageCodec.hello(ownZone, false));
        } else {
            actions.sendToPeer(nextPeerToQuery(), PeerMessageCodec.hello(ownZone, true));
        }
        queriesSent++;
        hasLearnedSinceQuery = false;
    }

    /** Returns the time by which {@link #advance} has to be called. */
    public double nextWakeUp() {
        return topology.usesRendezvousSubsets() ? Double.POSITIVE_INFINITY : nextQueryAt;
    }

    // ---- Sending ----------------------------------------------------------------------------------------

    /**
     * Reports an attempt to the sidecars that share its upstream by rendezvous.
     *
     * @param code the upstream's code, see {@link #upstreamCode}
     * @param durationRatio for the end of an attempt: its duration as a multiple of the typical duration of its class,
     *     divided by the number of attempts that were in flight at the upstream when it began, including itself
     * @param sidecars the receivers; this sidecar is skipped
     */
    public void sendAttemptEvent(AttemptEvent event, int code, double durationRatio, List<Integer> sidecars) {
        String text = PeerMessageCodec.rendezvousEvent(event, code, durationRatio);
        if (sidecars.size() == topology.sidecarCount()) {
            // One broadcast datagram instead of one for each sidecar.
            actions.broadcastToPeers(text);
            return;
        }
        for (int each : sidecars) {
            if (each != topology.sidecarIndex()) {
                actions.sendToPeer(each, text);
            }
        }
    }

    /**
     * Reports an attempt to the peers of the subset.
     *
     * @param code the upstream's position in the subset
     * @param tenant the tenant; -1 for none
     */
    public void sendAttemptEvent(AttemptEvent event, int code, int tenant) {
        sendToSubsetPeers(PeerMessageCodec.subsetEvent(event, code, tenant));
    }

    /**
     * Reports that a request was lost on a connection that had been idle.
     *
     * @param idleTime the idle time of the connection in seconds
     * @param toAll whether to report to all sidecars rather than to the peers of the subset
     */
    public void sendConnectionLost(double idleTime, boolean toAll) {
        String text = PeerMessageCodec.connectionLost(idleTime);
        if (toAll) {
            actions.broadcastToPeers(text);
        } else {
            sendToSubsetPeers(text);
        }
    }

    // ---- Receiving --------------------------------------------------------------------------------------

    /** Returns the time of the last message from a peer, of any kind; the start time if there was none. */
    public double lastReceivedAt() {
        return lastReceivedAt;
    }

    /** Handles a message. Returns the report of an attempt or a lost connection; null for any other message. */
    public AttemptReport receive(int from, String text, double now) {
        if (from == topology.sidecarIndex()) {
            // A broadcast may be delivered to its sender too.
            return null;
        }
        lastReceivedAt = now;
        PeerMessage message = topology.usesRendezvousSubsets()
                ? PeerMessageCodec.decodeByRendezvous(text)
                : PeerMessageCodec.decodeInSubset(text);
        if (message instanceof AttemptReport report) {
            return report;
        }
        if (message instanceof PeerMessage.Hello hello) {
            helloReceived(from, hello, now);
        } else if (message instanceof PeerMessage.Zones zones) {
            zonesReceived(zones);
        }
        return null;
    }

    private void helloReceived(int from, PeerMessage.Hello hello, double now) {
        recordZone(from, hello.zone());
        if (hello.asksForZones() && isSidecarIndex(from) && now > startedAt + MIN_UPTIME_TO_ANSWER_SECONDS) {
            sendZones(from);
        }
    }

    private void zonesReceived(PeerMessage.Zones zones) {
        wasAnswered = true;
        for (int i = 0; i < zones.codes().length(); i++) {
            recordZone(zones.firstSidecar() + i, zones.codes().charAt(i));
        }
    }

    private void recordZone(int sidecar, char zone) {
        if (isSidecarIndex(sidecar) && sidecar != topology.sidecarIndex() && zone != PeerMessageCodec.UNKNOWN_ZONE) {
            Character previous = members.put(sidecar, zone);
            hasChanged |= previous == null || previous != zone;
            hasLearnedSinceQuery |= hasChanged;
        }
    }

    private boolean isSidecarIndex(int index) {
        return index >= 0 && index < topology.sidecarCount();
    }

    private double jitteredQueryInterval() {
        return QUERY_INTERVAL_SECONDS * (0.75 + Rendezvous.hashToUnit(topology.sidecarIndex()) / 2);
    }

    private int nextPeerToQuery() {
        int sidecars = topology.sidecarCount();
        int seed = topology.sidecarIndex() + queriesSent * sidecars;
        int step = 1 + (int) (Rendezvous.hashToUnit(seed) * (sidecars - 1));
        return (topology.sidecarIndex() + step) % sidecars;
    }

    private void sendZones(int to) {
        for (int first = 0; first < topology.sidecarCount(); first += PeerMessageCodec.ZONES_PAGE_SIZE) {
            int end = Math.min(first + PeerMessageCodec.ZONES_PAGE_SIZE, topology.sidecarCount());
            StringBuilder codes = new StringBuilder(end - first);
            for (int i = first; i < end; i++) {
                codes.append(
                        members.getOrDefault(i, PeerMessageCodec.UNKNOWN_ZONE).charValue());
            }
            actions.sendToPeer(to, PeerMessageCodec.zones(first, codes));
        }
    }

    private void sendToSubsetPeers(String text) {
        for (int each : subsetPeers) {
            actions.sendToPeer(each, text);
        }
    }
}
