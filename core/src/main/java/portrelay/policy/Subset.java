package portrelay.policy;

import java.util.HashMap;
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
 * The subset of upstreams that this sidecar uses, and the messages to the peers that use the same upstreams. The subset
 * is computed from the endpoint list and the members known by gossip, or by rendezvous hashing. Each sidecar computes
 * only its own subset.
 *
 * <p>The subset is inactive before {@link #start}, and permanently if sidecars share no load. While inactive it
 * contains every upstream.
 */
final class Subset {

    /** Maximum number of sidecars that share an upstream, if there are enough upstreams. */
    private static final int MAX_SHARING_SIDECARS = 14;

    /** Minimum mean subset size with rendezvous hashing; if necessary, more sidecars share each upstream. */
    private static final int MIN_UPSTREAMS_PER_SIDECAR = 6;

    /** Delay from a change of the members to a new assignment, as further changes often follow at once. */
    private static final double REASSIGN_DELAY_SECONDS = 0.05;

    /**
     * Minimum time between two assignments due to member changes, unless only a minority was known at the earlier one.
     */
    private static final double REASSIGN_INTERVAL_SECONDS = 1;

    /** Time without any peer message after which the attempts that peers have in flight are unknown. */
    private static final double PEER_SILENCE_SECONDS = 0.5;

    private final LoadBalancerActions actions;
    private final Topology topology;
    /** Null while inactive. */
    private PeerMembership membership;

    private List<UpstreamState> upstreams = List.of();
    private Set<UpstreamState> upstreamSet = Set.of();
    /** By the code in messages; empty unless rendezvous hashing chooses the subset. */
    private Map<Integer, UpstreamState> upstreamsByCode = Map.of();

    private List<UpstreamState> readyUpstreams = List.of();
    private double readyCapacity;
    /** The time at which the next assignment is due; infinite if none is. */
    private double nextAssignAt;

    private double lastAssignedAt = Double.NEGATIVE_INFINITY;
    /** Whether only a minority of the members was known at the last assignment. */
    private boolean wasMinorityKnown;

    Subset(LoadBalancerActions actions, Topology topology) {
        this.actions = actions;
        this.topology = topology;
    }

    /** Starts to share load with peers, if the topology provides for that. */
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

    /** Returns the upstreams of the subset; while inactive, all the given ones. */
    List<UpstreamState> upstreamsOrAll(List<UpstreamState> allUpstreams) {
        return membership == null ? allUpstreams : upstreams;
    }

    /**
     * Whether the subset has peers, but no peer message has arrived for so long that their attempts in flight are
     * unknown.
     */
    boolean arePeersSilent(double nowSeconds) {
        return membership != null
                && membership.hasSubsetPeers()
                && nowSeconds > membership.lastReceivedAt() + PEER_SILENCE_SECONDS;
    }

    /** Processes a peer message and returns its report; null if it reports neither an attempt nor a lost connection. */
    PeerMembership.AttemptReport receive(int fromSidecar, String text, double nowSeconds) {
        PeerMembership.AttemptReport report = membership.receive(fromSidecar, text, nowSeconds);
        advance(nowSeconds);
        return report;
    }

    /** Returns the upstream that a code in a peer message denotes; null if there is none. */
    UpstreamState upstreamByCode(int code) {
        if (topology.usesRendezvousSubsets()) {
            return upstreamsByCode.get(code);
        }
        return code < 0 || code >= upstreams.size() ? null : upstreams.get(code);
    }

    /** Sends an attempt event to the peers that share the upstream. */
    void send(PeerMembership.AttemptEvent event, UpstreamState upstream, int tenant, double durationRatio) {
        if (topology.usesRendezvousSubsets()) {
            membership.sendAttemptEvent(
                    event, PeerMembership.upstreamCode(upstream.id), durationRatio, sharingSidecars(upstream));
        } else if (upstreamSet.contains(upstream)) {
            membership.sendAttemptEvent(event, upstreams.indexOf(upstream), tenant);
        }
    }

    /** Whether messages can be sent to peers now. */
    boolean canReport() {
        return actions.canSendToPeers();
    }

    /** Reports the loss of a connection that had been idle for the given time. */
    void sendConnectionLost(double idleSeconds, boolean toAllSidecars) {
        membership.sendConnectionLost(idleSeconds, toAllSidecars);
    }

    /** Handles a change of the endpoint list, or of the upstreams that operators have disabled. */
    void endpointsChanged(List<UpstreamState> endpoints, double nowSeconds) {
        if (membership == null) {
            return;
        }
        List<UpstreamState> ready =
                endpoints.stream().filter(each -> each.isReady).toList();
        // With live weights, capacities become known only over time.
        nextAssignAt = ready.equals(readyUpstreams) && capacityOf(ready) == readyCapacity ? nextAssignAt : nowSeconds;
        readyUpstreams = ready;
        readyCapacity = capacityOf(ready);
        advance(nowSeconds);
    }

    /** Recomputes the subset if that is due, and sends the gossip messages that are due. */
    void advance(double nowSeconds) {
        if (membership == null) {
            return;
        }
        if (membership.checkAndClearChanged()) {
            double earliestAt = lastAssignedAt + (wasMinorityKnown ? 0 : REASSIGN_INTERVAL_SECONDS);
            nextAssignAt = Math.min(nextAssignAt, Math.max(nowSeconds + REASSIGN_DELAY_SECONDS, earliestAt));
        }
        if (nowSeconds >= nextAssignAt && !readyUpstreams.isEmpty()) {
            nextAssignAt = Double.POSITIVE_INFINITY;
            lastAssignedAt = nowSeconds;
            wasMinorityKnown = membership.isMinorityKnown();
            upstreams = topology.usesRendezvousSubsets() ? rendezvousUpstreams() : assignSegment();
            upstreamSet = new HashSet<>(upstreams);
            upstreamsByCode = topology.usesRendezvousSubsets() ? indexByCode(upstreams) : Map.of();
        }
        membership.advance(nowSeconds);
    }

    /** Returns the time at which {@link #advance} has to be called if no other event calls it; infinite if never. */
    double nextWakeUp() {
        return membership == null || readyUpstreams.isEmpty()
                ? Double.POSITIVE_INFINITY
                : Math.min(nextAssignAt, membership.nextWakeUp());
    }

    private static Map<Integer, UpstreamState> indexByCode(List<UpstreamState> upstreams) {
        Map<Integer, UpstreamState> byCode = new HashMap<>();
        upstreams.forEach(each -> byCode.putIfAbsent(PeerMembership.upstreamCode(each.id), each));
        return byCode;
    }

    private List<UpstreamState> rendezvousUpstreams() {
        List<UpstreamState> assigned = readyUpstreams.stream()
                .filter(each -> sharingSidecars(each).contains(topology.sidecarIndex()))
                .toList();
        return assigned.isEmpty() ? readyUpstreams : assigned;
    }

    /** Assigns the known members to segments. Sets the peers of this sidecar's segment and returns its upstreams. */
    private List<UpstreamState> assignSegment() {
        SubsetAssignment assignment = new SubsetAssignment(
                readyUpstreams.stream()
                        .map(each -> new SubsetAssignment.UpstreamSlot(each.endpoint, each.capacity))
                        .toList(),
                topology.sidecarCount(),
                MAX_SHARING_SIDECARS);
        Map<Integer, SubsetAssignment.Segment> segmentOf =
                assignment.assign(membership.members(), membership.isMinorityKnown());
        SubsetAssignment.Segment ownSegment = segmentOf.getOrDefault(
                topology.sidecarIndex(), assignment.segments().get(0));
        segmentOf.remove(topology.sidecarIndex());
        membership.setSubsetPeers(segmentOf.keySet().stream()
                .filter(each -> segmentOf.get(each).equals(ownSegment))
                .toList());
        return ownSegment.slotIndexes().stream().map(readyUpstreams::get).toList();
    }

    /**
     * Returns the sidecars that share the upstream. They are chosen by hashing, so that all sidecars choose the same
     * ones. Only their number can depend on the endpoint list. The choice is made once and then kept.
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
