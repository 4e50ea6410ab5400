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
 * Tests requests that a shutdown reads too late to forward them.
 *
 * <p>Each complete one is rejected without an attempt, and its connection is closed after the last one. The longest
 * deadline is 1 s, so that nothing is forwarded from 0.9 s after the signal on.
 */
@Timeout(40)
class LateRequestsNetTest {

    /** A time since the signal at which nothing is forwarded any more while idle connections are still open. */
    private static final double TOO_LATE_SECONDS = 1;
    /** Longer than a pause of the process may be, 0.15 s: a loop that is later than this is overloaded. */
    private static final double OVERLOAD_SECONDS = 0.3;

    private static final int CLIENT_COUNT = 60;
    private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    private static final String REJECTION =
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
        for (Socket client : clients) {
            client.close();
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

    /** Writes the bytes and returns once they are unread at the sidecar. */
    private static void write(Socket client, String bytes) throws Exception {
        client.getOutputStream().write(bytes.getBytes(ISO_8859_1));
        BlockedEventLoop.awaitUnread(client, bytes.length());
    }

    /**
     * Starts the shutdown for a signal of so many seconds ago; returns once its task is in the event loop's mailbox.
     */
    private void drain(double secondsSinceSignal) {
        long signalledAt = System.nanoTime() - (long) (secondsSinceSignal * 1e9);
        Thread drain = new Thread(() -> sidecar.drain(signalledAt));
        drain.setDaemon(true);
        drain.start();
        while (drain.getState() != Thread.State.TIMED_WAITING && drain.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
    }

    /** Returns all bytes until the connection ends. */
    private static String readAll(Socket client) throws Exception {
        return new String(client.getInputStream().readAllBytes(), ISO_8859_1);
    }

    private static Message readResponse(Socket client) throws Exception {
        Message response = Message.read(client.getInputStream());
        assertNotNull(response, "the connection ended without a response");
        return response;
    }

    private void assertNothingForwarded() {
        assertEquals(0, upstream.received.size(), "requests were forwarded");
    }

    @Test
    void lateRequestsInTheListenQueueAreRejectedUnsent() throws Exception {
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < CLIENT_COUNT; i++) {
                write(connect(), SidecarFixture.issueRequest("a" + i, 900));
            }
            drain(TOO_LATE_SECONDS);
            blocked.release();
        }
        for (Socket client : clients) {
            assertEquals(REJECTION, readAll(client));
        }
        assertNothingForwarded();
    }

    /** Undertow reads these connections, unlike those in the listen queue. */
    @Test
    void lateRequestsOnIdleConnectionsAreRejectedUnsent() throws Exception {
        for (int i = 0; i < CLIENT_COUNT; i++) {
            Socket client = connect();
            client.getOutputStream().write(READINESS_REQUEST.getBytes(ISO_8859_1));
            assertEquals(200, readResponse(client).status());
        }
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < CLIENT_COUNT; i++) {
                write(clients.get(i), SidecarFixture.issueRequest("a" + i, 900));
            }
            drain(TOO_LATE_SECONDS);
            blocked.release();
        }
        for (Socket client : clients) {
            assertEquals(REJECTION, readAll(client));
        }
        assertNothingForwarded();
    }

    @Test
    void lateRequestsInOneWriteAreAllRejected() throws Exception {
        Socket client = connect();
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            write(
                    client,
                    SidecarFixture.issueRequest("a", 900)
                            + SidecarFixture.readRequest("b", 900)
                            + SidecarFixture.issueRequest("c", 900));
            drain(TOO_LATE_SECONDS);
            blocked.release();
        }
        for (String connection : new String[] {null, null, "close"}) {
            Message rejected = readResponse(client);
            assertEquals(429, rejected.status());
            assertEquals(connection, rejected.header("Connection"));
        }
        assertNull(Message.read(client.getInputStream()));
        assertNothingForwarded();
    }

    /** Guards against closing a connection after half a request whose rest is on its way. */
    @Test
    void anIncompleteLateRequestIsRejectedOnceItIsComplete() throws Exception {
        Socket client = connect();
        String second = SidecarFixture.readRequest("b", 900);
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            write(client, SidecarFixture.issueRequest("a", 900) + second.substring(0, 30));
            drain(TOO_LATE_SECONDS);
            blocked.release();
        }
        Message rejected = readResponse(client);
        assertEquals(429, rejected.status());
        assertNull(rejected.header("Connection"));
        client.getOutputStream().write(second.substring(30).getBytes(ISO_8859_1));
        assertEquals(REJECTION, readAll(client));
        assertNothingForwarded();
    }

    /** The client may wait for a response before it sends the body, or read nothing until it has sent all of it. */
    @Test
    void aLateRequestWithALongBodyIsRejectedAtItsHeadAndReadToItsEnd() throws Exception {
        Socket waiting = connect();
        Socket sending = connect();
        String head =
                "POST /issue/x HTTP/1.1\r\nHost: a\r\nX-Trace-Id: a\r\nX-Qos: issue\r\nContent-Length: 2000000\r\n";
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            write(waiting, head + "Expect: 100-continue\r\n\r\n");
            write(sending, head + "\r\n");
            drain(TOO_LATE_SECONDS);
            blocked.release();
        }
        assertEquals(429, readResponse(waiting).status());
        sending.getOutputStream().write(new byte[2_000_000]);
        assertEquals(REJECTION, readAll(sending));
        assertNothingForwarded();
    }

    @Test
    void lateReadinessAndMalformedRequestsGetTheirUsualResponses() throws Exception {
        Socket readiness = connect();
        Socket malformed = connect();
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            write(readiness, READINESS_REQUEST);
            write(
                    malformed,
                    SidecarFixture.issueRequest("a", 900)
                            + "POST /x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n");
            drain(TOO_LATE_SECONDS);
            blocked.release();
        }
        assertEquals(503, readResponse(readiness).status());
        assertEquals(429, readResponse(malformed).status());
        Message last = readResponse(malformed);
        assertTrue(last.status() == 400 || last.status() == 429, "status " + last.status());
        assertEquals("close", last.header("Connection"));
        assertNothingForwarded();
    }

    /**
     * Forwarding costs many times what a rejection costs. Guards against forwarding while the rest of the requests
     * can't be read before the process is killed.
     */
    @Test
    void anOverloadedEventLoopForwardsNothingMoreInAShutdown() throws Exception {
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            drain(0);
            blocked.release();
        }
        BlockedEventLoop.awaitPolls(sidecar.loop);
        try (BlockedEventLoop blocked = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < CLIENT_COUNT; i++) {
                write(connect(), SidecarFixture.issueRequest("a" + i, 900));
            }
            double end = sidecar.loop.now() + OVERLOAD_SECONDS;
            while (sidecar.loop.now() < end) {
                Thread.onSpinWait();
            }
            blocked.release();
        }
        for (Socket client : clients) {
            assertEquals(REJECTION, readAll(client));
        }
        assertNothingForwarded();
    }
}
