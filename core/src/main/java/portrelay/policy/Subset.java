package portrelay.policy;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import portrelay.gossip.PeerMembership;
import portrelay.gossip.Rendezvous;
import portrelay.gossip.SubsetAssignment;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Topology;

/**
 * The upstreams that this sidecar uses, and its messages to the peers that use the same ones. It is computed from the
 * endpoint list and from the members known by gossip, or by rendezvous hashing; no sidecar decides for another.
 *
 * <p>Inactive before {@link #start} and where sidecars share no load: then every upstream belongs to it.
 */
final class Subset {

    /** Sidecars that share one upstream at most, where there are upstreams enough. */
    private static final int MAX_SHARING_SIDECARS = 14;

    /** By rendezvous hashing a sidecar uses so many on average at least; where needed, more sidecars share each. */
    private static final int MIN_UPSTREAMS_PER_SIDECAR = 6;

    /** From news of a member to a new assignment: more news may follow at once. */
    private static final double REASSIGN_DELAY_SECONDS = 0.05;

    /** Between two assignments for news of members, unless only a minority was known before. */
    private static final double REASSIGN_INTERVAL_SECONDS = 1;

    /** Without any peer message for longer, what peers have in flight is unknown. */
    private static final double PEER_SILENCE_SECONDS = 0.5;

    private final LoadBalancerActions actions;
    private final Topology topology;
    /** Null while inactive. */
    private PeerMembership membership;

    private List<UpstreamState> upstreams = List.of();
    private Set<UpstreamState> upstreamSet = Set.of();
    private List<UpstreamState> readyUpstreams = List.of();
    private double readyCapacity;
    /** When the next assignment is due; infinite where none is. */
    private double nextAssignAt;

    private double lastAssignedAt = Double.NEGATIVE_INFINITY;
    /** Whether only a minority of the members was known at the last assignment. */
    private boolean wasMinorityKnown;

    Subset(LoadBalancerActions actions, Topology topology) {
        this.actions = actions;
        this.topology = topology;
    }

    /** Begins to share load with peers, where the topology says so. */
    void start(List<UpstreamState> endpoints, double nowSeconds) {
        if (topology.sharesLoad()) {
            membership = new PeerMembership(actions, topology, nowSeconds);
            nextAssignAt = nowSeconds;
            endpointsChanged(endpoints, nowSeconds);
        }
    }

    boolean isActive() {
        return membership != null;
    }

    boolean contains(UpstreamState upstream) {
        return membership == null || upstreamSet.contains(upstream);
    }

    /** Its upstreams; all of the given ones while inactive. */
    List<UpstreamState> among(List<UpstreamState> endpoints) {
        return membership == null ? endpoints : upstreams;
    }

    /** Whether no peer of this subset has been heard for so long that what they have in flight is not known. */
    boolean arePeersSilent(double nowSeconds) {
        return membership != null
                && membership.hasSubsetPeers()
                && nowSeconds > membership.lastReceivedAt() + PEER_SILENCE_SECONDS;
    }

    /** Reads a peer's message; null where it reports neither an attempt nor a lost connection. */
    PeerMembership.AttemptReport receive(int fromSidecar, String text, double nowSeconds) {
        PeerMembership.AttemptReport report = membership.receive(fromSidecar, text, nowSeconds);
        advance(nowSeconds);
        return report;
    }

    /** The upstream that peers mean by the code; null where there is none. */
    UpstreamState upstreamOf(int code) {
        if (topology.usesRendezvousSubsets()) {
            return upstreams.stream()
                    .filter(each -> PeerMembership.upstreamCode(each.id) == code)
                    .findFirst()
                    .orElse(null);
        }
        return code < 0 || code >= upstreams.size() ? null : upstreams.get(code);
    }

    /** Reports an attempt to the peers that share the upstream. */
    void send(PeerMembership.AttemptEvent event, UpstreamState upstream, int tenant, double durationRatio) {
        if (topology.usesRendezvousSubsets()) {
            membership.sendAttemptEvent(
                    event, PeerMembership.upstreamCode(upstream.id), durationRatio, sharingSidecars(upstream));
        } else if (upstreamSet.contains(upstream)) {
            membership.sendAttemptEvent(event, upstreams.indexOf(upstream), tenant);
        }
    }

    /** Whether reports reach any peer now. */
    boolean canReport() {
        return actions.canSendToPeers();
    }

    /** Reports that a connection was lost that had been idle for so long. */
    void sendConnectionLost(double idleSeconds, boolean toAllSidecars) {
        membership.sendConnectionLost(idleSeconds, toAllSidecars);
    }

    /** The endpoint list has changed, or an operator has disabled or enabled an upstream. */
    void endpointsChanged(List<UpstreamState> endpoints, double nowSeconds) {
        if (membership == null) {
            return;
        }
        List<UpstreamState> ready =
                endpoints.stream().filter(each -> each.isReady).toList();
        // Capacities become known over time where weights move with load.
        nextAssignAt = ready.equals(readyUpstreams) && capacityOf(ready) == readyCapacity ? nextAssignAt : nowSeconds;
        readyUpstreams = ready;
        readyCapacity = capacityOf(ready);
        advance(nowSeconds);
    }

    /** Assigns the subset anew where that is due, and sends what gossip has due. */
    void advance(double nowSeconds) {
        if (membership == null) {
            return;
        }
        if (membership.checkAndClearChanged()) {
            double earliest = lastAssignedAt + (wasMinorityKnown ? 0 : REASSIGN_INTERVAL_SECONDS);
            nextAssignAt = Math.min(nextAssignAt, Math.max(nowSeconds + REASSIGN_DELAY_SECONDS, earliest));
        }
        if (nowSeconds >= nextAssignAt && !readyUpstreams.isEmpty()) {
            nextAssignAt = Double.POSITIVE_INFINITY;
            lastAssignedAt = nowSeconds;
            wasMinorityKnown = membership.isMinorityKnown();
            upstreams = topology.usesRendezvousSubsets() ? byRendezvous() : byAssignment();
            upstreamSet = new HashSet<>(upstreams);
        }
        membership.advance(nowSeconds);
    }

    /** When {@link #advance} is due without any other event; infinite where it is not. */
    double nextWakeUp() {
        return membership == null || readyUpstreams.isEmpty()
                ? Double.POSITIVE_INFINITY
                : Math.min(nextAssignAt, membership.nextWakeUp());
    }

    private List<UpstreamState> byRendezvous() {
        List<UpstreamState> assigned = readyUpstreams.stream()
                .filter(each -> sharingSidecars(each).contains(topology.sidecarIndex()))
                .toList();
        return assigned.isEmpty() ? readyUpstreams : assigned;
    }

    private List<UpstreamState> byAssignment() {
        SubsetAssignment assignment = new SubsetAssignment(
                readyUpstreams.stream()
                        .map(each -> new SubsetAssignment.UpstreamSlot(each.endpoint, each.capacity))
                        .toList(),
                topology.sidecarCount(),
                MAX_SHARING_SIDECARS);
        Map<Integer, SubsetAssignment.Segment> segmentOf =
                assignment.assign(membership.members(), membership.isMinorityKnown());
        SubsetAssignment.Segment ours = segmentOf.getOrDefault(
                topology.sidecarIndex(), assignment.segments().get(0));
        segmentOf.remove(topology.sidecarIndex());
        membership.setSubsetPeers(segmentOf.keySet().stream()
                .filter(each -> segmentOf.get(each).equals(ours))
                .toList());
        return ours.slotIndexes().stream().map(readyUpstreams::get).toList();
    }

    /**
     * Chosen by hashing, so that all sidecars choose the same ones. Only how many can depend on the list; they are kept
     * once chosen.
     */
    private List<Integer> sharingSidecars(UpstreamState upstream) {
        if (upstream.sharingSidecars == null) {
            int count = Math.max(
                    MAX_SHARING_SIDECARS,
                    MIN_UPSTREAMS_PER_SIDECAR * topology.sidecarCount() / Math.max(1, readyUpstreams.size()));
            upstream.sharingSidecars =
                    Rendezvous.choose(Long.hashCode(upstream.id.value()), topology.sidecarCount(), count);
        }
        return upstream.sharingSidecars;
    }

    private static double capacityOf(List<UpstreamState> upstreams) {
        return upstreams.stream().mapToDouble(each -> each.capacity).sum();
    }
}
