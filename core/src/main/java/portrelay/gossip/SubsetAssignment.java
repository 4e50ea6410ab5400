package portrelay.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import portrelay.model.Endpoint;

/**
 * Divides the upstreams into segments and assigns one segment to each sidecar. Sidecars that know the same endpoints
 * and the same members compute the same result without coordination. Immutable after construction.
 */
public final class SubsetAssignment {

    /**
     * An upstream with its size.
     *
     * @param endpoint the endpoint of the upstream
     * @param size the upstream's capacity when idle, relative to the other upstreams
     */
    public record UpstreamSlot(Endpoint endpoint, double size) {}

    /**
     * A group of upstreams of one cell.
     *
     * @param zone the zone code of the cell
     * @param slotIndexes positions of the upstreams in the list of slots, the largest upstream first
     * @param size sum of the sizes of the upstreams
     */
    public record Segment(char zone, List<Integer> slotIndexes, double size) {}

    /** Minimum upstreams of a segment if its cell has as many, as a retry or hedge needs another upstream. */
    private static final int MIN_UPSTREAMS = 2;

    /** Minimum share of a zone's capacity for members of other zones, even if its own members need all of it. */
    private static final double MIN_FREE_SHARE = 0.01;

    private final List<UpstreamSlot> slots;
    private final double totalSize;
    private final List<Segment> segments = new ArrayList<>();

    /**
     * Divides the upstreams into segments.
     *
     * @param sidecars the number of sidecars of the fleet
     * @param maxSidecarsPerSegment maximum average number of sidecars that share a segment; exceeded if there are too
     *     few upstreams
     */
    public SubsetAssignment(List<UpstreamSlot> slots, int sidecars, int maxSidecarsPerSegment) {
        this.slots = slots;
        this.totalSize = slots.stream().mapToDouble(UpstreamSlot::size).sum();
        createSegments(sidecars, maxSidecarsPerSegment);
    }

    /** Returns the segments; at least one if there is an upstream. */
    public List<Segment> segments() {
        return segments;
    }

    /**
     * Returns the segment of each member. A zone keeps as many of its own members as its size allows, in the order of
     * the members; the others are assigned to zones with free capacity. While few members are known, each stays in its
     * own zone if that zone has a segment.
     *
     * @param members the zone code of each member
     * @param fewMembersKnown whether few members are known
     */
    public Map<Integer, Segment> assign(Map<Integer, Character> members, boolean fewMembersKnown) {
        Map<Character, Double> memberCapacity = new TreeMap<>();
        segments.forEach(
                segment -> memberCapacity.merge(segment.zone, members.size() * segment.size / totalSize, Double::sum));
        Map<Character, Integer> membersByZone = new TreeMap<>();
        members.values().forEach(zone -> membersByZone.merge(zone, 1, Integer::sum));
        Map<Character, Integer> countedByZone = new HashMap<>();
        Map<Integer, Segment> assignment = new LinkedHashMap<>();
        List<Integer> moving = new ArrayList<>();
        members.forEach((sidecar, zone) -> {
            int rank = countedByZone.merge(zone, 1, Integer::sum) - 1;
            double stayingCount = Math.min(Math.floor(memberCapacity.getOrDefault(zone, 0.0)), membersByZone.get(zone));
            if (memberCapacity.containsKey(zone) && (fewMembersKnown || rank < stayingCount)) {
                double share = fewMembersKnown ? Rendezvous.hashToUnit(sidecar) : (rank + 0.5) / stayingCount;
                assignment.put(sidecar, segmentAt(share, segment -> segment.zone == zone ? segment.size : 0));
            } else {
                moving.add(sidecar);
            }
        });
        for (int i = 0; i < moving.size(); i++) {
            double share = (i + 0.5) / moving.size();
            assignment.put(
                    moving.get(i), segmentAt(share, segment -> freeSize(segment, memberCapacity, membersByZone)));
        }
        return assignment;
    }

    /**
     * Creates the segments, each within one cell, as upstreams deduplicate requests within their cell. A cell that too
     * many sidecars would share is divided into segments of about equal size.
     */
    private void createSegments(int sidecars, int maxSidecarsPerSegment) {
        TreeMap<Long, List<Integer>> cells = new TreeMap<>();
        for (int i = 0; i < slots.size(); i++) {
            cells.computeIfAbsent(slots.get(i).endpoint.cell().value(), cell -> new ArrayList<>())
                    .add(i);
        }
        cells.values().forEach(cell -> {
            cell.sort(Comparator.comparingDouble((Integer i) -> -slots.get(i).size)
                    .thenComparing(i -> slots.get(i).endpoint.id().value()));
            int count = segmentCount(cell, sidecars, maxSidecarsPerSegment);
            for (int first = 0; first < count; first++) {
                List<Integer> slotIndexes = new ArrayList<>();
                for (int i = first; i < cell.size(); i += count) {
                    slotIndexes.add(cell.get(i));
                }
                char zone = PeerMessageCodec.zoneCode(
                        slots.get(cell.get(0)).endpoint.zone().value());
                segments.add(new Segment(zone, slotIndexes, size(slotIndexes)));
            }
        });
    }

    /**
     * Returns the number of segments of the cell: enough that few sidecars share one, but few enough that each has the
     * minimum of upstreams; in any case enough that no segment has more upstreams than there are codes in a subset.
     */
    private int segmentCount(List<Integer> cell, int sidecars, int maxSidecarsPerSegment) {
        double sharingSidecars = sidecars * size(cell) / totalSize;
        int wanted = (int)
                Math.min(Math.ceil(sharingSidecars / maxSidecarsPerSegment), Math.floorDiv(cell.size(), MIN_UPSTREAMS));
        int needed = (cell.size() + PeerMessageCodec.SUBSET_CODES - 1) / PeerMessageCodec.SUBSET_CODES;
        return Math.max(Math.max(1, wanted), needed);
    }

    private double size(List<Integer> slotIndexes) {
        return slotIndexes.stream().mapToDouble(i -> slots.get(i).size).sum();
    }

    private static double freeSize(
            Segment segment, Map<Character, Double> memberCapacity, Map<Character, Integer> membersByZone) {
        double taken = membersByZone.getOrDefault(segment.zone, 0) / memberCapacity.get(segment.zone);
        return segment.size * Math.max(MIN_FREE_SHARE, 1 - taken);
    }

    /** Returns the segment at the given share, 0 to 1, of the cumulative weight of all segments. */
    private Segment segmentAt(double share, ToDoubleFunction<Segment> weight) {
        double left = share * segments.stream().mapToDouble(weight).sum();
        for (Segment segment : segments) {
            left -= weight.applyAsDouble(segment);
            if (left < 0) {
                return segment;
            }
        }
        return segments.get(segments.size() - 1);
    }
}
