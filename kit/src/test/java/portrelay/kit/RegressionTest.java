package portrelay.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how regression.sh reads the simulator's reports, with a fabricated report for each kind of failure. */
class RegressionTest {

    private static final String GROWTH_REPORT = """
            building ...
            playing herd+vast ...
            playing zone+vast ...
            playing zone+vast again ...
            herd+vast    G 0.900  floor 0.400  top 0.800  memory 70 of 144 MB  score 1.00
            zone+vast    G 0.700  floor 0.300  top 0.800  memory 70 of 144 MB  score 0.80
            score of the real nodes 0.900 (the weighted mean of the days)
            snapshot 0badcafe
            """;
    private static final String STANDING_REPORT = """
            playing calm+mass ...
            calm+mass    G 0.700  floor 0.300  top 0.800  served 0.800 (gate 0.400)  score 0.80
            score of the real nodes 0.800 (the weighted mean of the days)
            snapshot 0badcafe
            GATE passed
            """;

    private record Result(int exitCode, String output) {}

    @TempDir
    private Path folder;

    private Result run(String... arguments) throws IOException, InterruptedException {
        List<String> command = new ArrayList<>(List.of("sh", "regression.sh"));
        command.addAll(List.of(arguments));
        Path out = folder.resolve("out");
        ProcessBuilder builder =
                new ProcessBuilder(command).redirectErrorStream(true).redirectOutput(out.toFile());
        builder.environment().put("KIT", folder.resolve("no-kit").toString());
        Process process = builder.start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), "regression.sh did not end within 60 s");
        return new Result(process.exitValue(), Files.readString(out));
    }

    private void assertReport(String panel, String report, int exitCode, String expected) throws Exception {
        Path file = folder.resolve("report");
        Files.writeString(file, report);
        Result result = run("--read", panel, file.toString());
        assertTrue(result.output().contains(expected), result.output());
        assertEquals(exitCode, result.exitCode(), result.output());
    }

    @Test
    void aCompleteReportPrintsOneLineWithTheScore() throws Exception {
        assertReport("growth", GROWTH_REPORT, 0, "growth      0.900  rules kept  gate none");
        assertReport("standing", STANDING_REPORT, 0, "standing    0.800  rules kept  gate passed");
    }

    @Test
    void eachKindOfFailureIsReported() throws Exception {
        assertReport("growth", "", 1, "empty");
        assertReport("growth", GROWTH_REPORT.replace("score 0.80", "BROKEN: drain  score 0.00"), 1, "BROKEN");
        assertReport("growth", GROWTH_REPORT.replace("playing zone+vast again", "n3 crashed"), 1, "crashed");
        assertReport("growth", GROWTH_REPORT.replace("score of", "no score of"), 1, "no score was reached");
        assertReport("growth", GROWTH_REPORT.replace("nodes 0.900", "nodes nan"), 1, "no figure");
        assertReport("growth", GROWTH_REPORT.replaceAll("zone.vast    G.*\n", ""), 1, "not scored: zone+vast");
        assertReport("growth", GROWTH_REPORT.replace("snapshot 0badcafe\n", ""), 1, "cut off");
        assertReport("growth", STANDING_REPORT, 1, "another panel: calm+mass");
        assertReport("sockets", GROWTH_REPORT, 1, "another panel: herd+vast");
        assertReport(
                "standing", STANDING_REPORT.replace("passed", "failed: lost on calm+mass"), 1, "GATE failed: lost");
        assertReport("standing", STANDING_REPORT.replace("GATE passed\n", ""), 1, "nothing of the gate");
    }

    @Test
    void anUnknownPanelListsThePanelsAndAMissingBenchNamesItsPath() throws Exception {
        Result unknown = run("nonsense");
        assertEquals(2, unknown.exitCode());
        assertTrue(unknown.output().contains("growth sockets operations standing"), unknown.output());
        Result missing = run("growth");
        assertEquals(1, missing.exitCode());
        assertTrue(missing.output().contains(folder.resolve("no-kit").toString()), missing.output());
    }
}
