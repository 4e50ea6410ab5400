package portrelay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;

/** Tests evictions against a map of all connections and their phases as reference, and rule by rule. */
class ConnectionCapacityTest {

    private static final int LIMIT = 8;
    private static final List<ConnectionCapacity.Phase> PHASES = List.of(ConnectionCapacity.Phase.values());

    private static ClientId id(long value) {
        return new ClientId(value);
    }

    @Property(tries = 500, seed = "20261201")
    void neverEvictsAnAwaitingConnectionNorExceedsTheLimitIfAnotherMayBeEvicted(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 999) Integer> steps) {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        Map<ClientId, ConnectionCapacity.Phase> expected = new HashMap<>();
        double now = 0;
        long next = 0;
        for (int step : steps) {
            now += step % 7 * 0.05;
            if (step < 500 || expected.isEmpty()) {
                expected.put(id(next), ConnectionCapacity.Phase.SILENT);
                capacity.opened(now, id(next++));
            } else {
                ClientId changed = expected.keySet().stream()
                        .sorted((a, b) -> Long.compare(a.value(), b.value()))
                        .skip(step % expected.size())
                        .findFirst()
                        .orElseThrow();
                ConnectionCapacity.Phase phase = PHASES.get(step % PHASES.size());
                expected.put(changed, phase);
                capacity.phaseChanged(now, changed, phase);
            }
            for (ConnectionCapacity.Eviction eviction = capacity.overLimit(now, LIMIT);
                    eviction != null;
                    eviction = capacity.overLimit(now, LIMIT)) {
                assertEquals(expected.remove(eviction.id()), eviction.phase());
                assertTrue(eviction.phase() != ConnectionCapacity.Phase.ASKED);
                capacity.closed(eviction.id());
            }
            boolean someMayBeEvicted = expected.values().stream()
                    .anyMatch(p -> p != ConnectionCapacity.Phase.ASKED && p != ConnectionCapacity.Phase.ANSWERING);
            assertTrue(
                    expected.size() <= LIMIT || !someMayBeEvicted,
                    "over the limit though a connection may be evicted: " + expected);
            assertEquals(expected.size(), capacity.count());
        }
    }

    @Test
    void overTheLimitEvictsSilentConnectionsFirstThenTheLongestIdle() {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        for (int i = 0; i < 4; i++) {
            capacity.opened(i, id(i));
        }
        capacity.phaseChanged(4, id(1), ConnectionCapacity.Phase.IDLE);
        capacity.phaseChanged(4.1, id(2), ConnectionCapacity.Phase.ASKED);
        capacity.phaseChanged(4.2, id(3), ConnectionCapacity.Phase.IDLE);
        assertEquals(id(0), capacity.overLimit(4.3, 3).id());
        capacity.closed(id(0));
        assertEquals(id(1), capacity.overLimit(4.3, 2).id());
        capacity.closed(id(1));
        assertEquals(id(3), capacity.overLimit(4.3, 1).id());
        capacity.closed(id(3));
        assertNull(capacity.overLimit(4.3, 0));
    }

    /** Guards against closing a new connection before its first bytes have arrived. */
    @Test
    void evictsTheNewestConnectionOnlyIfNoOtherMayBeEvicted() {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        capacity.opened(0, id(0));
        capacity.bytesReceived(0, id(0));
        capacity.opened(0.01, id(1));
        assertEquals(id(0), capacity.overLimit(0.01, 1).id());
        capacity.phaseChanged(0.01, id(0), ConnectionCapacity.Phase.ASKED);
        assertEquals(id(1), capacity.overLimit(0.01, 1).id());
    }

    /** Guards against idle connections that use up the connection limit of callers. */
    @Test
    void keepsAsManyIdleConnectionsAsTheRecentPeakRequires() {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        for (int i = 0; i < 40; i++) {
            capacity.opened(0, id(i));
            capacity.phaseChanged(0, id(i), ConnectionCapacity.Phase.ASKED);
        }
        for (int i = 0; i < 40; i++) {
            capacity.phaseChanged(0.01, id(i), ConnectionCapacity.Phase.IDLE);
            assertNull(capacity.surplus(0.9), "40 connections were in use within the last second");
        }
        capacity.opened(2, id(100));
        capacity.phaseChanged(2, id(100), ConnectionCapacity.Phase.ASKED);
        assertNull(capacity.surplus(0.1), "connection has been idle for less than the minimum idle time");
        assertEquals(id(0), capacity.surplus(2).id());
        int evicted = 0;
        for (ConnectionCapacity.Eviction eviction = capacity.surplus(2);
                eviction != null;
                eviction = capacity.surplus(2)) {
            capacity.closed(eviction.id());
            evicted++;
        }
        assertEquals(40 - ConnectionCapacityConfig.DEFAULTS.minIdle(), evicted);
    }

    @Test
    void evictsAnOverdueConnectionBelowTheLimit() {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        capacity.opened(0, id(0));
        capacity.bytesReceived(0, id(0));
        assertNull(capacity.overdue(2.4));
        assertNotNull(capacity.overdue(2.6));
        capacity.phaseChanged(2.6, id(0), ConnectionCapacity.Phase.ASKED);
        assertNull(capacity.overdue(100));
    }

    /** Guards against one timeout for all clients that read: the steps of a large receive buffer take longer. */
    @Test
    void evictsAClientThatDoesNotReadOnceItsOwnTimeIsOver() {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        capacity.opened(0, id(0));
        capacity.opened(0, id(1));
        capacity.awaitsReader(0, id(0), 20);
        capacity.awaitsReader(0, id(1), 6);
        assertNull(capacity.overdue(5.9));
        assertEquals(id(1), capacity.overdue(6.1).id());
        capacity.awaitsReader(6, id(1), 6);
        assertNull(capacity.overdue(11.9), "it has read at 6 s");
        capacity.closed(id(1));
        assertNull(capacity.overdue(19.9));
        assertEquals(ConnectionCapacity.Cause.TOO_LONG, capacity.overdue(20.1).cause());
    }

    @Test
    void underPressureAClientThatReadsKeepsItsConnectionForHalfOfItsTime() {
        ConnectionCapacity capacity = new ConnectionCapacity(ConnectionCapacityConfig.DEFAULTS);
        capacity.opened(0, id(0));
        capacity.awaitsReader(0, id(0), 20);
        capacity.opened(0, id(1));
        capacity.awaitsReader(0, id(1), 6);
        assertNull(capacity.overLimit(2.9, 0));
        assertEquals(id(1), capacity.overLimit(3.1, 1).id());
        capacity.closed(id(1));
        assertNull(capacity.overLimit(9.9, 0));
        assertEquals(id(0), capacity.overLimit(10.1, 0).id());
    }
}
