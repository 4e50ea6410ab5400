package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.SidecarProcess;

/** Guards against sidecars that keep running when a test run is ended in the middle of its rounds. */
@Timeout(60)
class SidecarProcessTest {

    private static final int AWAIT_SECONDS = 20;
    /** A discovery address on which no process listens. */
    private static final String UNUSED_ADDRESS = "127.0.0.1:1";

    @TempDir
    private Path files;

    /** A program that starts a sidecar, prints its process id and ends. */
    static final class StartAndExit {
        private StartAndExit() {}

        public static void main(String[] args) throws Exception {
            Path folder = Path.of(args[0]);
            int port = SidecarProcess.freePort();
            String json = RoundConfiguration.json(port, UNUSED_ADDRESS, "", 1);
            SidecarProcess sidecar = SidecarProcess.start(port, json, folder, folder);
            sidecar.awaitListening(AWAIT_SECONDS);
            System.out.println(sidecar.process().pid());
            System.exit(0);
        }
    }

    @Test
    void aSidecarEndsWithTheProgramThatStartedIt() throws Exception {
        Process program = new ProcessBuilder(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-cp",
                        System.getProperty("java.class.path"),
                        StartAndExit.class.getName(),
                        files.toString())
                .start();
        String printed = new String(program.getInputStream().readAllBytes(), UTF_8);
        assertEquals(0, program.waitFor());
        ProcessHandle sidecar = ProcessHandle.of(Long.parseLong(printed.trim())).orElse(null);
        if (sidecar != null) {
            sidecar.onExit().get(AWAIT_SECONDS, TimeUnit.SECONDS);
        }
        assertTrue(sidecar == null || !sidecar.isAlive());
    }
}
