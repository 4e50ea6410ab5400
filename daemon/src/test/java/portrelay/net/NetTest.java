package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.RESET;
import static portrelay.net.SidecarFixture.SILENT;
import static portrelay.net.SidecarFixture.answer;
import static portrelay.net.SidecarFixture.sendBytes;
import static portrelay.net.SidecarFixture.sendBytesAndClose;

import java.io.BufferedReader;
import java.net.ConnectException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.Script;
import portrelay.net.SidecarFixture.ScriptedServer;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.settings.InvalidSettingException;

/**
 * Tests a sidecar between scripted servers on loopback: HTTP on the wire, its edge cases, and failures found before.
 */
@Timeout(20)
class NetTest {

    // ---- Bytes ------------------------------------------------------------------------------------------

    @Test
    void methodPathQueryBodyIdAndKeyAreForwardedUnchanged() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK\r\nX-Made-By: u", "yes"))) {
            String line = "POST /save/a%2Fb//c;d=1/../%7e?x=%20y&&z=+&?";
            String body = "\u0000\u00ff\r\n\r\nGET";
            Message response = testbed.exchange(SidecarFixture.requestHead(line, "id-1", "save", 900)
                    + "Idempotency-Key: K/=~\r\nX-Other: o\r\nConnection: X-Hop\r\nX-Hop: h\r\n"
                    + "Content-Length: " + body.length() + "\r\n\r\n" + body);
            Message sent = testbed.upstreams.get(0).next();
            assertEquals(line + " HTTP/1.1", sent.startLine());
            assertArrayEquals(body.getBytes(ISO_8859_1), sent.body());
            assertEquals("id-1", sent.header("X-Trace-Id"));
            assertEquals("K/=~", sent.header("Idempotency-Key"));
            assertEquals("o", sent.header("X-Other"));
            assertNull(sent.header("X-Hop"));
            int left = Integer.parseInt(sent.header("X-Expires-In-Ms"));
            assertTrue(left > 0 && left < 900, "left " + left);
            assertEquals(200, response.status());
            assertEquals("yes", new String(response.body(), ISO_8859_1));
            assertEquals("u", response.header("X-Made-By"));
        }
    }

    @Test
    void emptyChunkedAndLongResponsesAreForwardedOnOneUpstreamConnection() throws Exception {
        String longBody = "x".repeat(400_000);
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", ""))) {
            Socket client = testbed.connect();
            assertEquals(
                    0,
                    SidecarFixture.exchange(client, SidecarFixture.readRequest("a", 900))
                            .body()
                            .length);
            // A connection is not reused within 10 ms.
            Thread.sleep(20);
            testbed.upstreams.get(0).script =
                    (message, connection) -> connection.getOutputStream().write(chunked.getBytes(ISO_8859_1));
            assertEquals(
                    "abc",
                    new String(
                            SidecarFixture.exchange(client, SidecarFixture.readRequest("b", 900))
                                    .body(),
                            ISO_8859_1));
            Thread.sleep(20);
            testbed.upstreams.get(0).script = answer("200 OK", longBody);
            assertEquals(
                    400_000,
                    SidecarFixture.exchange(client, SidecarFixture.readRequest("c", 900))
                            .body()
                            .length);
            assertEquals(1, testbed.upstreams.get(0).accepted.size());
        }
    }

    // ---- Outcomes ---------------------------------------------------------------------------------------

    @Test
    void anAttemptProvablyNotExecutedIsRetriedOnAnotherUpstreamEvenIfTheRequestIsUnsafe() throws Exception {
        for (String proof : List.of("503 Busy\r\nX-Never-Ran: 1", "504 Late\r\nX-Never-Ran: 1")) {
            try (SidecarFixture testbed = new SidecarFixture(answer(proof, ""), answer(proof, ""))) {
                assertEquals(
                        429,
                        testbed.exchange(SidecarFixture.issueRequest("a", 900)).status());
                assertEquals(2, testbed.receivedCount());
            }
        }
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"), answer("200 OK", "u"))) {
            testbed.upstreams.get(0).close();
            for (int i = 0; i < 8; i++) {
                assertEquals(
                        200,
                        testbed.exchange(SidecarFixture.issueRequest("q" + i, 900))
                                .status());
            }
        }
    }

    @Test
    void anAttemptThatMayHaveRunFailsAnUnsafeRequestWithoutARetry() throws Exception {
        List<Script> maybeExecuted = List.of(
                RESET,
                answer("500 No", ""),
                answer("503 No", ""),
                answer("404 No", ""),
                sendBytesAndClose("garbage\r\n\r\n"),
                sendBytesAndClose("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
                sendBytesAndClose("HTTP/1.1 200 OK\r\n\r\nwhere does it end"),
                sendBytesAndClose("HTTP/1.1 200 OK\r\nContent-Length: 37748737\r\n\r\nx"),
                sendBytesAndClose("HTTP/1.1 200 OK\r\nContent-Length: -4\r\n\r\n"),
                sendBytesAndClose("HTTP/1.1 200 OK\r\nContent-Length: z\r\n\r\n"),
                sendBytesAndClose("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"),
                sendBytesAndClose(""));
        for (Script script : maybeExecuted) {
            try (SidecarFixture testbed = new SidecarFixture(script, script)) {
                Message response = testbed.exchange(SidecarFixture.issueRequest("a", 900));
                assertEquals(502, response.status(), "case " + maybeExecuted.indexOf(script));
                assertEquals(1, testbed.receivedCount(), "case " + maybeExecuted.indexOf(script));
            }
        }
    }

    @Test
    void aMalformedResponseOnAConnectionThatStaysOpenFailsAnUnsafeRequestAtOnce() throws Exception {
        String ok = "HTTP/1.1 200 OK\r\n";
        List<String> malformed = List.of(
                "\u0001\u00fe noise",
                "HTTP/1.1 2x0 OK\r\n",
                ok + "no colon\r\n",
                ok + "A: " + "x".repeat(40000),
                ok + "Content-Length: 3000000000\r\n\r\n" + "x".repeat(70000),
                ok + "Content-Length: -1\r\n\r\n",
                ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
                ok + "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                ok + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
                ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nabc\r\n0\r\n\r\n",
                "HTTP/1.1 101 Up\r\n\r\n",
                ok + "\r\n",
                "HTTP/1.1 102 On\r\n\r\n".repeat(3000));
        for (String response : malformed) {
            try (SidecarFixture testbed = new SidecarFixture(sendBytes(response), sendBytes(response))) {
                long start = System.nanoTime();
                String beginning = response.substring(0, Math.min(60, response.length()));
                assertEquals(
                        502,
                        testbed.exchange(SidecarFixture.issueRequest("a", 900)).status(),
                        beginning);
                assertTrue(System.nanoTime() - start < 0.5e9, "failed late after " + beginning);
                assertEquals(1, testbed.receivedCount(), beginning);
            }
        }
    }

    @Test
    void extraBytesAroundAResponseCorruptNeitherItNorTheNextOne() throws Exception {
        String good = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nme";
        String chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nme\r\n0\r\n\r\n";
        String other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
        List<String> withExtraBytes = List.of(
                good + other,
                chunked + other,
                good + "noise",
                chunked + "\r\n",
                "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: a\r\n\r\n" + good,
                good.replace("Content-Length", "Endpoint-Load-Metrics: \u0000\u0001{\u00ff=;;\r\nContent-Length"));
        for (String bytes : withExtraBytes) {
            try (SidecarFixture testbed = new SidecarFixture(sendBytes(bytes))) {
                for (int i = 0; i < 5; i++) {
                    Message response = testbed.exchange(SidecarFixture.issueRequest("q" + i, 900));
                    assertEquals(200, response.status(), bytes);
                    assertEquals("me", new String(response.body(), ISO_8859_1), bytes);
                }
            }
        }
    }

    @Test
    void aSilentUpstreamFailsTheRequestAtItsDeadlineAndIsDisconnected() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT)) {
            long start = System.nanoTime();
            assertEquals(
                    502, testbed.exchange(SidecarFixture.issueRequest("a", 300)).status());
            double seconds = (System.nanoTime() - start) / 1e9;
            assertTrue(seconds > 0.25, "seconds until the failure: " + seconds);
            assertNotNull(testbed.upstreams.get(0).closed.poll(5, TimeUnit.SECONDS));
        }
    }

    @Test
    void whenAHedgedRequestWinsTheConnectionOfTheOtherAttemptIsClosed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT, SILENT)) {
            Socket client = testbed.connect();
            client.getOutputStream().write(SidecarFixture.readRequest("a", 800).getBytes(ISO_8859_1));
            ScriptedServer first = testbed.upstreams.get(0);
            ScriptedServer second = testbed.upstreams.get(1);
            while (first.received.isEmpty() && second.received.isEmpty()) {
                Thread.onSpinWait();
            }
            ScriptedServer hedged = first.received.isEmpty() ? first : second;
            hedged.script = answer("200 OK", "hedged");
            assertEquals(
                    "hedged", new String(Message.read(client.getInputStream()).body(), ISO_8859_1));
            assertNotNull((hedged == first ? second : first).closed.poll(5, TimeUnit.SECONDS));
            assertTrue(hedged.closed.isEmpty());
        }
    }

    @Test
    void withoutUpstreamsARequestIsRejectedWithADecimalRetryAfter() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture()) {
            Message response = testbed.exchange(SidecarFixture.readRequest("a", 900));
            assertEquals(429, response.status());
            assertEquals("0.25", response.header("Retry-After"));
            for (int i = 0; i < 20; i++) {
                // The deadline and the time in the queue end at the same moment: still a rejection, not a failure.
                assertEquals(
                        429,
                        testbed.exchange(SidecarFixture.readRequest("b" + i, 1)).status());
            }
        }
    }

    @Test
    void atTheSocketLimitAnIdleUpstreamConnectionIsClosedForAnotherUpstream() throws Exception {
        // The limit allows one connection to upstreams: the other upstream can have it once the idle one is closed.
        try (SidecarFixture testbed = new SidecarFixture(4, answer("200 OK", "0"), answer("200 OK", "1"))) {
            Socket client = testbed.connect();
            Set<String> servedBy = new HashSet<>();
            for (int i = 0; i < 40; i++) {
                Message response = SidecarFixture.exchange(client, SidecarFixture.issueRequest("q" + i, 900));
                assertEquals(200, response.status());
                servedBy.add(new String(response.body(), ISO_8859_1));
            }
            assertEquals(Set.of("0", "1"), servedBy);
        }
    }

    @Test
    void theSocketOfACancelledAttemptIsReleasedEvenIfTheUpstreamKeepsItsEndOpen() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(4, SILENT, SILENT)) {
            Socket first = testbed.connect();
            first.getOutputStream().write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
            while (testbed.receivedCount() == 0) {
                Thread.onSpinWait();
            }
            first.close();
            int attempted = testbed.upstreams.get(0).received.isEmpty() ? 1 : 0;
            assertNotNull(testbed.upstreams.get(attempted).closed.poll(5, TimeUnit.SECONDS));
            for (ScriptedServer upstream : testbed.upstreams) {
                upstream.script = answer("200 OK", "u");
            }
            assertEquals(
                    200, testbed.exchange(SidecarFixture.issueRequest("b", 900)).status());
        }
    }

    // ---- Requests ---------------------------------------------------------------------------------------

    @Test
    void malformedRequestsAreRejectedAndNeverForwarded() throws Exception {
        String good = SidecarFixture.requestHead("GET /read/x", "id", "read", 500);
        List<String> malformed = List.of(
                "nonsense\r\n\r\n",
                good.replace("X-Trace-Id: id\r\n", "") + "\r\n",
                good + "X-Trace-Id: id2\r\n\r\n",
                good.replace("X-Qos: read", "X-Qos: other") + "\r\n",
                good.replace("X-Qos: read\r\n", "") + "\r\n",
                good.replace("/read/", "/save/") + "\r\n",
                good.replace("acme", "nobody") + "\r\n",
                good.replace("X-Expires-In-Ms: 500\r\n", "") + "\r\n",
                good.replace("500", "soon") + "\r\n",
                good.replace("500", "-5") + "\r\n",
                good.replace("500", "0") + "\r\n",
                good.replace("500", "99999999999") + "\r\n",
                good.replace("GET", "POST") + "Content-Length: 0\r\n\r\n",
                good + "Content-Length: 2\r\n\r\nhi",
                SidecarFixture.requestHead("POST /save/x", "id", "save", 500) + "Content-Length: 0\r\n\r\n",
                SidecarFixture.requestHead("POST /issue/x", "id", "issue", 500) + "Content-Length: 37748737\r\n\r\n",
                SidecarFixture.requestHead("POST /issue/x", "id", "issue", 500) + "Content-Length: 2000000000\r\n\r\n",
                SidecarFixture.requestHead("POST /issue/x", "id", "issue", 500) + "Content-Length: x\r\n\r\n",
                good.replace("X-Qos: read", "X-Qos:\r\n read") + "\r\n");
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            for (String request : malformed) {
                int status = testbed.exchange(request).status();
                assertTrue(status >= 400 && status < 500 && status != 429, status + " in response to " + request);
            }
            assertEquals(200, testbed.exchange(good + "\r\n").status());
            assertEquals(1, testbed.receivedCount());
        }
    }

    @Test
    void aClientThatLeavesCancelsItsAttempt() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT)) {
            Socket client = testbed.connect();
            client.getOutputStream().write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
            testbed.upstreams.get(0).next();
            client.close();
            assertNotNull(testbed.upstreams.get(0).closed.poll(800, TimeUnit.MILLISECONDS));
        }
    }

    @Test
    void pipelinedRequestsAreAllServed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            Socket client = testbed.connect();
            client.getOutputStream()
                    .write((SidecarFixture.readRequest("a", 900) + SidecarFixture.readRequest("b", 900))
                            .getBytes(ISO_8859_1));
            assertEquals(200, Message.read(client.getInputStream()).status());
            assertEquals(200, Message.read(client.getInputStream()).status());
            assertEquals(2, testbed.receivedCount());
            String both = SidecarFixture.issueRequest("c", 900) + SidecarFixture.issueRequest("d", 900);
            client.getOutputStream().write(both.getBytes(ISO_8859_1));
            assertEquals(200, Message.read(client.getInputStream()).status());
            assertEquals(200, Message.read(client.getInputStream()).status());
            assertEquals(4, testbed.receivedCount());
        }
    }

    @Test
    void aDrainServesOpenConnectionsUntilItsTimeIsUpAndThenClosesThem() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            testbed.connect();
            Socket open = testbed.connect();
            assertEquals(
                    200,
                    SidecarFixture.exchange(open, SidecarFixture.readRequest("a", 900))
                            .status());
            long start = System.nanoTime();
            Thread drain = new Thread(testbed.sidecar::drain);
            drain.start();
            while (testbed.exchange("GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status() != 503) {
                Thread.onSpinWait();
            }
            Message early = testbed.exchange(SidecarFixture.readRequest("b", 900));
            assertEquals(200, early.status());
            long acceptDeadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
            while (accepts(testbed)) {
                assertTrue(System.nanoTime() < acceptDeadline, "new connections are still accepted");
                Thread.sleep(20);
            }
            assertTrue(System.nanoTime() - start > 0.5e9, "new connections are refused too early");
            Message late = SidecarFixture.exchange(open, SidecarFixture.readRequest("c", 900));
            assertEquals(200, late.status());
            assertNull(late.header("Connection"));
            ScriptedServer upstream = testbed.upstreams.get(0);
            upstream.script = SILENT;
            // The longest deadline is 1 s, so SIGKILL may follow SIGTERM after 1.7 s: the response must come before.
            Thread.sleep(300);
            assertEquals(
                    502,
                    SidecarFixture.exchange(open, SidecarFixture.issueRequest("d", 2000))
                            .status());
            assertTrue(System.nanoTime() - start < 1.7e9, "answered after the time of SIGKILL");
            drain.join();
            assertTrue(System.nanoTime() - start < 1.8e9, "the drain ended late");
            for (Socket client : testbed.clients) {
                assertTrue(client.isClosed() || client.getInputStream().read() < 0, "a client is left connected");
            }
        }
    }

    /** Guards against a drain that lasts for the whole of a deadline over 3 s, past SIGKILL. */
    @Test
    void withLongDeadlinesADrainStillAnswersBeforeSigkill() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(
                1024, "{}", config -> config.replace("limit-us\":1000000", "limit-us\":6000000"), SILENT)) {
            Socket open = testbed.connect();
            long start = System.nanoTime();
            Thread drain = new Thread(testbed.sidecar::drain);
            drain.start();
            while (SidecarFixture.exchange(open, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                            .status()
                    != 503) {
                Thread.onSpinWait();
            }
            assertEquals(
                    502,
                    SidecarFixture.exchange(open, SidecarFixture.issueRequest("a", 5500))
                            .status());
            assertTrue(System.nanoTime() - start < 3.7e9, "answered after SIGKILL");
            drain.join();
        }
    }

    @Test
    void aDrainEndsOnceAllClientsHaveLeft() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            assertEquals(
                    200, testbed.exchange(SidecarFixture.readRequest("a", 900)).status());
            testbed.clients.get(0).close();
            long start = System.nanoTime();
            testbed.sidecar.drain();
            assertTrue(System.nanoTime() - start < 1.2e9, "the drain goes on without clients");
        }
    }

    /** Whether the sidecar accepts new connections. */
    private static boolean accepts(SidecarFixture testbed) throws Exception {
        try {
            testbed.connect().close();
            return true;
        } catch (ConnectException e) {
            return false;
        }
    }

    // ---- Clients that use up connections ----------------------------------------------------------------

    @Test
    void silentConnectionsAreClosedAndDoNotLockOutOtherClients() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(64, answer("200 OK", "u"))) {
            long start = System.nanoTime();
            List<Socket> silent = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                silent.add(testbed.connect());
            }
            assertEquals(
                    200, testbed.exchange(SidecarFixture.readRequest("a", 900)).status());
            assertTrue(
                    System.nanoTime() - start < 1.5e9,
                    "seconds that another client was locked out: " + (System.nanoTime() - start) / 1e9);
            for (Socket client : silent) {
                assertEquals(-1, client.getInputStream().read());
            }
            assertTrue(
                    System.nanoTime() - start < 3e9,
                    "seconds until all silent connections were closed: " + (System.nanoTime() - start) / 1e9);
        }
    }

    @Test
    void incompleteHeadsAndBodiesAreCutOffWithinThreeSeconds() throws Exception {
        String head = SidecarFixture.requestHead("POST /issue/x", "id", "issue", 500);
        List<String> incomplete = List.of(
                "GET /read/x HT",
                head,
                head + "Content-Length: 9\r\n\r\nhalf",
                head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
                "");
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            long start = System.nanoTime();
            List<Socket> clients = new ArrayList<>();
            for (String bytes : incomplete) {
                clients.add(testbed.connect());
                clients.get(clients.size() - 1).getOutputStream().write(bytes.getBytes(ISO_8859_1));
            }
            for (Socket client : clients) {
                Message response = Message.read(client.getInputStream());
                assertTrue(response == null || response.status() >= 400, "got " + response);
            }
            assertTrue(
                    System.nanoTime() - start < 3e9,
                    "seconds until all were cut off: " + (System.nanoTime() - start) / 1e9);
            assertEquals(0, testbed.receivedCount());
        }
    }

    @Test
    void aRequestWithAmbiguousFramingOrATooLongBodyEndsItsConnection() throws Exception {
        String smuggled = SidecarFixture.readRequest("hidden", 900);
        String head = SidecarFixture.requestHead("POST /issue/x", "id", "issue", 500);
        List<String> requests = List.of(
                head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
                head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi" + smuggled,
                head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
                head + "Transfer-Encoding: identity, chunked\r\n\r\n0\r\n\r\n" + smuggled,
                head + "Content-Length: -2\r\n\r\n" + smuggled,
                head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n" + smuggled,
                head + "Transfer-Encoding: chunked\r\n\r\n2\r\nhihi\r\n0\r\n\r\n" + smuggled,
                head + "Content-Length: 60000000\r\n\r\n" + smuggled);
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            for (String request : requests) {
                Socket client = testbed.connect();
                long start = System.nanoTime();
                Message response = SidecarFixture.exchange(client, request);
                int status = response == null ? 400 : response.status();
                assertTrue(status >= 400 && status < 500 && status != 429, status + " in response to " + request);
                try {
                    assertEquals(-1, client.getInputStream().read(), "the connection stays open after " + request);
                } catch (SocketException e) {
                    // Reset: closed as well.
                }
                assertTrue(System.nanoTime() - start < 1e9, "closed late after " + request);
            }
            assertEquals(0, testbed.receivedCount());
        }
    }

    @Test
    void aRequestWithTheIdOfAnOpenOneIsRejectedAndTheOpenOneIsServed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT)) {
            Socket first = testbed.connect();
            first.getOutputStream().write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
            testbed.upstreams.get(0).next();
            assertEquals(
                    409, testbed.exchange(SidecarFixture.issueRequest("a", 900)).status());
            answer("200 OK", "u").run(null, testbed.upstreams.get(0).accepted.get(0));
            assertEquals(200, Message.read(first.getInputStream()).status());
        }
    }

    // ---- Connections to upstreams -----------------------------------------------------------------------

    @Test
    void anIdleUpstreamConnectionIsReusedAndClosedWellBeforeTheUpstreamWouldCloseIt() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            ScriptedServer upstream = testbed.upstreams.get(0);
            for (int i = 0; i < 5; i++) {
                assertEquals(
                        200,
                        testbed.exchange(SidecarFixture.readRequest("q" + i, 900))
                                .status());
                // A connection is not reused within 10 ms.
                Thread.sleep(20);
            }
            assertEquals(1, upstream.accepted.size());
            long idleSince = System.nanoTime();
            assertNotNull(upstream.closed.poll(5, TimeUnit.SECONDS));
            double idleSeconds = (System.nanoTime() - idleSince) / 1e9;
            assertTrue(idleSeconds > 0.3 && idleSeconds < 0.9, "closed after idle seconds: " + idleSeconds);
        }
    }

    @Test
    void anIdleConnectionThatTheUpstreamClosedIsNotUsed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK\r\nConnection: close", "u"))) {
            for (int i = 0; i < 3; i++) {
                assertEquals(
                        200,
                        testbed.exchange(SidecarFixture.issueRequest("q" + i, 900))
                                .status());
            }
            assertEquals(3, testbed.upstreams.get(0).accepted.size());
        }
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            ScriptedServer upstream = testbed.upstreams.get(0);
            assertEquals(
                    200, testbed.exchange(SidecarFixture.issueRequest("a", 900)).status());
            upstream.accepted.get(0).shutdownOutput();
            assertNotNull(
                    upstream.closed.poll(300, TimeUnit.MILLISECONDS), "a connection that the upstream closed is kept");
            assertEquals(
                    200, testbed.exchange(SidecarFixture.issueRequest("b", 900)).status());
        }
    }

    // ---- The endpoint list ------------------------------------------------------------------------------

    @Test
    void theWatchIsRenewedAtOnceAndAnUpstreamMayChangeItsAddress() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "old"));
                ScriptedServer moved = new ScriptedServer(answer("200 OK", "new"))) {
            assertEquals(
                    "old",
                    new String(
                            testbed.exchange(SidecarFixture.readRequest("a", 900))
                                    .body(),
                            ISO_8859_1));
            String target = testbed.discovery.next().startLine();
            assertTrue(target.startsWith("GET /discovery/hosts?index=7&wait="), target);
            testbed.discovery.script = SILENT;
            String row = SidecarFixture.endpointRow("s-0", moved.address(), "SERVING");
            answer("200 OK", "{\"seq\":9,\"whole\":false,\"hosts\":[" + row + "]}")
                    .run(null, testbed.discovery.accepted.get(0));
            assertTrue(testbed.discovery.next().startLine().startsWith("GET /discovery/hosts?index=9&wait="));
            assertEquals(
                    "new",
                    new String(
                            testbed.exchange(SidecarFixture.readRequest("b", 900))
                                    .body(),
                            ISO_8859_1));
            assertEquals(1, testbed.discovery.accepted.size());
        }
    }

    @Test
    void aDrainingUpstreamGetsNoMoreRequests() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "0"), answer("200 OK", "1"))) {
            testbed.discovery.next();
            answer("200 OK", "{\"seq\":9,\"whole\":false,\"hosts\":[" + testbed.endpointRow(0, "DRAINING") + "]}")
                    .run(null, testbed.discovery.accepted.get(0));
            testbed.discovery.next();
            for (int i = 0; i < 20; i++) {
                assertEquals(
                        "1",
                        new String(
                                testbed.exchange(SidecarFixture.readRequest("q" + i, 900))
                                        .body(),
                                ISO_8859_1));
            }
        }
    }

    @Test
    void connectionsToARemovedEndpointAreClosedAndNotUsedForAnotherAtItsAddress() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            ScriptedServer upstream = testbed.upstreams.get(0);
            assertEquals(
                    200, testbed.exchange(SidecarFixture.readRequest("a", 900)).status());
            testbed.discovery.next();
            String row = SidecarFixture.endpointRow("s-other", upstream.address(), "SERVING");
            answer("200 OK", "{\"seq\":9,\"whole\":true,\"hosts\":[" + row + "]}")
                    .run(null, testbed.discovery.accepted.get(0));
            assertNotNull(
                    upstream.closed.poll(300, TimeUnit.MILLISECONDS), "a connection to a removed endpoint is kept");
            assertEquals(
                    200, testbed.exchange(SidecarFixture.readRequest("b", 900)).status());
            assertEquals(2, upstream.accepted.size());
        }
    }

    @Test
    void afterAMalformedEndpointListTheOldOneStaysAndDiscoveryIsPolledAgain() throws Exception {
        List<String> malformed = List.of(
                "[]",
                "{",
                "{\"seq\":9,\"hosts\":[{\"host\":\"x\",\"health\":\"SERVING\",\"dial\":\"name:80\"}]}",
                "{\"seq\":\"9\",\"hosts\":[]}",
                "{\"hosts\":7}");
        for (String list : malformed) {
            try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
                testbed.discovery.next();
                answer("200 OK", list).run(null, testbed.discovery.accepted.get(0));
                assertTrue(testbed.discovery.next().startLine().contains("index=7"), list);
                assertEquals(
                        200,
                        testbed.exchange(SidecarFixture.readRequest("a", 900)).status());
            }
        }
    }

    @Test
    void eachConfigurationReloadMovesTheWatchToTheNewAddressAtOnce() throws Exception {
        String list = "{\"seq\":3,\"whole\":true,\"hosts\":[]}";
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"));
                ScriptedServer second = new ScriptedServer(SILENT)) {
            assertTrue(testbed.discovery.next().startLine().contains("index=7"));
            testbed.reload(second.address());
            assertEquals("GET /discovery/hosts HTTP/1.1", second.next().startLine());
            assertNotNull(
                    testbed.discovery.closed.poll(1, TimeUnit.SECONDS), "the connection to the old address stays open");
            assertEquals(
                    200, testbed.exchange(SidecarFixture.readRequest("a", 900)).status());
            answer("200 OK", list).run(null, second.accepted.get(0));
            assertTrue(second.next().startLine().contains("index=3"));
            assertEquals(
                    429, testbed.exchange(SidecarFixture.readRequest("b", 900)).status());
            testbed.reload(testbed.discovery.address());
            assertEquals(
                    "GET /discovery/hosts HTTP/1.1", testbed.discovery.next().startLine());
            assertNotNull(second.closed.poll(1, TimeUnit.SECONDS), "the connection to the second address stays open");
        }
    }

    @Test
    void sighupReloadsTheConfigurationAndAMalformedFileChangesNothing() throws Exception {
        Path file = Files.createTempFile("portrelay", ".json");
        try (ScriptedServer first = new ScriptedServer(SILENT);
                ScriptedServer second = new ScriptedServer(SILENT)) {
            String emptyList = "{\"seq\":1,\"hosts\":[]}";
            Files.writeString(file, SidecarFixture.config(first.address(), emptyList, 1024));
            Process serve = new ProcessBuilder(
                            Path.of(System.getProperty("java.home"), "bin", "java")
                                    .toString(),
                            "-cp",
                            System.getProperty("java.class.path"),
                            "portrelay.cli.Main",
                            "serve",
                            "--config",
                            file.toString())
                    .redirectErrorStream(true)
                    .start();
            try (var log = serve.inputReader()) {
                awaitLine(log, "ready");
                Files.writeString(file, "{");
                new ProcessBuilder("kill", "-HUP", "" + serve.pid()).start().waitFor();
                awaitLine(log, "configuration reload failed, the old one stays");
                Files.writeString(file, SidecarFixture.config(second.address(), emptyList, 1024));
                new ProcessBuilder("kill", "-HUP", "" + serve.pid()).start().waitFor();
                assertEquals("GET /discovery/hosts HTTP/1.1", second.next().startLine());
                assertTrue(serve.isAlive());
            } finally {
                serve.destroy();
                assertTrue(serve.waitFor(10, TimeUnit.SECONDS));
            }
        } finally {
            Files.delete(file);
        }
    }

    /** Reads the log up to a line with this text; fails at a line of the level fault. */
    private static void awaitLine(BufferedReader log, String text) throws Exception {
        for (String line = log.readLine(); !line.contains(text); line = log.readLine()) {
            assertFalse(line.contains("fault"), line);
        }
    }

    // ---- Configuration ----------------------------------------------------------------------------------

    @Test
    void anInvalidConfigurationIsReportedWithItsField() throws Exception {
        String good = SidecarFixture.config("127.0.0.1:1", "{\"seq\":1,\"hosts\":[]}", 1024);
        assertTrue(Sidecar.check(SidecarConfig.parse(good.getBytes(ISO_8859_1))));
        assertReportedField("listen", good.replace("127.0.0.1:0", "localhost:0"));
        assertReportedField("discovery", good.replace("127.0.0.1:1", "127.0.0.256:1"));
        assertReportedField("seed", good.replace("8c1f30d27a5be964", "xyz"));
        assertReportedField("known.seq", good.replace("\"seq\":1", "\"seq\":\"1\""));
        assertReportedField("settings.classes[1].effect", good.replace("idempotency_key", "who knows"));
        assertReportedField("settings.allowed", good.replace("\"allowed\"", "\"denied\""));
        assertReportedField("limits.sockets", good.replace("1024", "true"));
        assertReportedField("the whole", good + "}");
    }

    private static void assertReportedField(String field, String json) {
        InvalidSettingException e =
                assertThrows(InvalidSettingException.class, () -> SidecarConfig.parse(json.getBytes(ISO_8859_1)));
        assertTrue(e.getMessage().startsWith(field + ":"), e.getMessage());
        assertFalse(e.getMessage().contains("\n"));
    }
}
