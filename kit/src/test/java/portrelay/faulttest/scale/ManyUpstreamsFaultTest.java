package portrelay.faulttest.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.faulttest.scale.ScalePlan.ListChange;

/** Real processes with thousands of upstreams; see docs/incidents/79-thousands-of-upstreams.md. */
@Timeout(180)
class ManyUpstreamsFaultTest {

    private static final int MEMORY_MB = 96;
    private static final int LONG_NAME = 600;
    /** The most that the deployment page gives a sidecar, with both processes of a hand-over. */
    private static final int MEMORY_MB_OF_TWO = 192;

    @TempDir
    private Path files;

    /** Guards against memory that grows with the rows until a process ends while its list changes, or at its start. */
    @Test
    void aProcessSurvivesAChangeOfEveryRowOf6400() throws Exception {
        assertNoViolations(plan(6400, 10, ListChange.REPLACE_ALL, 0, false));
    }

    /** Guards against a turn of the event loop that costs the waiting requests times the rows. */
    @Test
    void requestsAreAnsweredInTimeWith3200UpstreamsThatAreAllReplaced() throws Exception {
        assertNoViolations(plan(3200, 60, ListChange.REPLACE_ALL, 0, false));
    }

    /** Guards against a configured list that takes all of the memory, so that the process does not start. */
    @Test
    void aProcessStartsWithAConfiguredListOf12000Rows() throws Exception {
        assertNoViolations(plan(12_000, 10, ListChange.NONE, 0, true));
    }

    /** Guards against a list that is longer than what discovery's answers may have, so that it is never applied. */
    @Test
    void aListOf6400RowsWithLongNamesIsApplied() throws Exception {
        ScaleReport report = assertNoViolations(plan(6400, 10, ListChange.MOVE_ALL, LONG_NAME, false));
        assertTrue(report.ends().getOrDefault("SERVED", 0) > 0, "no request was served: " + report);
    }

    /** Guards against two heaps that grow with the rows until the limit on memory kills a process in a hand-over. */
    @Test
    void bothProcessesOfAHandOverWith6400RowsFitIntoTheMemoryLimit() throws Exception {
        ScalePlan plan = plan(6400, 50, ListChange.REPLACE_ALL, 0, false);
        assertNoViolations(plan.withMemoryMb(MEMORY_MB_OF_TWO));
    }

    /** Guards against arrival times that are too late where a crowd's requests wait behind long turns of the loop. */
    @Test
    void aCrowdWith6400UpstreamsIsNotSaidToHaveMoreTimeThanItHas() throws Exception {
        ScalePlan plan = plan(6400, 250, ListChange.REPLACE_ALL, 150, false);
        assertNoViolations(plan.withMemoryMb(MEMORY_MB_OF_TWO));
    }

    private static ScalePlan plan(int rows, int clients, ListChange change, int extraNameLength, boolean isConfigured) {
        return new ScalePlan(
                79,
                rows,
                1,
                MEMORY_MB,
                clients,
                8,
                change,
                2,
                extraNameLength,
                0,
                0,
                isConfigured,
                false,
                false,
                2,
                0,
                0,
                0);
    }

    private ScaleReport assertNoViolations(ScalePlan plan) throws Exception {
        ScaleReport report = ScaleRound.playUntilValid(plan, files);
        report.processes().forEach(System.out::println);
        assertTrue(!report.isInconclusive(), "the machine is too busy for a result: " + report);
        assertTrue(report.requests() > 0, "no request was sent: " + report);
        assertEquals(List.of(), report.examples(3), report.toString());
        return report;
    }
}
