package portrelay.net.handover;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Guards against an id that is forgotten too early, or that another process of the sidecar doesn't know. */
class RequestIdTableTest {

    private static final long NANOS_PER_SECOND = 1_000_000_000;
    private static final int MANY = 1_000_000;
    private static final int RECENT = 2_000;

    @TempDir
    private Path directory;

    private long nanos = 7 * NANOS_PER_SECOND;
    private RequestIdTable table;

    @BeforeEach
    void open() throws Exception {
        table = RequestIdTable.open(directory, "n0", () -> nanos);
    }

    @Test
    void anIdIsInTheTableUntilItsTimeIsOver() {
        assertTrue(table.add("a", 2));
        nanos += 2 * NANOS_PER_SECOND - 1;
        assertFalse(table.add("a", 2));
        nanos += 1;
        assertTrue(table.add("a", 2));
    }

    @Test
    void anIdThatWasRemovedCanBeAddedAgain() {
        assertTrue(table.add("a", 2));
        table.remove("a");
        table.remove("never added");
        assertTrue(table.add("a", 2));
    }

    @Test
    void anIdIsKeptForLongerOnceItsRequestIsAnswered() {
        assertTrue(table.add("a", 2));
        nanos += NANOS_PER_SECOND;
        table.extend("a", 3);
        nanos += 3 * NANOS_PER_SECOND - 1;
        assertFalse(table.add("a", 1));
    }

    @Test
    void anotherProcessOfTheSidecarKnowsTheIds() throws Exception {
        RequestIdTable successor = RequestIdTable.open(directory, "n0", () -> nanos);
        RequestIdTable otherSidecar = RequestIdTable.open(directory, "n1", () -> nanos);
        assertTrue(table.add("a", 2));
        assertFalse(successor.add("a", 2));
        assertTrue(otherSidecar.add("a", 2));
        successor.remove("a");
        assertTrue(table.add("a", 2));
    }

    /** The table does not grow; the latest ids are known all the same. */
    @Test
    void underEverNewIdsTheLatestAreKnown() {
        for (int i = 0; i < MANY; i++) {
            nanos += 1000;
            assertTrue(table.add("id-" + i, 5));
        }
        for (int i = MANY - RECENT; i < MANY; i++) {
            assertFalse(table.add("id-" + i, 5), "id " + i);
        }
    }
}
