package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import portrelay.standin.HttpReader;
import portrelay.standin.ScriptedUpstream;

/**
 * Upstreams that write a response slowly, on a real sidecar. Guards against a response that is held until its request's
 * deadline and then cut off.
 */
@Timeout(120)
class SlowResponseTest {

    private static final SidecarTestbed.Limits LIMITS = new SidecarTestbed.Limits(4, 512, 96);
    private static final int WAIT_MILLIS = 1500;
    private static final int LONG_BYTES = 90_000;
    private static final int SHORT_BYTES = 40_000;
    private static final int PAUSE_MILLIS = 20;

    @TempDir
    private Path files;

    /** Writes a body without a length, with a pause after each piece, over longer than the client waits. */
    private static void writeSlowly(OutputStream out, boolean isChunked, int pieces) throws Exception {
        String framing = isChunked ? "Transfer-Encoding: chunked" : "Connection: close";
        out.write(("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n").getBytes(ISO_8859_1));
        int pieceBytes = LONG_BYTES / pieces;
        for (int i = 0; i < pieces; i++) {
            writePiece(out, isChunked, pieceBytes);
            TimeUnit.MILLISECONDS.sleep(2L * WAIT_MILLIS / pieces);
        }
        if (isChunked) {
            out.write("0\r\n\r\n".getBytes(ISO_8859_1));
        }
    }

    private static void writePiece(OutputStream out, boolean isChunked, int count) throws IOException {
        String bytes = "b".repeat(count);
        String text = isChunked ? Integer.toHexString(count) + "\r\n" + bytes + "\r\n" : bytes;
        out.write(text.getBytes(ISO_8859_1));
    }

    /** Sends a request and returns the length of the response's body; the negative status if that is not 200. */
    private static long exchange(SidecarTestbed testbed, String id, String requestClass) throws IOException {
        try (Socket client = testbed.connect()) {
            client.getOutputStream().write(SidecarTestbed.request(id, requestClass, WAIT_MILLIS));
            HttpReader reader = new HttpReader(client.getInputStream());
            HttpReader.Head head = reader.readHead();
            return head.status() == 200 ? reader.readBody(head) : -head.status();
        }
    }

    /** In many pieces, or in lumps with pauses of half a second. */
    @ParameterizedTest
    @CsvSource({"read, true, 60", "read, false, 60", "issue, true, 60", "save, false, 6", "issue, true, 6"})
    void aLongResponseWithoutALengthIsPassedOnWhileItIsWritten(String requestClass, boolean isChunked, int pieces)
            throws Exception {
        ScriptedUpstream.Script script = (head, reader, connection) -> {
            reader.skipBody(head);
            writeSlowly(connection.getOutputStream(), isChunked, pieces);
            connection.close();
        };
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 2, script)) {
            assertEquals(LONG_BYTES - LONG_BYTES % pieces, exchange(testbed, "a", requestClass));
        }
    }

    /** What the first bytes give away if they are passed on at once. */
    @Test
    void aShortResponseWithoutALengthThatBreaksOffIsRetried() throws Exception {
        AtomicInteger count = new AtomicInteger();
        ScriptedUpstream.Script script = (head, reader, connection) -> {
            reader.skipBody(head);
            boolean isWhole = count.incrementAndGet() > 1;
            OutputStream out = connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(ISO_8859_1));
            writePiece(out, true, SHORT_BYTES / 2);
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
            if (isWhole) {
                writePiece(out, true, SHORT_BYTES / 2);
                out.write("0\r\n\r\n".getBytes(ISO_8859_1));
            } else {
                connection.setSoLinger(true, 0);
                connection.close();
            }
        };
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 2, script)) {
            assertEquals(SHORT_BYTES, exchange(testbed, "a", "read"));
        }
    }

    /** A few bytes and then nothing: the final answer comes at the deadline and is no 200. */
    @Test
    void aResponseWithoutALengthThatStopsAfterAFewBytesIsNotPassedOn() throws Exception {
        ScriptedUpstream.Script script = (head, reader, connection) -> {
            reader.skipBody(head);
            OutputStream out = connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(ISO_8859_1));
            writePiece(out, true, 100);
            TimeUnit.SECONDS.sleep(60);
        };
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 2, script)) {
            assertEquals(-502, exchange(testbed, "a", "issue"));
        }
    }

    /** It was passed on, as it might have been a long one; the client is told that it is not whole. */
    @Test
    void aResponseWithoutALengthThatStopsWithinIsReset() throws Exception {
        ScriptedUpstream.Script script = (head, reader, connection) -> {
            reader.skipBody(head);
            OutputStream out = connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(ISO_8859_1));
            writePiece(out, true, SHORT_BYTES);
            TimeUnit.SECONDS.sleep(60);
        };
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 2, script)) {
            assertThrows(IOException.class, () -> exchange(testbed, "a", "issue"));
        }
    }
}
