package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.SILENT;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.ScriptedServer;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/**
 * Requests that a shutdown reads too late to forward them: each complete one is rejected unsent and its connection ends
 * with the last. The longest deadline is 1 s, so that nothing is forwarded from 0.9 s after the signal on.
 */
@Timeout(40)
class LateRequestsNetTest {

    /** Seconds since the signal at which nothing is forwarded, and idle connections are still open. */
    private static final double TOO_LATE = 1;
    /** More than a hold explains, which may last 0.15 s. */
    private static final double OVERLOAD_SECONDS = 0.3;

    private static final int CROWD = 60;
    private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    private static final String WHOLE_REJECTION =
            "HTTP/1.1 429 Too Many Requests\r\nConnection: close\r\nRetry-After: 0.25\r\nContent-Length: 0\r\n\r\n";

    private final List<Socket> clients = new ArrayList<>();
    private ScriptedServer discovery;
    private ScriptedServer upstream;
    private Sidecar sidecar;

    @BeforeEach
    void start() throws Exception {
        discovery = new ScriptedServer(SILENT);
        upstream = new ScriptedServer(SILENT);
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                + SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING") + "]}";
        SidecarConfig config = SidecarConfig.parse(
                SidecarFixture.config(discovery.address(), list, 512).getBytes(UTF_8));
        sidecar = Sidecar.start(config, new PrintStream(new ByteArrayOutputStream(), true));
    }

    @AfterEach
    void stop() throws Exception {
        for (Socket each : clients) {
            each.close();
        }
        sidecar.close();
        upstream.close();
        discovery.close();
    }

    private Socket connect() throws Exception {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(8000);
        client.setTcpNoDelay(true);
        clients.add(client);
        return client;
    }

    /** Writes the bytes and returns once they lie unread at the sidecar. */
    private static void write(Socket client, String bytes) throws Exception {
        client.getOutputStream().write(bytes.getBytes(ISO_8859_1));
        BlockedEventLoop.awaitUnread(client, bytes.length());
    }

    /** Shuts down for a signal of so many seconds ago; returns once the loop has been told. */
    private void drain(double ago) {
        long signalledAt = System.nanoTime() - (long) (ago * 1e9);
        Thread drain = new Thread(() -> sidecar.drain(signalledAt));
        drain.setDaemon(true);
        drain.start();
        while (drain.getState() != Thread.State.TIMED_WAITING && drain.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
    }

    private static String all(Socket client) throws Exception {
        return new String(client.getInputStream().readAllBytes(), ISO_8859_1);
    }

    private static Message answer(Socket client) throws Exception {
        Message answer = Message.read(client.getInputStream());
        assertNotNull(answer, "lost");
        return answer;
    }

    private void assertNothingForwarded() {
        assertEquals(0, upstream.received.size(), "forwarded");
    }

    @Test
    void aCrowdInTheListenQueueIsRejectedUnsent() throws Exception {
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < CROWD; i++) {
                write(connect(), SidecarFixture.issueRequest("a" + i, 900));
            }
            drain(TOO_LATE);
            held.release();
        }
        for (Socket each : clients) {
            assertEquals(WHOLE_REJECTION, all(each));
        }
        assertNothingForwarded();
    }

    /** On connections that Undertow reads, unlike those in the listen queue. */
    @Test
    void requestsOnIdleConnectionsAreRejectedUnsent() throws Exception {
        for (int i = 0; i < CROWD; i++) {
            Socket client = connect();
            client.getOutputStream().write(READINESS_REQUEST.getBytes(ISO_8859_1));
            assertEquals(200, answer(client).status());
        }
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < CROWD; i++) {
                write(clients.get(i), SidecarFixture.issueRequest("a" + i, 900));
            }
            drain(TOO_LATE);
            held.release();
        }
        for (Socket each : clients) {
            assertEquals(WHOLE_REJECTION, all(each));
        }
        assertNothingForwarded();
    }

    @Test
    void requestsInOneWriteAreAllRejected() throws Exception {
        Socket client = connect();
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            write(
                    client,
                    SidecarFixture.issueRequest("a", 900)
                            + SidecarFixture.readRequest("b", 900)
                            + SidecarFixture.issueRequest("c", 900));
            drain(TOO_LATE);
            held.release();
        }
        for (String connection : new String[] {null, null, "close"}) {
            Message rejected = answer(client);
            assertEquals(429, rejected.status());
            assertEquals(connection, rejected.header("Connection"));
        }
        assertNull(Message.read(client.getInputStream()));
        assertNothingForwarded();
    }

    /** Guards against a connection that ends with a request half read, whose rest was on its way. */
    @Test
    void aRequestThatHasBegunIsRejectedOnceItIsComplete() throws Exception {
        Socket client = connect();
        String second = SidecarFixture.readRequest("b", 900);
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            write(client, SidecarFixture.issueRequest("a", 900) + second.substring(0, 30));
            drain(TOO_LATE);
            held.release();
        }
        Message rejected = answer(client);
        assertEquals(429, rejected.status());
        assertNull(rejected.header("Connection"));
        client.getOutputStream().write(second.substring(30).getBytes(ISO_8859_1));
        assertEquals(WHOLE_REJECTION, all(client));
        assertNothingForwarded();
    }

    /** Its sender may wait for word before it sends the body, or read nothing before it has sent all of it. */
    @Test
    void aLongBodyIsRejectedAtItsHeadAndReadToItsEnd() throws Exception {
        Socket waits = connect();
        Socket sends = connect();
        String head =
                "POST /issue/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a\r\nX-Qos: issue\r\nContent-Length: 2000000\r\n";
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            write(waits, head + "Expect: 100-continue\r\n\r\n");
            write(sends, head + "\r\n");
            drain(TOO_LATE);
            held.release();
        }
        assertEquals(429, answer(waits).status());
        sends.getOutputStream().write(new byte[2_000_000]);
        assertEquals(WHOLE_REJECTION, all(sends));
        assertNothingForwarded();
    }

    @Test
    void readinessAndMalformedRequestsAreAnsweredAsSuch() throws Exception {
        Socket readiness = connect();
        Socket malformed = connect();
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            write(readiness, READINESS_REQUEST);
            write(
                    malformed,
                    SidecarFixture.issueRequest("a", 900)
                            + "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
            drain(TOO_LATE);
            held.release();
        }
        assertEquals(503, answer(readiness).status());
        assertEquals(429, answer(malformed).status());
        Message last = answer(malformed);
        assertTrue(last.status() == 400 || last.status() == 429, "status " + last.status());
        assertEquals("close", last.header("Connection"));
        assertNothingForwarded();
    }

    /** Guards against forwarding, at many times the cost of a rejection, while the rest can't be read by the kill. */
    @Test
    void aLoopThatIsLaterThanAHoldForwardsNothingMoreInAShutdown() throws Exception {
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            drain(0);
            held.release();
        }
        BlockedEventLoop.awaitPolls(sidecar.loop);
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < CROWD; i++) {
                write(connect(), SidecarFixture.issueRequest("a" + i, 900));
            }
            double until = sidecar.loop.now() + OVERLOAD_SECONDS;
            while (sidecar.loop.now() < until) {
                Thread.onSpinWait();
            }
            held.release();
        }
        for (Socket each : clients) {
            assertEquals(WHOLE_REJECTION, all(each));
        }
        assertNothingForwarded();
    }
}
