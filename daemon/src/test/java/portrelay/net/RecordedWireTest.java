package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Compares what clients and upstreams see, byte for byte, with a recording. Guards against changed statuses, bodies,
 * order of headers or ends of connections. Values that differ from run to run are written as N.
 */
@Timeout(120)
class RecordedWireTest {

    private static final Path RECORDING = Path.of("src/test/resources/portrelay/net/recorded-wire.txt");
    private static final String GET = SidecarFixture.requestHead("GET /read/x", "id", "read", 500);
    private static final String POST = SidecarFixture.requestHead("POST /issue/x", "id", "issue", 500);
    private static final String KEYED_POST = SidecarFixture.requestHead("POST /save/x", "id", "save", 500);
    private static final String OK = "HTTP/1.1 200 OK\r\n";
    private static final String OK_RESPONSE = OK
            + "X-A: 1\r\nX-a: 2\r\nKeep-Alive: 5\r\nConnection: X-Hop\r\nX-Hop: h\r\nDate: d\r\nServer: s\r\n"
            + "Content-Length: 2\r\n\r\nhi";

    private static final List<String> REQUESTS = List.of(
            GET + "\r\n",
            GET + "X-B: 1\r\nx-b: 2\r\nConnection: X-B\r\nTE: t\r\nUpgrade: u\r\nProxy-Connection: p\r\n\r\n",
            "nonsense\r\n\r\n",
            GET.replace("X-Trace-Id: id\r\n", "") + "\r\n",
            GET + "X-Trace-Id: id2\r\n\r\n",
            GET.replace("X-Trace-Id: id", "X-Trace-Id: ") + "\r\n",
            GET.replace("X-Trace-Id: id", "X-Trace-Id: " + "i".repeat(257)) + "\r\n",
            GET.replace("X-Qos: read", "X-Qos: other") + "\r\n",
            GET.replace("X-Qos: read\r\n", "") + "\r\n",
            GET.replace("/read/", "/save/") + "\r\n",
            GET.replace("acme", "nobody") + "\r\n",
            GET.replace("X-Customer: acme\r\n", "") + "\r\n",
            GET.replace("X-Expires-In-Ms: 500\r\n", "") + "\r\n",
            GET.replace("500", "soon") + "\r\n",
            GET.replace("500", "0") + "\r\n",
            GET.replace("500", "99999999999") + "\r\n",
            GET + "X-Second-Try: 1\r\n\r\n",
            GET + "X-Second-Try: 1\r\nX-Second-Try: 1\r\n\r\n",
            GET.replace("GET", "POST") + "Content-Length: 0\r\n\r\n",
            GET.replace("GET", "BREW") + "\r\n",
            GET.replace("GET", "HEAD") + "\r\n",
            GET + "Content-Length: 2\r\n\r\nhi",
            KEYED_POST + "Content-Length: 0\r\n\r\n",
            KEYED_POST + "Idempotency-Key: k\r\nContent-Length: 3\r\n\r\nabc",
            POST + "Content-Length: 37748737\r\n\r\n",
            POST + "Content-Length: x\r\n\r\n",
            POST + "Content-Length: -1\r\n\r\n",
            POST + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi",
            POST + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            POST + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n",
            POST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
            POST + "Transfer-Encoding: chunked\r\n\r\n2\r\nhihi\r\n0\r\n\r\n",
            POST + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
            POST + "Transfer-Encoding: chunked\r\n\r\n18000\r\n" + "z".repeat(0x18000) + "\r\n0\r\nT: t\r\n\r\n",
            POST + "Content-Length: 100000\r\n\r\n" + "y".repeat(100_000),
            POST + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
            GET.replace("X-Qos: read", "X-Qos:\r\n read") + "\r\n",
            GET.replace("\r\n", "\n") + "\n",
            "\r\n\r\n" + GET + "\r\n",
            GET + "A\u0001: b\r\n\r\n",
            GET + "noColon\r\n\r\n",
            GET + "A : b\r\n\r\n",
            "GET /up HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET /up HTTP/1.0\r\nHost: a\r\n\r\n",
            "GET /up HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            "HEAD /up HTTP/1.1\r\nHost: a\r\n\r\n",
            "GET /other HTTP/1.1\r\nHost: a\r\n\r\n",
            (GET + "\r\n").replace("HTTP/1.1", "HTTP/1.0"),
            GET + "Connection: close\r\n\r\n",
            SidecarFixture.requestHead("GET http://app.svc/read/x?n=%2F&&", "a", "read", 500) + "\r\n",
            GET + "\r\n" + SidecarFixture.requestHead("GET /read/y", "id2", "read", 500) + "\r\n");

    private static final List<String> RESPONSES = List.of(
            OK + "Content-Length: 0\r\n\r\n",
            OK + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nT: t\r\n\r\n",
            OK + "Content-Length: 100000\r\n\r\n" + "w".repeat(100_000),
            OK + "Content-Length: 2\r\n\r\nhi" + OK_RESPONSE,
            OK + "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
            OK + "A: \u0001b\r\nContent-Length: 2\r\n\r\nhi",
            "HTTP/1.1 100 C\r\n\r\nHTTP/1.1 103 H\r\nL: a\r\n\r\n" + OK_RESPONSE,
            "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n\r\nall",
            "HTTP/1.1 204 No\r\n\r\n",
            "HTTP/1.1 304 No\r\nContent-Length: 7\r\n\r\n",
            "HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 429 No\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 500 No\r\nX-E: 1\r\nContent-Length: 3\r\n\r\nerr",
            "HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n",
            "HTTP/1.1 101 Up\r\n\r\n",
            "garbage\r\n\r\n",
            OK + "no colon\r\n\r\n",
            OK + "\r\nall",
            OK + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
            OK + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            OK + "Content-Length: 37748737\r\n\r\nx");

    /** An upstream that answers each complete request with the same bytes and records the requests. */
    private static final class RawUpstream implements AutoCloseable {

        private static final int MAX_WAIT_SECONDS = 5;

        private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        private final BlockingQueue<String> requests = new LinkedBlockingQueue<>();
        private final String response;

        RawUpstream(String response) throws IOException {
            this.response = response;
            start(this::accept);
        }

        private static void start(Runnable task) {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            thread.start();
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    start(() -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                StringBuilder request = new StringBuilder();
                for (int c = in.read(); c >= 0; c = in.read()) {
                    request.append((char) c);
                    if (in.available() == 0 && isComplete(request)) {
                        requests.add(request.toString());
                        request.setLength(0);
                        socket.getOutputStream().write(response.getBytes(ISO_8859_1));
                    }
                }
            } catch (IOException e) {
                // Closed by either side.
            }
        }

        private static boolean isComplete(StringBuilder request) {
            int headEnd = request.indexOf("\r\n\r\n");
            if (headEnd < 0) {
                return false;
            }
            String head = request.substring(0, headEnd + 2);
            if (head.contains("Transfer-Encoding: chunked\r\n")) {
                return request.toString().endsWith("\r\n0\r\n\r\n");
            }
            int length = head.indexOf("Content-Length: ");
            int bytes = length < 0 ? 0 : Integer.parseInt(head.substring(length + 16, head.indexOf("\r\n", length)));
            return request.length() == headEnd + 4 + bytes;
        }

        /**
         * Returns the first request, or only its head where it has 2000 bytes or more; "none" without a request.
         *
         * @param isExpected whether to wait for a request: on a busy machine this upstream may read one only after the
         *     sidecar has answered at the deadline
         */
        String firstRequest(boolean isExpected) throws InterruptedException {
            String first = requests.poll(isExpected ? MAX_WAIT_SECONDS : 0, TimeUnit.SECONDS);
            if (first == null) {
                return "none";
            }
            return printable(first.length() < 2000 ? first : first.substring(0, first.indexOf("\r\n\r\n") + 4));
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    private static String printable(String bytes) {
        StringBuilder text = new StringBuilder();
        for (int i = 0; i < bytes.length(); i++) {
            char c = bytes.charAt(i);
            text.append(c >= ' ' && c < 127 && c != '\\' ? String.valueOf(c) : String.format("\\x%02x", (int) c));
        }
        String stable = text.toString()
                .replaceAll("X-Expires-In-Ms: \\d+", "X-Expires-In-Ms: N")
                .replaceAll("Retry-After: [0-9.]+", "Retry-After: N");
        return stable.length() < 2000
                ? stable
                : stable.substring(0, 300) + "... " + stable.length() + " characters, hash " + stable.hashCode();
    }

    /** Reads until the connection ends, or the expected text is followed by 100 ms of silence; for at most 5 s. */
    private static String read(Socket client, String expected) throws IOException {
        ByteArrayOutputStream received = new ByteArrayOutputStream();
        byte[] buffer = new byte[65_536];
        client.setSoTimeout(100);
        String text = " open";
        for (long until = System.nanoTime() + 5_000_000_000L; System.nanoTime() < until; ) {
            try {
                int count = client.getInputStream().read(buffer);
                if (count < 0) {
                    return printable(received.toString(ISO_8859_1)) + " ended";
                }
                received.write(buffer, 0, count);
            } catch (SocketTimeoutException e) {
                text = printable(received.toString(ISO_8859_1)) + " open";
                if (text.equals(expected)) {
                    return text;
                }
            }
        }
        return text;
    }

    private static String exchange(String request, String response, String expected) throws Exception {
        try (RawUpstream upstream = new RawUpstream(response)) {
            String row = SidecarFixture.endpointRow("s-0", "127.0.0.1:" + upstream.listener.getLocalPort(), "SERVING");
            try (SidecarFixture testbed = new SidecarFixture(
                    1024, "{}", config -> config.replace("\"hosts\":[]", "\"hosts\":[" + row + "]"))) {
                Socket client = testbed.connect();
                client.getOutputStream().write(request.getBytes(ISO_8859_1));
                String received = read(client, expected == null ? "" : expected.split(" \\| ")[0]);
                boolean isForwarded = expected != null && !expected.endsWith(" | none");
                return received + " | " + upstream.firstRequest(isForwarded);
            }
        }
    }

    /** Returns the exchanges by name, each with its request and the upstream's response. */
    private static Map<String, List<String>> exchanges() {
        Map<String, List<String>> exchanges = new LinkedHashMap<>();
        for (int i = 0; i < REQUESTS.size(); i++) {
            exchanges.put("request " + i, List.of(REQUESTS.get(i), OK_RESPONSE));
        }
        for (int i = 0; i < RESPONSES.size(); i++) {
            exchanges.put("response " + i + " to GET", List.of(GET + "\r\n", RESPONSES.get(i)));
            exchanges.put(
                    "response " + i + " to POST", List.of(POST + "Content-Length: 2\r\n\r\nhi", RESPONSES.get(i)));
        }
        return exchanges;
    }

    @Test
    void clientsAndUpstreamsSeeTheRecordedBytes() throws Exception {
        List<String> recorded = Files.readAllLines(RECORDING, ISO_8859_1);
        Map<String, List<String>> exchanges = exchanges();
        assertEquals(exchanges.size(), recorded.size());
        int next = 0;
        List<String> received = new ArrayList<>();
        for (Map.Entry<String, List<String>> exchange : exchanges.entrySet()) {
            String expected = recorded.get(next++);
            String name = exchange.getKey() + " | ";
            String outcome = exchange(
                    exchange.getValue().get(0),
                    exchange.getValue().get(1),
                    expected.startsWith(name) ? expected.substring(name.length()) : null);
            received.add(name + outcome);
        }
        assertEquals(String.join("\n", recorded), String.join("\n", received));
    }
}
