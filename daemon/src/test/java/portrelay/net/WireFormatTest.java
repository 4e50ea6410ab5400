package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.LogManager;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.json.JsonTree;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/**
 * Compares the bytes that clients, upstreams, discovery, operators, peers and a successor process see with those that
 * commit 5d52c72 wrote. Guards against a rename in the code that changes the wire or a stored file. Only values that
 * differ from run to run (ports, remaining times) are masked.
 */
@Timeout(60)
class WireFormatTest {

    private static final Pattern CONTENT_LENGTH = Pattern.compile("(?i)\r\ncontent-length: (\\d+)\r\n");

    /** Contains the hash of the sidecar's name, "t". */
    private static final String HANDOVER_PREFIX = "portrelay-af63e94c860202a3-";

    @TempDir
    private Path handoverFolder;

    @BeforeEach
    void silenceUndertow() {
        LogManager.getLogManager().reset();
    }

    /** A server on loopback that records the bytes of each request and sends the same response to all. */
    private static final class RecordingServer implements AutoCloseable {

        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        private final String response;

        RecordingServer(String response) throws IOException {
            this.response = response;
            startDaemon(this::accept);
        }

        private static void startDaemon(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        String next() throws InterruptedException {
            String request = requests.poll(10, TimeUnit.SECONDS);
            assertTrue(request != null, "no request within 10 s");
            return request;
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = listener.accept();
                    startDaemon(() -> serve(connection));
                }
            } catch (IOException e) {
                // Closed with the test.
            }
        }

        private void serve(Socket connection) {
            try (connection) {
                for (String request = readMessage(connection.getInputStream());
                        request != null;
                        request = readMessage(connection.getInputStream())) {
                    requests.add(request);
                    if (response != null) {
                        connection.getOutputStream().write(response.getBytes(ISO_8859_1));
                    }
                }
            } catch (IOException e) {
                // Closed by either side.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    /** Reads one HTTP message as raw bytes; returns null at the end of the stream. */
    private static String readMessage(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        while (!bytes.toString(ISO_8859_1).endsWith("\r\n\r\n")) {
            int next = in.read();
            if (next < 0) {
                return bytes.size() == 0 ? null : bytes.toString(ISO_8859_1);
            }
            bytes.write(next);
        }
        Matcher length = CONTENT_LENGTH.matcher(bytes.toString(ISO_8859_1));
        if (length.find()) {
            bytes.write(in.readNBytes(Integer.parseInt(length.group(1))));
        }
        return bytes.toString(ISO_8859_1);
    }

    private static String exchange(InetSocketAddress address, String request) throws IOException {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(10_000);
            socket.getOutputStream().write(request.getBytes(ISO_8859_1));
            return readMessage(socket.getInputStream());
        }
    }

    private static String endpointList(String... hosts) {
        return "{\"seq\":7,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
    }

    private static Sidecar start(String config, Path handover) throws Exception {
        PrintStream discardedLog = new PrintStream(OutputStream.nullOutputStream());
        return Sidecar.start(SidecarConfig.parse(config.getBytes(UTF_8)), discardedLog, handover);
    }

    /** Returns a configuration whose deadlines do not pass even on a busy machine. */
    private static String config(String discovery, String known) {
        return SidecarFixture.config(discovery, known, 1024)
                .replace("\"hard-limit-us\":1000000", "\"hard-limit-us\":20000000")
                .replace("\"aim-us\":600000", "\"aim-us\":10000000");
    }

    /** Compares with the bytes recorded in src/test/resources/portrelay/net/wire. */
    private static void assertRecorded(String name, String actual) throws IOException {
        try (InputStream recorded = WireFormatTest.class.getResourceAsStream("wire/" + name + ".bytes")) {
            assertEquals(new String(recorded.readAllBytes(), ISO_8859_1), actual, name);
        }
    }

    /** Returns the state without the order of its sets, which differs from process to process. */
    private static Map<String, Object> withoutOrder(String json) throws IOException {
        Map<String, Object> tree = new HashMap<>();
        ((Map<?, ?>) JsonTree.parse(json.getBytes(UTF_8))).forEach((name, value) -> tree.put((String) name, value));
        tree.put("offerings", Set.copyOf((List<?>) tree.get("offerings")));
        return tree;
    }

    private static String masked(String text) {
        return text.replaceAll("(?i)(X-Expires-In-Ms: )\\d+", "$1<ms>")
                .replaceAll("127\\.0\\.0\\.1:\\d+", "<address>")
                .replaceAll("(?i)(Retry-After: )[0-9.]+", "$1<seconds>");
    }

    @Test
    void upstreamsReceiveTheRequestWithItsHeadersAndRemainingTime() throws Exception {
        try (RecordingServer discovery = new RecordingServer(null);
                RecordingServer upstream = new RecordingServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                Sidecar sidecar = start(
                        config(
                                discovery.address(),
                                endpointList(SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING"))),
                        null)) {
            exchange(
                    sidecar.address(),
                    "GET /read/x?n=%2F HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: a1\r\nX-Qos: read\r\n"
                            + "X-Customer: acme\r\nX-Expires-In-Ms: 15000\r\nX-Second-Try: 1\r\nX-Other: kept\r\n"
                            + "Connection: X-Hop\r\nX-Hop: dropped\r\n\r\n");
            assertRecorded("upstream-read", masked(upstream.next()));
            exchange(
                    sidecar.address(),
                    "POST /save/x HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: a2\r\nX-Qos: save\r\n"
                            + "X-Customer: acme\r\nX-Expires-In-Ms: 15000\r\nIdempotency-Key: k1\r\n"
                            + "Content-Length: 5\r\n\r\nhello");
            assertRecorded("upstream-keyed", masked(upstream.next()));
        }
    }

    @Test
    void clientsReceiveTheResponseOrTheErrorOfAnInvalidRequest() throws Exception {
        String served = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Other: kept\r\nContent-Type: text/plain\r\n"
                + "Keep-Alive: timeout=5\r\n\r\nok";
        try (RecordingServer discovery = new RecordingServer(null);
                RecordingServer upstream = new RecordingServer(served);
                Sidecar sidecar = start(
                        config(
                                discovery.address(),
                                endpointList(SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING"))),
                        null)) {
            assertRecorded(
                    "client-served", masked(exchange(sidecar.address(), SidecarFixture.readRequest("a", 15_000))));
            assertRecorded("client-up", masked(exchange(sidecar.address(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")));
            String noId = SidecarFixture.readRequest("b", 15_000).replace("X-Trace-Id: b\r\n", "");
            assertRecorded("client-no-id", masked(exchange(sidecar.address(), noId)));
            String noClass = SidecarFixture.readRequest("c", 15_000).replace("X-Qos: read", "X-Qos: other");
            assertRecorded("client-unknown-class", masked(exchange(sidecar.address(), noClass)));
            String noTime =
                    SidecarFixture.readRequest("d", 15_000).replace("X-Expires-In-Ms: 15000", "X-Expires-In-Ms: soon");
            assertRecorded("client-bad-time", masked(exchange(sidecar.address(), noTime)));
        }
    }

    @Test
    void clientsReceiveRejectionAndFailure() throws Exception {
        String busy = "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nX-Never-Ran: 1\r\n\r\n";
        String broken = "HTTP/1.1 500 Broken\r\nContent-Length: 0\r\n\r\n";
        try (RecordingServer discovery = new RecordingServer(null);
                RecordingServer upstream = new RecordingServer(busy);
                Sidecar sidecar = start(
                        config(
                                discovery.address(),
                                endpointList(SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING"))),
                        null)) {
            assertRecorded(
                    "client-rejected", masked(exchange(sidecar.address(), SidecarFixture.issueRequest("a", 15_000))));
        }
        try (RecordingServer discovery = new RecordingServer(null);
                RecordingServer upstream = new RecordingServer(broken);
                Sidecar sidecar = start(
                        config(
                                discovery.address(),
                                endpointList(SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING"))),
                        null)) {
            assertRecorded(
                    "client-failed", masked(exchange(sidecar.address(), SidecarFixture.issueRequest("a", 15_000))));
        }
    }

    @Test
    void discoveryReceivesACallForTheCompleteListAndThenAWatch() throws Exception {
        String first = endpointList(SidecarFixture.endpointRow("s-0", "127.0.0.1:1", "SERVING"));
        String answer = "HTTP/1.1 200 OK\r\nContent-Length: " + first.length() + "\r\n\r\n" + first;
        try (RecordingServer discovery = new RecordingServer(answer);
                Sidecar sidecar = start(config(discovery.address(), "{\"seq\":1,\"hosts\":[]}"), null)) {
            assertRecorded("discovery-list", masked(discovery.next()));
            assertRecorded("discovery-watch", masked(discovery.next()));
            assertTrue(sidecar.address().getPort() > 0);
        }
    }

    @Test
    void operatorsReceiveTheResponsesToTheirCalls() throws Exception {
        try (RecordingServer discovery = new RecordingServer(null);
                Sidecar sidecar = start(
                        config(
                                discovery.address(),
                                endpointList(SidecarFixture.endpointRow("s-0", "127.0.0.1:1", "SERVING"))),
                        null)) {
            StringBuilder responses = new StringBuilder();
            for (String line : new String[] {
                "GET /control/ready",
                "PUT /control/out-of-service",
                "PUT /control/in-service",
                "PUT /control/upstreams/s-0/offline",
                "PUT /control/upstreams/s-0/online",
                "PUT /control/upstreams/s-9/offline",
                "GET /control/in-service",
                "GET /control/other",
            }) {
                responses
                        .append(exchange(sidecar.adminAddress(), line + " HTTP/1.1\r\nHost: a\r\n\r\n"))
                        .append("\n--\n");
            }
            assertRecorded("operators", masked(responses.toString()));
        }
    }

    @Test
    void peersReceiveTheStartAndTheEndOfAnAttempt() throws Exception {
        try (RecordingServer discovery = new RecordingServer(null);
                RecordingServer upstream = new RecordingServer("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
                DatagramSocket free = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
                DatagramSocket peer = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            peer.setSoTimeout(10_000);
            String own = "\"127.0.0.1:" + free.getLocalPort() + "\"";
            free.close();
            String config = config(
                            discovery.address(),
                            endpointList(SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING")))
                    .replace("\"siblings\":1", "\"siblings\":2,\"me\":0")
                    .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,")
                    .replace(
                            "\"seed\"",
                            "\"peer_listen\":" + own + ",\"peers\":[" + own + ",\"127.0.0.1:" + peer.getLocalPort()
                                    + "\"],\"seed\"");
            try (Sidecar sidecar = start(config, null)) {
                exchange(sidecar.address(), SidecarFixture.readRequest("a", 15_000));
                assertRecorded("peer-started", receiveDatagram(peer));
                // The last character encodes how long the attempt took.
                assertRecorded("peer-ended", receiveDatagram(peer).substring(0, 4));
            }
        }
    }

    private static String receiveDatagram(DatagramSocket socket) throws IOException {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), ISO_8859_1);
    }

    /** A successor of this version reads the state that a process of commit 5d52c72 left, and writes the same form. */
    @Test
    void theHandoverStateFileKeepsItsForm() throws Exception {
        int port;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            port = free.getLocalPort();
        }
        String address = "127.0.0.1:" + port;
        String predecessorState;
        try (InputStream recorded = WireFormatTest.class.getResourceAsStream("wire/handover-left.bytes")) {
            predecessorState = new String(recorded.readAllBytes(), UTF_8).replace("<address>", address);
        }
        Files.writeString(handoverFolder.resolve(HANDOVER_PREFIX + "1.state"), predecessorState);
        Files.createFile(handoverFolder.resolve(HANDOVER_PREFIX + "1.lock"));
        try (RecordingServer discovery = new RecordingServer(null);
                Sidecar sidecar = start(
                        config(
                                        discovery.address(),
                                        endpointList(SidecarFixture.endpointRow("s-0", "127.0.0.1:1", "SERVING")))
                                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + address + "\""),
                        handoverFolder)) {
            String up = exchange(sidecar.address(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n");
            assertTrue(
                    up.startsWith("HTTP/1.1 503"),
                    "not out of service, though an operator call to the previous process set it so");
            Path written = handoverFolder.resolve(HANDOVER_PREFIX + "2.state");
            assertEquals(withoutOrder(predecessorState), withoutOrder(Files.readString(written)));
        }
    }
}
