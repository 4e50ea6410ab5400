package portrelay.faulttest.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * A short soak with random, overlapping faults over real processes; longer ones are run by {@code portrelay-kit soak}.
 */
@Timeout(300)
class SoakTest {

    private static final long FIRST_SEED = 2000;
    private static final int ROUNDS = 5;

    @TempDir
    private Path files;

    @Test
    void drawnRoundsBreakNoRule() throws Exception {
        List<String> broken = new ArrayList<>();
        int counted = 0;
        int requests = 0;
        for (long seed = FIRST_SEED; seed < FIRST_SEED + ROUNDS; seed++) {
            ScaleReport report = ScaleRound.playUntilValid(ScalePlan.draw(seed), files.resolve("seed-" + seed));
            System.out.println(report);
            counted += report.isInconclusive() ? 0 : 1;
            requests += report.requests();
            if (!report.countedViolations().isEmpty()) {
                broken.add(report + " " + report.examples(3));
            }
        }
        assertTrue(counted > ROUNDS / 2, "the machine is too busy for a result; rounds that count: " + counted);
        assertTrue(requests > 100 * ROUNDS, "too few requests for a result: " + requests);
        assertEquals(List.of(), broken);
    }
}
