package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.DaemonThreads;
import portrelay.standin.Discovery;
import portrelay.standin.HttpReader;
import portrelay.standin.SidecarProcess;

/**
 * A real process that ends in the middle of long responses without a length. Guards against a client that takes the
 * part that it has received for the whole response, as the kernel ends a connection of an ended process without a
 * reset.
 */
@Timeout(120)
class ResponseAtProcessEndTest {

    /** Longer than a successor takes to start. */
    private static final double DEADLINE_SECONDS = 25;

    private static final int AWAIT_SECONDS = 30;
    private static final int READ_TIMEOUT_MILLIS = 30_000;
    private static final int POLL_MILLIS = 5;
    /** More than the sidecar buffers of one body. */
    private static final int SENT_BYTES = 200_000;

    private static final int READ_BYTES = 16 * 1024;
    private static final String LAST_CHUNK = "\r\n0\r\n\r\n";

    /**
     * The protocol versions and headers of the clients. No more than the requests that a sidecar has in flight at the
     * start.
     */
    private static final List<String> CLIENTS =
            List.of("HTTP/1.1\r\n", "HTTP/1.1\r\nConnection: close\r\n", "HTTP/1.0\r\nConnection: keep-alive\r\n");

    @TempDir
    private Path files;

    private final CountDownLatch requested = new CountDownLatch(CLIENTS.size());
    private final CountDownLatch mayRespond = new CountDownLatch(1);
    private final CountDownLatch received = new CountDownLatch(CLIENTS.size());
    private ServerSocket upstream;

    @BeforeEach
    void startUpstream() throws IOException {
        upstream = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        DaemonThreads.start("upstream", () -> {
            try {
                while (true) {
                    Socket connection = upstream.accept();
                    DaemonThreads.start("upstream-connection", () -> sendFirstChunk(connection));
                }
            } catch (IOException e) {
                // The listener was closed.
            }
        });
    }

    /** Sends one chunk of a response once the test allows it, and no more. */
    private void sendFirstChunk(Socket connection) {
        try (connection) {
            HttpReader reader = new HttpReader(connection.getInputStream());
            if (reader.readHead() == null) {
                return;
            }
            requested.countDown();
            mayRespond.await();
            OutputStream out = connection.getOutputStream();
            String head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(SENT_BYTES);
            out.write((head + "\r\n" + "b".repeat(SENT_BYTES) + "\r\n").getBytes(ISO_8859_1));
            reader.readHead();
        } catch (IOException | InterruptedException e) {
            // The connection was closed by the sidecar's end.
        }
    }

    private String configuration(int port, Discovery discovery) {
        String row = "{\"host\":\"s-0\",\"dial\":\"127.0.0.1:" + upstream.getLocalPort()
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"SERVING\",\"share\":1.0,\"born_ms\":0}";
        discovery.publish(row, "");
        return RoundConfiguration.json(port, discovery.address(), row, DEADLINE_SECONDS);
    }

    private List<FutureTask<String>> startClients(int port) {
        List<FutureTask<String>> clients = new ArrayList<>();
        for (String client : CLIENTS) {
            FutureTask<String> outcome = new FutureTask<>(outcome(port, client));
            DaemonThreads.start("client", outcome);
            clients.add(outcome);
        }
        return clients;
    }

    /** Sends a request, and returns how its response ended for the client. */
    private Callable<String> outcome(int port, String versionAndHeaders) {
        return () -> {
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.setSoTimeout(READ_TIMEOUT_MILLIS);
                String id = Integer.toHexString(versionAndHeaders.hashCode());
                String request = String.format(
                        Locale.ROOT,
                        "GET /read/x %sHost: app.svc\r\nX-Trace-Id: %s\r\nX-Qos: read\r\nX-Customer: acme\r\n"
                                + "X-Expires-In-Ms: %d\r\n\r\n",
                        versionAndHeaders,
                        id,
                        (int) (DEADLINE_SECONDS * 1000));
                socket.getOutputStream().write(request.getBytes(ISO_8859_1));
                return readToEnd(socket.getInputStream());
            }
        };
    }

    private String readToEnd(InputStream in) throws IOException {
        String head = readHead(in);
        if (!head.startsWith("HTTP/1.1 200") && !head.startsWith("HTTP/1.0 200")) {
            return head;
        }
        boolean isChunked = head.toLowerCase(Locale.ROOT).contains("transfer-encoding: chunked");
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        byte[] buffer = new byte[READ_BYTES];
        try {
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                boolean wasBelow = body.size() < SENT_BYTES;
                body.write(buffer, 0, count);
                if (wasBelow && body.size() >= SENT_BYTES) {
                    received.countDown();
                }
            }
        } catch (IOException e) {
            return "incomplete";
        }
        return !isChunked || body.toString(ISO_8859_1).endsWith(LAST_CHUNK) ? "complete" : "incomplete";
    }

    private static String readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                return "closed within the head: " + head;
            }
            head.append((char) next);
        }
        return head.toString();
    }

    private static void assertAllIncomplete(List<FutureTask<String>> clients) throws Exception {
        for (int i = 0; i < clients.size(); i++) {
            String outcome = clients.get(i).get(AWAIT_SECONDS, TimeUnit.SECONDS);
            assertEquals("incomplete", outcome, "response to " + CLIENTS.get(i));
        }
    }

    private static void awaitLog(SidecarProcess sidecar, String text) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(AWAIT_SECONDS);
        while (sidecar.log().stream().noneMatch(line -> line.contains(text))) {
            assertTrue(System.nanoTime() < until, "not logged: " + text);
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Test
    void aResponseThatIsCutOffByTheEndOfAKilledProcessIsIncompleteForItsClient() throws Exception {
        int port = SidecarProcess.freePort();
        try (Discovery discovery = new Discovery(1);
                SidecarProcess sidecar = SidecarProcess.start(port, configuration(port, discovery), files, files)) {
            sidecar.awaitReady(AWAIT_SECONDS);
            mayRespond.countDown();
            List<FutureTask<String>> clients = startClients(port);
            assertTrue(received.await(AWAIT_SECONDS, TimeUnit.SECONDS), "responses that have not begun");
            sidecar.process().destroyForcibly();
            assertAllIncomplete(clients);
        }
    }

    /**
     * The responses begin while the process hands over to its successor, when each connection ends with its response.
     */
    @Test
    void aResponseThatBeginsInAHandoverAndIsCutOffIsIncompleteForItsClient() throws Exception {
        int port = SidecarProcess.freePort();
        Path sharedTmp = files.resolve("shared");
        try (Discovery discovery = new Discovery(1)) {
            String json = configuration(port, discovery);
            try (SidecarProcess old = SidecarProcess.start(port, json, files.resolve("old"), sharedTmp)) {
                old.awaitReady(AWAIT_SECONDS);
                List<FutureTask<String>> clients = startClients(port);
                assertTrue(requested.await(AWAIT_SECONDS, TimeUnit.SECONDS), "requests that were not forwarded");
                try (SidecarProcess next = SidecarProcess.start(port, json, files.resolve("next"), sharedTmp)) {
                    awaitLog(next, "ready: listen=");
                    old.process().destroy();
                    awaitLog(old, "handing over to successor");
                    mayRespond.countDown();
                    assertTrue(received.await(AWAIT_SECONDS, TimeUnit.SECONDS), "responses that have not begun");
                    assertTrue(old.process().waitFor(AWAIT_SECONDS, TimeUnit.SECONDS), "the process has not ended");
                    assertAllIncomplete(clients);
                }
            }
        }
    }
}
