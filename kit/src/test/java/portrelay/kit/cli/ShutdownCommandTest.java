package portrelay.kit.cli;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.beust.jcommander.JCommander;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests that an error in one round is reported as its result: the other rounds run, and the totals are printed. */
class ShutdownCommandTest {

    @TempDir
    private Path folder;

    private static String run(ShutdownCommand command, int expectedCode) {
        PrintStream standardOutput = System.out;
        ByteArrayOutputStream printed = new ByteArrayOutputStream();
        System.setOut(new PrintStream(printed, true, UTF_8));
        try {
            assertEquals(expectedCode, command.run());
        } finally {
            System.setOut(standardOutput);
        }
        return printed.toString(UTF_8);
    }

    @Test
    void aRoundThatEndsWithAnErrorStopsNoOther() throws Exception {
        // The folder of this round can't be created, because a file has its name.
        Files.createFile(folder.resolve("seed-2"));
        ShutdownCommand command = new ShutdownCommand();
        JCommander.newBuilder()
                .addObject(command)
                .build()
                .parse("--seed", "1", "--count", "3", "--at-once", "3", "--files", folder.toString());
        String printed = run(command, 1);
        assertTrue(printed.contains("seed=2: ERROR java.nio.file."), printed);
        assertTrue(printed.contains("\nseed=3 "), printed);
        assertTrue(printed.contains("3 rounds from seed 1: ") && printed.contains(" errors=1 "), printed);
    }
}
