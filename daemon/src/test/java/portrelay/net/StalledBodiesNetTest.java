package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.SidecarFixture.Message;

/**
 * Long request bodies whose upstream stops reading them, or reads little now and then. Guards against a request whose
 * time only counts from when its last byte is forwarded, so that it is not answered while that byte waits in the
 * sidecar's receive buffer.
 */
@Timeout(120)
class StalledBodiesNetTest {

    private static final int DEADLINE_MILLIS = 1000;
    private static final int LONG_DEADLINE_MILLIS = 9000;
    /** Far less than the 10 s after which an upstream that reads nothing fails, far more than the deadline. */
    private static final double MAX_SECONDS = 6;

    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;
    private static final int PIECE_BYTES = 8000;
    /** More than the buffers of all connections on the way hold together. */
    private static final int ENDLESS_BYTES = 36_000_000;

    private static final int STALLED_MILLIS = 300;
    private static final int LENGTHS = 8;
    private static final int LENGTH_STEP_BYTES = 250_000;
    private static final int TRICKLE_BYTES = 4_000;
    private static final int TRICKLE_MILLIS = 50;

    /** What an upstream does with the bytes of a connection. */
    private interface Reader {
        void read(InputStream in) throws Exception;
    }

    /** Reads a part of the body and then nothing. */
    private static final Reader HANGS = in -> in.readNBytes(PIECE_BYTES);

    private static final Reader TRICKLES = in -> {
        while (in.readNBytes(TRICKLE_BYTES).length > 0) {
            Thread.sleep(TRICKLE_MILLIS);
        }
    };

    /** An upstream with a small receive buffer, which leaves its connections open and never answers. */
    private static final class StallingUpstream implements AutoCloseable {
        private final ServerSocket listener = new ServerSocket();
        private final List<Socket> connections = new ArrayList<>();

        StallingUpstream(Reader reader) throws IOException {
            listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
            listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            startDaemon(() -> {
                while (true) {
                    Socket connection = listener.accept();
                    connections.add(connection);
                    startDaemon(() -> reader.read(connection.getInputStream()));
                }
            });
        }

        @Override
        public void close() throws IOException {
            listener.close();
            for (Socket connection : connections) {
                connection.close();
            }
        }
    }

    private interface Task {
        void run() throws Exception;
    }

    private static void startDaemon(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (Exception e) {
                // Closed by either side.
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static SidecarFixture sidecarBefore(StallingUpstream upstream) throws Exception {
        return sidecarBefore(upstream, config -> config);
    }

    private static SidecarFixture sidecarBefore(StallingUpstream upstream, UnaryOperator<String> adjustment)
            throws Exception {
        String row = SidecarFixture.endpointRow("s-0", "127.0.0.1:" + upstream.listener.getLocalPort(), "SERVING");
        return new SidecarFixture(
                1024, "{}", config -> adjustment.apply(config.replace("\"hosts\":[]", "\"hosts\":[" + row + "]")));
    }

    private static byte[] head(String id, String framing) {
        return (SidecarFixture.requestHead("POST /issue/x", id, "issue", DEADLINE_MILLIS) + framing + "\r\n\r\n")
                .getBytes(ISO_8859_1);
    }

    private static void writeLength(OutputStream out, String id, int length, AtomicLong written) throws IOException {
        out.write(head(id, "Content-Length: " + length));
        writeBody(out, length, written);
    }

    private static void writeBody(OutputStream out, int length, AtomicLong written) throws IOException {
        byte[] piece = new byte[PIECE_BYTES];
        while (written.get() < length) {
            int count = (int) Math.min(piece.length, length - written.get());
            out.write(piece, 0, count);
            written.addAndGet(count);
        }
    }

    private static void writeChunked(OutputStream out, String id, int length, AtomicLong written) throws IOException {
        out.write(head(id, "Transfer-Encoding: chunked"));
        byte[] chunk =
                (Integer.toHexString(PIECE_BYTES) + "\r\n" + "b".repeat(PIECE_BYTES) + "\r\n").getBytes(ISO_8859_1);
        while (written.get() < length) {
            out.write(chunk);
            written.addAndGet(PIECE_BYTES);
        }
        out.write("0\r\n\r\n".getBytes(ISO_8859_1));
    }

    /** Waits until no more bytes are written for {@link #STALLED_MILLIS}; returns how many were. */
    private static long awaitStalled(AtomicLong written) throws InterruptedException {
        long before = -1;
        while (written.get() != before || before == 0) {
            before = written.get();
            Thread.sleep(STALLED_MILLIS);
        }
        return before;
    }

    /**
     * Returns how many bytes are written to the sidecar before the client is stalled: what all buffers on the way to an
     * upstream that does not read hold, the client's own small one included.
     */
    private static long stalledAfter(SidecarFixture sidecar) throws Exception {
        AtomicLong written = new AtomicLong();
        try (Socket client = sidecar.connect()) {
            client.setSendBufferSize(PIECE_BYTES);
            startDaemon(() -> writeLength(client.getOutputStream(), "probe", ENDLESS_BYTES, written));
            return awaitStalled(written);
        }
    }

    private static void assertAnsweredInTime(Socket client, long startNanos, String what) throws IOException {
        client.setSoTimeout(20_000);
        Message response = Message.read(client.getInputStream());
        double seconds = (System.nanoTime() - startNanos) / 1e9;
        assertNotNull(response, what + ": closed without a response");
        assertTrue(response.status() == 429 || response.status() == 502, what + ": " + response.startLine());
        assertTrue(seconds < MAX_SECONDS, what + ": answered after " + seconds + " s");
    }

    /** The buffers of all connections on the way are full, whatever their sizes. */
    @Test
    void aRequestIsAnsweredWhenNothingOfItsBodyIsAcceptedAnyMore() throws Exception {
        try (StallingUpstream upstream = new StallingUpstream(HANGS);
                SidecarFixture sidecar = sidecarBefore(upstream)) {
            Socket withLength = sidecar.connect();
            Socket chunked = sidecar.connect();
            long start = System.nanoTime();
            startDaemon(() -> writeLength(withLength.getOutputStream(), "a", ENDLESS_BYTES, new AtomicLong()));
            startDaemon(() -> writeChunked(chunked.getOutputStream(), "b", ENDLESS_BYTES, new AtomicLong()));
            assertAnsweredInTime(withLength, start, "with a length");
            assertAnsweredInTime(chunked, start, "chunked");
        }
    }

    /** The whole body has arrived, and the rest of it waits in the sidecar's receive buffer. */
    @Test
    void aRequestWhoseUpstreamHangsInItsBodyIsAnsweredByItsDeadline() throws Exception {
        assertArrivedBodiesAreAnsweredByTheirDeadlines(HANGS);
    }

    /** The same, where the upstream's slow progress must not put the deadline off. */
    @Test
    void aRequestWhoseUpstreamReadsLittleNowAndThenIsAnsweredByItsDeadline() throws Exception {
        assertArrivedBodiesAreAnsweredByTheirDeadlines(TRICKLES);
    }

    /** The shutdown ends long before the request's own deadline; the process must not end without an answer. */
    @Test
    void aRequestWhoseUpstreamHangsInItsBodyIsAnsweredInAShutdown() throws Exception {
        try (StallingUpstream upstream = new StallingUpstream(HANGS);
                SidecarFixture sidecar = sidecarBefore(upstream, SidecarFixture.longDeadlines())) {
            Socket client = sidecar.connect();
            AtomicLong written = new AtomicLong();
            String head = SidecarFixture.requestHead("POST /issue/x", "a", "issue", LONG_DEADLINE_MILLIS)
                    + "Content-Length: " + ENDLESS_BYTES + "\r\nConnection: close\r\n\r\n";
            client.getOutputStream().write(head.getBytes(ISO_8859_1));
            startDaemon(() -> writeBody(client.getOutputStream(), ENDLESS_BYTES, written));
            awaitStalled(written);
            long start = System.nanoTime();
            startDaemon(sidecar.sidecar::drain);
            assertAnsweredInTime(client, start, "in a shutdown");
        }
    }

    private static void assertArrivedBodiesAreAnsweredByTheirDeadlines(Reader reader) throws Exception {
        try (StallingUpstream upstream = new StallingUpstream(reader);
                SidecarFixture sidecar = sidecarBefore(upstream)) {
            int stalledAfter = (int) stalledAfter(sidecar);
            List<CompletableFuture<Void>> answers = new ArrayList<>();
            for (int i = 1; i <= LENGTHS; i++) {
                int length = stalledAfter - i * LENGTH_STEP_BYTES;
                answers.add(answer(sidecar.connect(), length, true));
                answers.add(answer(sidecar.connect(), length, false));
            }
            for (CompletableFuture<Void> answer : answers) {
                answer.get(60, TimeUnit.SECONDS);
            }
            assertEquals(2 * LENGTHS, answers.size());
        }
    }

    private static CompletableFuture<Void> answer(Socket client, int length, boolean isChunked) throws IOException {
        String what = (isChunked ? "chunked, " : "with a length, ") + length + " bytes";
        long start = System.nanoTime();
        OutputStream out = client.getOutputStream();
        String id = "r-" + isChunked + length;
        startDaemon(() -> {
            if (isChunked) {
                writeChunked(out, id, length, new AtomicLong());
            } else {
                writeLength(out, id, length, new AtomicLong());
            }
        });
        CompletableFuture<Void> result = new CompletableFuture<>();
        startDaemon(() -> {
            try {
                assertAnsweredInTime(client, start, what);
                result.complete(null);
            } catch (Throwable e) {
                result.completeExceptionally(e);
            }
        });
        return result;
    }
}
