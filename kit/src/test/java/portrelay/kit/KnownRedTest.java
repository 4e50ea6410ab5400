package portrelay.kit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests how .ci/known-red.sh reads the list of tests that are known to fail; CI skips exactly the tests it prints. */
class KnownRedTest {

    private static final String LISTED_TEST = "KnownRedTest#whatIsListedIsPrinted";
    private static final String LISTED_LINE =
            "portrelay.kit." + LISTED_TEST + " | mvn test, with a comma | 7 | 1 of 9 failed | 40";

    @TempDir
    private Path folder;

    private void assertOutput(String list, int exitCode, String expected) throws IOException, InterruptedException {
        Path file = folder.resolve("KNOWN-RED.txt");
        if (list != null) {
            Files.writeString(file, list);
        }
        Path out = folder.resolve("out");
        Process process = new ProcessBuilder("sh", "../.ci/known-red.sh", file.toString(), "..")
                .redirectErrorStream(true)
                .redirectOutput(out.toFile())
                .start();
        assertTrue(process.waitFor(60, TimeUnit.SECONDS), "known-red.sh did not end within 60 s");
        String output = Files.readString(out);
        assertEquals(exitCode, process.exitValue(), output);
        assertTrue(exitCode == 0 ? output.equals(expected) : output.contains(expected), output);
    }

    @Test
    void aMissingOrEmptyListNamesNoTest() throws Exception {
        assertOutput(null, 0, "");
        assertOutput("", 0, "");
        assertOutput("# a comment, with commas, 40\n\n", 0, "");
    }

    @Test
    void whatIsListedIsPrinted() throws Exception {
        assertOutput("# why\n" + LISTED_LINE, 0, "KnownRedTest#whatIsListedIsPrinted\n");
        assertOutput(
                LISTED_LINE + "\n" + LISTED_LINE + "\n" + LISTED_LINE + "\n",
                0,
                "KnownRedTest#whatIsListedIsPrinted\n".repeat(3));
    }

    /** Guards against a limit on the list's length, as a soak can find any number of failing tests. */
    @Test
    void anyNumberOfTestsMayBeListed() throws Exception {
        assertOutput((LISTED_LINE + "\n").repeat(12), 0, "KnownRedTest#whatIsListedIsPrinted\n".repeat(12));
    }

    @Test
    void theSeedMayBeNone() throws Exception {
        assertOutput(LISTED_TEST + "|mvn test|none|a 502|40", 0, "KnownRedTest#whatIsListedIsPrinted\n");
    }

    @Test
    void aLineThatLacksAFieldIsRejected() throws Exception {
        String form = "not 'Class#method | command | seed | what was seen | issue'";
        assertOutput("#\nKnownRedTest", 1, "line 2: " + form);
        assertOutput(LISTED_TEST + ", a cause, 40", 1, "line 1: " + form);
        assertOutput(LISTED_TEST + " | mvn test | 7 | a 502", 1, form);
        assertOutput(LISTED_TEST + " | | 7 | a 502 | 40", 1, "no command");
        assertOutput(LISTED_TEST + " | mvn test | | a 502 | 40", 1, "no seed's number, and not none: ");
        assertOutput(LISTED_TEST + " | mvn test | some | a 502 | 40", 1, "no seed's number, and not none: some");
        assertOutput(LISTED_TEST + " | mvn test | 7 | | 40", 1, "nothing was seen");
        assertOutput(LISTED_TEST + " | mvn test | 7 | a 502 | soon", 1, "no issue's number: soon");
        assertOutput(LISTED_TEST + " | mvn test | 7 | a 502 | 40 | 41", 1, "no issue's number: 40 | 41");
    }

    @Test
    void aLineThatNamesNoTestIsRejected() throws Exception {
        String rest = " | mvn test | 7 | a 502 | 40";
        assertOutput("KnownRedTest" + rest, 1, "line 1: no method: KnownRedTest");
        assertOutput("KnownRedTest#" + rest, 1, "no test: KnownRedTest#");
        assertOutput("*Test#*" + rest, 1, "no test: *Test#*");
        assertOutput("KnownRedTest#whatIsNotThere" + rest, 1, "there is no test KnownRedTest#whatIsNotThere");
        assertOutput("NoSuchTest#whatIsListedIsPrinted" + rest, 1, "there is no test NoSuchTest#");
    }
}
