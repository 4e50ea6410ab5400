package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.logging.LogManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/** An upstream that reads a long request body slowly, but all the time, while its client sends on. */
@Timeout(120)
class SlowUpstreamNetTest {

    private static final int BODY_BYTES = 32 * 1024 * 1024;
    private static final int PIECE_BYTES = 64 * 1024;
    /** At which the upstream reads, in bytes per second. */
    private static final int RATE = 64_000;
    /** At which the client sends, in bytes per second: fills all buffers, and does not come near the body's end. */
    private static final int CLIENT_RATE = 500_000;

    private static final long READ_INTERVAL_MILLIS = 50;
    /** How long the upstream reads slowly, before it reads the rest at full speed. */
    private static final int SLOW_SECONDS = 30;

    /** Guards against an upstream that counts as failed while the kernel's send buffer hides that it reads. */
    @Test
    void aRequestWhoseBodyIsReadSlowlyIsServed() throws Exception {
        LogManager.getLogManager().reset();
        ExecutorService threads = Executors.newCachedThreadPool();
        try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
                SidecarFixture.ScriptedServer discovery = new SidecarFixture.ScriptedServer(SidecarFixture.SILENT)) {
            Future<Integer> received = threads.submit(() -> serve(listener));
            String row = SidecarFixture.endpointRow("s-0", "127.0.0.1:" + listener.getLocalPort(), "SERVING");
            String list = "{\"seq\":7,\"whole\":true,\"hosts\":[" + row + "]}";
            String config = SidecarFixture.config(discovery.address(), list, 1024);
            Sidecar sidecar = Sidecar.start(
                    SidecarConfig.parse(config.getBytes(UTF_8)), new PrintStream(OutputStream.nullOutputStream()));
            try (Socket client =
                    new Socket(sidecar.address().getAddress(), sidecar.address().getPort())) {
                Future<?> sent = threads.submit(() -> {
                    send(client.getOutputStream());
                    return null;
                });
                assertEquals(
                        200,
                        SidecarFixture.Message.read(client.getInputStream()).status());
                sent.get();
                assertEquals(BODY_BYTES, received.get());
            } finally {
                sidecar.close();
            }
        } finally {
            threads.shutdownNow();
        }
    }

    private static void send(OutputStream out) throws IOException, InterruptedException {
        String head = SidecarFixture.requestHead("POST /issue/x", "id", "issue", 900);
        out.write((head + "Content-Length: " + BODY_BYTES + "\r\n\r\n").getBytes(ISO_8859_1));
        byte[] piece = new byte[PIECE_BYTES];
        long startedAt = System.nanoTime();
        for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
            out.write(piece);
            if (System.nanoTime() - startedAt < SLOW_SECONDS * 1_000_000_000L) {
                sleepUntil(startedAt, sent, CLIENT_RATE);
            }
        }
    }

    /** Waits until so many bytes are due at the rate. */
    private static void sleepUntil(long startedAtNanos, long bytes, int rate) throws InterruptedException {
        long elapsedMillis = (System.nanoTime() - startedAtNanos) / 1_000_000;
        Thread.sleep(Math.max(0, bytes * 1000 / rate - elapsedMillis));
    }

    /** Serves one request, after connections that carry none; returns the number of bytes of its body. */
    private static int serve(ServerSocket listener) throws Exception {
        while (true) {
            try (Socket connection = listener.accept()) {
                InputStream in = connection.getInputStream();
                if (!skipHead(in)) {
                    continue;
                }
                int received = readSlowly(in);
                received += in.readNBytes(BODY_BYTES - received).length;
                SidecarFixture.answer("200 OK", "u").run(null, connection);
                // Until the sidecar closes the connection.
                in.readAllBytes();
                return received;
            }
        }
    }

    /** Returns false if the connection ended without a head. */
    private static boolean skipHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return false;
            }
            head.append((char) next);
        }
        return true;
    }

    private static int readSlowly(InputStream in) throws IOException, InterruptedException {
        byte[] piece = new byte[(int) (RATE * READ_INTERVAL_MILLIS / 1000)];
        int received = 0;
        long startedAt = System.nanoTime();
        while (System.nanoTime() - startedAt < SLOW_SECONDS * 1_000_000_000L) {
            int count = in.read(piece);
            if (count < 0) {
                break;
            }
            received += count;
            sleepUntil(startedAt, received, RATE);
        }
        return received;
    }
}
