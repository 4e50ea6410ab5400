package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.DaemonThreads;
import portrelay.standin.Discovery;
import portrelay.standin.HttpReader;
import portrelay.standin.SidecarProcess;

/**
 * A sidecar with little memory while many bodies are in progress at the same time. Guards against a process that runs
 * out of memory because it keeps the bytes of a body that it has already passed on.
 */
@Timeout(240)
class BodyMemoryTest {

    /** The heap that deploy/run.sh sets at a limit of 96 MB. */
    private static final int HEAP_MB = 36;

    /** Too little for the bodies of all clients at once besides the process's own objects. */
    private static final int SMALL_HEAP_MB = 20;

    private static final int SOCKETS = 512;
    /** Almost as many as the sidecar opens connections to upstreams with this limit of descriptors. */
    private static final int CLIENTS = 190;

    private static final int UPSTREAMS = 4;
    private static final double DEADLINE_SECONDS = 60;
    private static final int AWAIT_SECONDS = 40;
    private static final int READ_TIMEOUT_MILLIS = 60_000;
    /** Bytes that are sent before the pause: more than the sidecar buffers of one body. */
    private static final int BEGINNING_BYTES = 80 * 1024;
    /** Bytes that are sent after the pause. */
    private static final int REST_BYTES = 40_000;
    /** Length of a body that is buffered as a whole. */
    private static final int SHORT_BODY_BYTES = 60_000;

    @TempDir
    private Path files;

    /** The framing of a body. */
    private enum Framing {
        CHUNKED("Transfer-Encoding: chunked\r\n"),
        LENGTH("Content-Length: " + (BEGINNING_BYTES + REST_BYTES) + "\r\n"),
        UNTIL_CLOSE("Connection: close\r\n");

        private final String header;

        Framing(String header) {
            this.header = header;
        }

        void write(OutputStream out, int count) throws IOException {
            byte[] bytes = "b".repeat(count).getBytes(ISO_8859_1);
            if (this == CHUNKED) {
                out.write((Integer.toHexString(count) + "\r\n").getBytes(ISO_8859_1));
                out.write(bytes);
                out.write("\r\n".getBytes(ISO_8859_1));
            } else {
                out.write(bytes);
            }
        }

        void end(OutputStream out) throws IOException {
            if (this == CHUNKED) {
                out.write("0\r\n\r\n".getBytes(ISO_8859_1));
            }
        }
    }

    /** What an upstream does with one request whose head it has read. */
    private interface Script {
        void serve(HttpReader.Head head, HttpReader reader, OutputStream out) throws Exception;
    }

    /** What a client does on its connection; returns the number of bytes of the body that it received. */
    private interface Client {
        long call(HttpReader reader, OutputStream out, String id) throws Exception;
    }

    /** Opened once every body is in progress. */
    private final CountDownLatch allInProgress = new CountDownLatch(CLIENTS);

    private void awaitAll() throws InterruptedException {
        allInProgress.countDown();
        assertTrue(allInProgress.await(AWAIT_SECONDS, TimeUnit.SECONDS), "bodies not begun: " + allInProgress);
    }

    private static byte[] head(String line, String id, String requestClass, String framing) {
        return (line + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + requestClass
                        + "\r\nX-Customer: acme\r\nX-Expires-In-Ms: " + (int) (DEADLINE_SECONDS * 1000) + "\r\n"
                        + framing + "\r\n")
                .getBytes(ISO_8859_1);
    }

    private static void acceptAll(ServerSocket listener, Script script) {
        try {
            while (true) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                DaemonThreads.start("upstream-connection", () -> serve(connection, script));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private static void serve(Socket connection, Script script) {
        try (connection) {
            HttpReader reader = new HttpReader(connection.getInputStream());
            HttpReader.Head head = reader.readHead();
            if (head != null) {
                script.serve(head, reader, connection.getOutputStream());
            }
        } catch (Exception e) {
            // Closed by the other side.
        }
    }

    /** Sends one request per client to a new sidecar and asserts that each receives a body of the given length. */
    private void assertAllServed(Script script, Client client, long expectedBytes) throws Exception {
        assertAllServed(script, client, expectedBytes, HEAP_MB);
    }

    private void assertAllServed(Script script, Client client, long expectedBytes, int heapMb) throws Exception {
        Queue<String> failures = new ConcurrentLinkedQueue<>();
        ServerSocket[] listeners = new ServerSocket[UPSTREAMS];
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < UPSTREAMS; i++) {
            listeners[i] = new ServerSocket(0, CLIENTS, InetAddress.getLoopbackAddress());
            ServerSocket listener = listeners[i];
            DaemonThreads.start("upstream", () -> acceptAll(listener, script));
            rows.append(i > 0 ? "," : "").append(endpointRow(i, listener.getLocalPort()));
        }
        int port = SidecarProcess.freePort();
        try (Discovery discovery = new Discovery(1)) {
            discovery.publish(rows.toString(), "");
            String json =
                    RoundConfiguration.json(port, discovery.address(), rows.toString(), DEADLINE_SECONDS, SOCKETS);
            try (SidecarProcess sidecar = SidecarProcess.start(port, json, files, files, heapMb)) {
                sidecar.awaitReady(AWAIT_SECONDS);
                CountDownLatch done = new CountDownLatch(CLIENTS);
                for (int i = 0; i < CLIENTS; i++) {
                    String id = "c" + i;
                    DaemonThreads.start("client", () -> {
                        exchange(port, id, client, expectedBytes, failures);
                        done.countDown();
                    });
                }
                assertTrue(done.await(2 * AWAIT_SECONDS, TimeUnit.SECONDS), "clients without a response: " + done);
                assertTrue(sidecar.process().isAlive(), () -> "the sidecar has ended: " + lastLine(sidecar));
                assertEquals(List.of(), List.copyOf(failures));
            }
        } finally {
            for (ServerSocket listener : listeners) {
                listener.close();
            }
        }
    }

    private static String endpointRow(int number, int port) {
        return "{\"host\":\"s-" + number + "\",\"dial\":\"127.0.0.1:" + port
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"SERVING\",\"share\":1.0,\"born_ms\":0}";
    }

    private static String lastLine(SidecarProcess sidecar) {
        try {
            List<String> log = sidecar.log();
            return log.get(log.size() - 1);
        } catch (IOException e) {
            return e.toString();
        }
    }

    private static void exchange(int port, String id, Client client, long expectedBytes, Queue<String> failures) {
        try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(READ_TIMEOUT_MILLIS);
            HttpReader reader = new HttpReader(socket.getInputStream());
            long received = client.call(reader, socket.getOutputStream(), id);
            if (received != expectedBytes) {
                failures.add(id + ": " + received + " bytes");
            }
        } catch (Exception e) {
            failures.add(id + ": " + e);
        }
    }

    /** Returns the length of the body, or the negative status code if that is not 200. */
    private static long readResponse(HttpReader reader) throws IOException {
        HttpReader.Head head = reader.readHead();
        if (head == null) {
            throw new IOException("closed without a response");
        }
        return head.status() == 200 ? reader.readBody(head) : -head.status();
    }

    /** Sends the beginning of a long response, waits until all are in progress, and sends the rest. */
    private Script longResponse(Framing framing) {
        return (head, reader, out) -> {
            reader.skipBody(head);
            out.write(("HTTP/1.1 200 OK\r\n" + framing.header + "\r\n").getBytes(ISO_8859_1));
            framing.write(out, BEGINNING_BYTES);
            awaitAll();
            framing.write(out, REST_BYTES);
            framing.end(out);
        };
    }

    private static Client get() {
        return (reader, out, id) -> {
            out.write(head("GET /read/x", id, "read", ""));
            return readResponse(reader);
        };
    }

    private static Client postShortBody() {
        return (reader, out, id) -> {
            out.write(head("POST /issue/x", id, "issue", "Content-Length: " + SHORT_BODY_BYTES + "\r\n"));
            out.write(new byte[SHORT_BODY_BYTES]);
            return readResponse(reader);
        };
    }

    @Test
    void manyLongChunkedResponsesAreServedWithLittleMemory() throws Exception {
        assertAllServed(longResponse(Framing.CHUNKED), get(), BEGINNING_BYTES + REST_BYTES);
    }

    @Test
    void manyLongResponsesWithALengthAreServedWithLittleMemory() throws Exception {
        assertAllServed(longResponse(Framing.LENGTH), get(), BEGINNING_BYTES + REST_BYTES);
    }

    @Test
    void manyLongResponsesUntilTheCloseAreServedWithLittleMemory() throws Exception {
        assertAllServed(longResponse(Framing.UNTIL_CLOSE), get(), BEGINNING_BYTES + REST_BYTES);
    }

    @Test
    void manyLongResponsesToRequestsWithBodiesAreServedWithLittleMemory() throws Exception {
        assertAllServed(longResponse(Framing.CHUNKED), postShortBody(), BEGINNING_BYTES + REST_BYTES);
    }

    @Test
    void manyLongChunkedRequestBodiesAreForwardedWithLittleMemory() throws Exception {
        assertLongRequestBodiesAreForwarded(Framing.CHUNKED);
    }

    @Test
    void manyLongRequestBodiesWithALengthAreForwardedWithLittleMemory() throws Exception {
        assertLongRequestBodiesAreForwarded(Framing.LENGTH);
    }

    private void assertLongRequestBodiesAreForwarded(Framing framing) throws Exception {
        Script answerWithLength = (head, reader, out) -> {
            String length = Long.toString(reader.readBody(head));
            String text = String.format(Locale.ROOT, "%0" + SHORT_BODY_BYTES + "d", Long.parseLong(length));
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + SHORT_BODY_BYTES + "\r\n\r\n" + text)
                    .getBytes(ISO_8859_1));
        };
        Client sendInTwoParts = (reader, out, id) -> {
            out.write(head("POST /issue/x", id, "issue", framing.header));
            framing.write(out, BEGINNING_BYTES);
            awaitAll();
            framing.write(out, REST_BYTES);
            framing.end(out);
            return readResponse(reader);
        };
        assertAllServed(answerWithLength, sendInTwoParts, SHORT_BODY_BYTES, SMALL_HEAP_MB);
    }

    /** Guards against connections that refer to the last response, which was sent, for as long as they are open. */
    @Test
    void responsesThatWereSentTakeNoMemoryWhileTheirConnectionsStayOpen() throws Exception {
        Script shortResponse = (head, reader, out) -> {
            reader.skipBody(head);
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + SHORT_BODY_BYTES + "\r\n\r\n").getBytes(ISO_8859_1));
            out.write(new byte[SHORT_BODY_BYTES]);
        };
        CountDownLatch allServed = new CountDownLatch(CLIENTS);
        Client keepOpen = (reader, out, id) -> {
            out.write(head("POST /issue/x", id, "issue", Framing.LENGTH.header));
            Framing.LENGTH.write(out, BEGINNING_BYTES);
            awaitAll();
            Framing.LENGTH.write(out, REST_BYTES);
            long received = readResponse(reader);
            allServed.countDown();
            allServed.await(AWAIT_SECONDS, TimeUnit.SECONDS);
            return received;
        };
        assertAllServed(shortResponse, keepOpen, SHORT_BODY_BYTES, SMALL_HEAP_MB);
    }
}
