package portrelay.net.client;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import org.junit.jupiter.api.Test;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.Log;

/** Tests the debug line of a client connection that ends before its response is complete. */
class RequestProgressTest {

    @Test
    void logLineNamesTheFirstCauseAndTheTimesSinceTheLastBytes() {
        RequestProgress request = new RequestProgress("a\nb", () -> 70_000, 10);
        request.bytesReceived(10.5);
        request.bytesSent(12);
        request.recordEndCause(RequestProgress.EndCause.UPSTREAM_BROKE_OFF);
        request.recordEndCause(RequestProgress.EndCause.EVICTED);
        assertEquals(
                "client connection ended with a request open: request=a?b phase=ASKED"
                        + " cause=UPSTREAM_BROKE_OFF since-in=2.500 since-out=1.000 bytes-in=132 bytes-out=70000",
                request.logLine(ConnectionCapacity.Phase.ASKED, 132, 13));
    }

    @Test
    void debugLinesAreBuiltOnlyWhenDebugLoggingIsOn() {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new Log(new PrintStream(output, true, UTF_8), "n", false).debug(() -> {
            throw new AssertionError("debug line built although debug logging is off");
        });
        assertEquals(0, output.size());
        new Log(new PrintStream(output, true, UTF_8), "n", true).debug(() -> "seen");
        assertTrue(output.toString(UTF_8).endsWith(" n debug seen" + System.lineSeparator()), output.toString(UTF_8));
    }
}
