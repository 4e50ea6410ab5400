package portrelay.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Checks exit codes and output of the jar's commands, each run in a separate process. */
class MainTest {

    private record Result(int exitCode, String out, String err) {}

    @TempDir
    private Path folder;

    private Result run(String input, String... args) throws IOException, InterruptedException {
        Path in = Files.writeString(folder.resolve("in"), input);
        Path out = folder.resolve("out");
        Path err = folder.resolve("err");
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "portrelay.cli.Main");
        builder.command().addAll(List.of(args));
        int exitCode = builder.redirectInput(in.toFile())
                .redirectOutput(out.toFile())
                .redirectError(err.toFile())
                .start()
                .waitFor();
        return new Result(exitCode, Files.readString(out, UTF_8), Files.readString(err, UTF_8));
    }

    @Test
    void simulateAndItsAliasBehaveTheSame() throws Exception {
        String input = "[\"clock\",1]\n[\"flush\"]\n";
        Result expected = new Result(0, "[\"ok\"]\n", "");
        assertEquals(expected, run(input, "simulate"));
        assertEquals(expected, run(input, "drill"));
    }

    @Test
    void malformedInputEndsASimulationWithCodeOneAndTheLineNumber() throws Exception {
        String input = "[\"clock\",1]\n[\"nonsense\"]\n";
        String error = ": line 2: expected a known event, not nonsense\n";
        assertEquals(new Result(1, "", "portrelay simulate" + error), run(input, "simulate"));
        assertEquals(new Result(1, "", "portrelay drill" + error), run(input, "drill"));
    }

    @Test
    void anUnknownCommandEndsWithCodeTwoAndTheUsage() throws Exception {
        Result unknown = run("", "nonsense");
        assertEquals(2, unknown.exitCode());
        assertTrue(
                unknown.err().startsWith("portrelay: Expected a command, got nonsense\nUsage: portrelay"),
                unknown.err());
        assertEquals(2, run("").exitCode());
    }

    @Test
    void aMissingConfigurationFileIsReportedWithItsField() throws Exception {
        Result missing =
                run("", "check", "--config", folder.resolve("none.json").toString());
        assertEquals(2, missing.exitCode());
        assertTrue(missing.err().startsWith("portrelay: LB_CONFIG: expected a file that can be read"), missing.err());
    }

    /**
     * The build creates the archive of classes from this command, so it has to load the classes of both a start and a
     * shutdown.
     */
    @Test
    void aCheckThatOpensTheSidecarStartsAndShutsItDown() throws Exception {
        String fullConfig = "../examples/config.json";
        Result opened = run("", "check", "--config", fullConfig, "--open");
        assertEquals(new Result(0, "the configuration serves\nthe sidecar starts and shuts down\n", ""), opened);
        assertEquals(new Result(0, "the configuration serves\n", ""), run("", "check", "--config", fullConfig));
    }
}
