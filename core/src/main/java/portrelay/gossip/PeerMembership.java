package portrelay.gossip;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/**
 * Who is a member and in which zone, and when to ask for it. A sidecar tells its zone to one other at a time and is
 * answered with all zones that the other knows; only if none of those that it asked first knows any, as when all start
 * together, it tells all at once. Also sends and reads the attempt events of sidecars that share upstreams. The order
 * of {@link #members} is the same at all sidecars that know the same ones.
 */
public final class PeerMembership {

    /**
     * What a sidecar reports of an attempt. DROPPED is an end that is neither success nor failure; LOST is of a request
     * on a connection that had been idle and turned out to be closed.
     */
    public enum AttemptEvent {
        STARTED,
        SERVED,
        FAILED,
        DROPPED,
        LOST
    }

    /**
     * A report of another sidecar.
     *
     * @param event what happened
     * @param code the upstream's position in the subset, or {@link #upstreamCode} by rendezvous; -1 for LOST
     * @param tenant of an attempt that began in the subset; -1 for none
     * @param measure for LOST the seconds that the connection was idle; for an end by rendezvous its duration ratio, as
     *     {@link #sendAttemptEvent(AttemptEvent, int, double, List)} has it; else 0
     */
    public record AttemptReport(AttemptEvent event, int code, int tenant, double measure) implements PeerMessage {}

    /** While too little is known of the members. */
    private static final double FIRST_ASK_INTERVAL_SECONDS = 0.05;

    /** Else; the mean, as each sidecar has its own to keep them apart. */
    private static final double ASK_INTERVAL_SECONDS = 10;
    /** After so many unanswered asks it is likely that all sidecars have just started and none can answer. */
    private static final int UNANSWERED_BEFORE_BROADCAST = 2;
    /** With more sidecars a broadcast takes as long as spreading from one to the next. */
    private static final int MAX_BROADCAST_SIDECARS = 1000;
    /** A younger sidecar knows too little: whoever it answers would ask no further. */
    private static final double MIN_AGE_TO_ANSWER_SECONDS = 1;

    private final LoadBalancerActions actions;
    private final Topology topology;
    private final double startedAt;
    private final char ownZone;
    private final TreeMap<Integer, Character> members = new TreeMap<>(Comparator.comparing(Rendezvous::hashToUnit));
    private List<Integer> subsetPeers = List.of();
    private double nextAskAt;
    private int asksSent;
    private boolean wasAnswered;
    /**
     * Whether a member has become known since the last ask. If so the next ask follows soon: guards against a fleet in
     * which each sidecar knows only a part of the others.
     */
    private boolean hasLearned;

    private double receivedAt;
    private boolean hasChanged;

    /** Begins to ask at the first {@link #advance}. */
    public PeerMembership(LoadBalancerActions actions, Topology topology, double now) {
        this.actions = actions;
        this.topology = topology;
        this.ownZone = PeerMessageCodec.zoneCode(
                topology.zone() == null ? 0 : topology.zone().value());
        this.startedAt = now;
        this.nextAskAt = now;
        this.receivedAt = now;
        members.put(topology.sidecarIndex(), ownZone);
    }

    /** The code by which sidecars that choose upstreams by rendezvous name one to each other. */
    public static int upstreamCode(UpstreamId id) {
        return PeerMessageCodec.upstreamCode(id);
    }

    // ---- Members ----------------------------------------------------------------------------------------

    /** The other sidecars that use the same subset; attempt events go to them. */
    public void setSubsetPeers(List<Integer> sidecars) {
        subsetPeers = sidecars;
    }

    /** Whether other sidecars may report attempts at this one's upstreams. */
    public boolean hasSubsetPeers() {
        return topology.usesRendezvousSubsets() || !subsetPeers.isEmpty();
    }

    /** The zone code of each known sidecar, this one included; a live view. */
    public Map<Integer, Character> members() {
        return members;
    }

    /** Whether less than half of the sidecars are known. */
    public boolean isMinorityKnown() {
        return members.size() * 2 < topology.sidecarCount();
    }

    /** Whether a member came or changed its zone since the last call. */
    public boolean takeChanged() {
        boolean changed = hasChanged;
        hasChanged = false;
        return changed;
    }

    /** Asks another sidecar for all zones when it is time, each time another one. */
    public void advance(double now) {
        if (now < nextAskAt || topology.usesRendezvousSubsets()) {
            return;
        }
        boolean isUnanswered = asksSent <= UNANSWERED_BEFORE_BROADCAST && !wasAnswered;
        boolean isUrgent = isUnanswered || isMinorityKnown() || hasLearned;
        nextAskAt = now + (isUrgent ? FIRST_ASK_INTERVAL_SECONDS : jitteredAskInterval());
        if (isUnanswered
                && asksSent == UNANSWERED_BEFORE_BROADCAST
                && topology.sidecarCount() <= MAX_BROADCAST_SIDECARS) {
            actions.broadcastToPeers(PeerMessageCodec.hello(ownZone, false));
        } else {
            actions.sendToPeer(nextToAsk(), PeerMessageCodec.hello(ownZone, true));
        }
        asksSent++;
        hasLearned = false;
    }

    /** When {@link #advance} is to be called at the latest. */
    public double nextWakeUp() {
        return topology.usesRendezvousSubsets() ? Double.POSITIVE_INFINITY : nextAskAt;
    }

    // ---- Sending ----------------------------------------------------------------------------------------

    /**
     * Reports an attempt to the sidecars that share its upstream by rendezvous.
     *
     * @param code {@link #upstreamCode}
     * @param durationRatio with an end, the duration as a multiple of the class's typical one for each attempt that was
     *     in flight there when this one began, itself included
     */
    public void sendAttemptEvent(AttemptEvent event, int code, double durationRatio, List<Integer> sidecars) {
        String text = PeerMessageCodec.rendezvousEvent(event, code, durationRatio);
        if (sidecars.size() == topology.sidecarCount()) {
            // One datagram instead of one to each.
            actions.broadcastToPeers(text);
            return;
        }
        for (int each : sidecars) {
            if (each != topology.sidecarIndex()) {
                actions.sendToPeer(each, text);
            }
        }
    }

    /** Reports an attempt to the subset's peers; code is the upstream's position in the subset, tenant -1 for none. */
    public void sendAttemptEvent(AttemptEvent event, int code, int tenant) {
        sendToSubset(PeerMessageCodec.subsetEvent(event, code, tenant));
    }

    /** Reports that a request was lost on a connection that had been idle for so many seconds. */
    public void sendConnectionLost(double idleTime, boolean toAll) {
        String text = PeerMessageCodec.connectionLost(idleTime);
        if (toAll) {
            actions.broadcastToPeers(text);
        } else {
            sendToSubset(text);
        }
    }

    // ---- Receiving --------------------------------------------------------------------------------------

    /** When a message of another sidecar came last, of whatever kind. */
    public double lastReceivedAt() {
        return receivedAt;
    }

    /** Reads a message. Returns a report of an attempt or a connection; null for anything else. */
    public AttemptReport receive(int from, String text, double now) {
        if (from == topology.sidecarIndex()) {
            // A broadcast may come back to its sender.
            return null;
        }
        receivedAt = now;
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
        learn(from, hello.zone());
        if (hello.asksForZones() && isSidecar(from) && now > startedAt + MIN_AGE_TO_ANSWER_SECONDS) {
            sendZones(from);
        }
    }

    private void zonesReceived(PeerMessage.Zones zones) {
        wasAnswered = true;
        for (int i = 0; i < zones.codes().length(); i++) {
            learn(zones.firstSidecar() + i, zones.codes().charAt(i));
        }
    }

    private void learn(int sidecar, char zone) {
        if (isSidecar(sidecar) && sidecar != topology.sidecarIndex() && zone != PeerMessageCodec.UNKNOWN_ZONE) {
            Character before = members.put(sidecar, zone);
            hasChanged |= before == null || before != zone;
            hasLearned |= hasChanged;
        }
    }

    private boolean isSidecar(int number) {
        return number >= 0 && number < topology.sidecarCount();
    }

    private double jitteredAskInterval() {
        return ASK_INTERVAL_SECONDS * (0.75 + Rendezvous.hashToUnit(topology.sidecarIndex()) / 2);
    }

    private int nextToAsk() {
        int sidecars = topology.sidecarCount();
        int seed = topology.sidecarIndex() + asksSent * sidecars;
        int step = 1 + (int) (Rendezvous.hashToUnit(seed) * (sidecars - 1));
        return (topology.sidecarIndex() + step) % sidecars;
    }

    private void sendZones(int to) {
        for (int first = 0; first < topology.sidecarCount(); first += PeerMessageCodec.ZONES_PAGE) {
            int end = Math.min(first + PeerMessageCodec.ZONES_PAGE, topology.sidecarCount());
            StringBuilder codes = new StringBuilder(end - first);
            for (int i = first; i < end; i++) {
                codes.append(
                        members.getOrDefault(i, PeerMessageCodec.UNKNOWN_ZONE).charValue());
            }
            actions.sendToPeer(to, PeerMessageCodec.zones(first, codes));
        }
    }

    private void sendToSubset(String text) {
        for (int each : subsetPeers) {
            actions.sendToPeer(each, text);
        }
    }
}
