package portrelay.faulttest.overload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Plays fixed rounds; the command "overload" plays any number. */
@Timeout(180)
class OverloadTest {

    @TempDir
    private Path files;

    /**
     * Floods of padded requests beside a crowd that stops in chunks; unknown classes beside slow uploads and replaced
     * upstreams; requests sent ahead beside replaced upstreams and a replaced process.
     */
    @ParameterizedTest
    @ValueSource(longs = {202, 203, 300})
    void usualRequestsAndSlowResponsesAreNotCutOffAndNothingUnsafeRunsTwice(long seed) throws Exception {
        OverloadReport report = OverloadRound.play(seed, files);
        assertEquals(List.of(), report.violations(), report::toString);
    }

    /** Guards against a starved machine that excuses what does not depend on time. */
    @Test
    void aStarvedRoundCountsWhatDoesNotDependOnTime() {
        OverloadViolation late = new OverloadViolation(true, "late");
        OverloadViolation twice = new OverloadViolation(false, "twice");
        assertEquals(List.of(twice), report(0.2, late, twice).violations());
        assertEquals(List.of(late, twice), report(0.1, late, twice).violations());
        assertTrue(report(0.2, late, twice).isStarved());
    }

    private static OverloadReport report(double maxWaitSeconds, OverloadViolation... violations) {
        return new OverloadReport(OverloadPlan.draw(1), Map.of(), 0, 0, maxWaitSeconds, List.of(violations));
    }
}
