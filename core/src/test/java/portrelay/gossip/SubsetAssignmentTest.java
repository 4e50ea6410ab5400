package portrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.InstanceTypeId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** Tests how upstreams are divided into segments, and how sidecars are assigned to them. */
class SubsetAssignmentTest {

    private static final int SIDECARS = 40;
    private static final int MAX_SIDECARS_PER_SEGMENT = 14;
    private static final int ZONES = 2;

    /** Returns an assignment of upstreams of equal size, with {@link #ZONES} zones of one cell each. */
    private static SubsetAssignment assignment(int upstreams) {
        List<SubsetAssignment.UpstreamSlot> slots = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            Endpoint endpoint = new Endpoint(
                    new UpstreamId(i),
                    Endpoint.Health.READY,
                    0,
                    1,
                    new CellId(i % ZONES),
                    new ZoneId(i % ZONES),
                    new InstanceTypeId(0));
            slots.add(new SubsetAssignment.UpstreamSlot(endpoint, 1));
        }
        return new SubsetAssignment(slots, SIDECARS, MAX_SIDECARS_PER_SEGMENT);
    }

    /** Returns members of which the first {@code ofFirstZone} are in zone 0 and the others in zone 1. */
    private static Map<Integer, Character> members(int ofFirstZone) {
        Map<Integer, Character> members = new TreeMap<>(Comparator.comparing(Rendezvous::hashToUnit));
        for (int i = 0; i < SIDECARS; i++) {
            members.put(i, PeerMessageCodec.zoneCode(i < ofFirstZone ? 0 : 1));
        }
        return members;
    }

    private static double countInZone(Map<Integer, SubsetAssignment.Segment> assignment, int zone) {
        char code = PeerMessageCodec.zoneCode(zone);
        return assignment.values().stream().filter(each -> each.zone() == code).count();
    }

    @Test
    void eachUpstreamIsInOneSegmentOfItsCell() {
        List<SubsetAssignment.Segment> segments = assignment(12).segments();
        assertEquals(4, segments.size(), "20 sidecars per cell, at most 14 per segment");
        List<Integer> slotIndexes = segments.stream()
                .flatMap(each -> each.slotIndexes().stream())
                .sorted()
                .toList();
        assertEquals(IntStream.range(0, 12).boxed().toList(), slotIndexes);
        for (SubsetAssignment.Segment each : segments) {
            assertEquals(
                    1,
                    each.slotIndexes().stream()
                            .map(index -> index % ZONES)
                            .distinct()
                            .count());
            assertEquals(3, each.size());
        }
    }

    /** Guards against two upstreams of a segment sharing a code on the wire. */
    @Test
    void aSegmentHasNoMoreUpstreamsThanCodes() {
        for (SubsetAssignment.Segment each : assignment(400).segments()) {
            assertTrue(
                    each.slotIndexes().size() <= PeerMessageCodec.SUBSET_CODES,
                    each.slotIndexes().size() + " upstreams");
        }
    }

    @Test
    void sidecarsStayInTheirZonesAndShareTheSegmentsEvenly() {
        Map<Integer, SubsetAssignment.Segment> assigned = assignment(12).assign(members(SIDECARS / 2), false);
        assertEquals(SIDECARS, assigned.size());
        assigned.forEach((sidecar, segment) ->
                assertEquals(PeerMessageCodec.zoneCode(sidecar < SIDECARS / 2 ? 0 : 1), segment.zone()));
        for (SubsetAssignment.Segment each : assignment(12).segments()) {
            assertEquals(10, assigned.values().stream().filter(each::equals).count());
        }
    }

    @Test
    void sidecarsBeyondTheSizeOfTheirZoneAreAssignedToOtherZones() {
        Map<Integer, SubsetAssignment.Segment> assigned = assignment(12).assign(members(30), false);
        assertEquals(20, countInZone(assigned, 0), 1);
        assertEquals(20, countInZone(assigned, 1), 1);
    }

    @Test
    void allSidecarsStayInTheirZonesWhileFewAreKnown() {
        Map<Integer, SubsetAssignment.Segment> assigned = assignment(12).assign(members(30), true);
        assertEquals(30, countInZone(assigned, 0));
    }
}
