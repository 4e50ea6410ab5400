package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.DaemonThreads;
import portrelay.standin.HttpReader;

/**
 * Upstreams that read long request bodies slowly, on a real sidecar. Guards against a request whose time only begins
 * once the upstream has read so much that its last byte has left the client's send buffer.
 */
@Timeout(120)
class SlowReadingUpstreamTest {

    private static final SidecarTestbed.Limits LIMITS = new SidecarTestbed.Limits(4, 512, 96);
    private static final int WAIT_MILLIS = 600;
    /** The protocol's half second, and as much for a busy machine. */
    private static final double MAX_LATE_SECONDS = 1;

    private static final int BYTES_PER_PAUSE = 40_000;
    private static final int PAUSE_MILLIS = 20;
    private static final int PIECE_BYTES = 50_000;

    @TempDir
    private Path files;

    /** Reads two megabytes a second and never answers. */
    private static void readSlowly(HttpReader.Head head, HttpReader reader, Socket connection) throws Exception {
        InputStream in = connection.getInputStream();
        while (in.readNBytes(BYTES_PER_PAUSE).length > 0) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        }
    }

    private static void write(OutputStream out, String id, int length, boolean isChunked) throws IOException {
        String framing = isChunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n";
        out.write(SidecarTestbed.head(id, "issue", WAIT_MILLIS, framing).getBytes(ISO_8859_1));
        byte[] piece = new byte[PIECE_BYTES];
        for (int written = 0; written < length; written += PIECE_BYTES) {
            if (isChunked) {
                out.write((Integer.toHexString(PIECE_BYTES) + "\r\n").getBytes(ISO_8859_1));
            }
            out.write(piece);
            if (isChunked) {
                out.write("\r\n".getBytes(ISO_8859_1));
            }
        }
        if (isChunked) {
            out.write("0\r\n\r\n".getBytes(ISO_8859_1));
        }
    }

    /**
     * Returns how long the response took after the last byte was written, in seconds; 0 if it came before, as the
     * client was not done.
     */
    private static double secondsFromLastByte(SidecarTestbed testbed, int length, boolean isChunked) throws Exception {
        try (Socket client = testbed.connect()) {
            CompletableFuture<Long> lastByteNanos = new CompletableFuture<>();
            DaemonThreads.start("writer", () -> {
                try {
                    write(client.getOutputStream(), "r-" + isChunked + length, length, isChunked);
                    lastByteNanos.complete(System.nanoTime());
                } catch (IOException e) {
                    // The response came before the last byte.
                }
            });
            int status = SidecarTestbed.readStatus(new HttpReader(client.getInputStream()));
            long answeredNanos = System.nanoTime();
            assertTrue(status == 502 || status == 429, "status " + status);
            return (answeredNanos - lastByteNanos.getNow(answeredNanos)) / 1e9;
        }
    }

    @Test
    void aRequestIsAnsweredByItsDeadlineWhileItsBodyIsInTheClientsSendBuffer() throws Exception {
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 2, SlowReadingUpstreamTest::readSlowly)) {
            List<CompletableFuture<Double>> answers = new ArrayList<>();
            for (int megabytes = 2; megabytes <= 8; megabytes += 2) {
                for (boolean isChunked : new boolean[] {true, false}) {
                    CompletableFuture<Double> answer = new CompletableFuture<>();
                    answers.add(answer);
                    int length = megabytes * 1_000_000;
                    DaemonThreads.start("client", () -> {
                        try {
                            answer.complete(secondsFromLastByte(testbed, length, isChunked));
                        } catch (Throwable e) {
                            answer.completeExceptionally(e);
                        }
                    });
                }
            }
            List<Double> late = new ArrayList<>();
            for (CompletableFuture<Double> answer : answers) {
                double seconds = answer.get(60, TimeUnit.SECONDS);
                if (seconds > WAIT_MILLIS / 1e3 + MAX_LATE_SECONDS) {
                    late.add(seconds);
                }
            }
            assertEquals(List.of(), late, "seconds from the last byte to the response");
        }
    }
}
