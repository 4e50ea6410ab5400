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

/** Each step of a graceful shutdown, as clients see it; the longest deadline is 1 s. */
@Timeout(40)
class ShutdownNetTest {

    private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    /** Of idle connections 16 are never surplus. */
    private static final int MORE_THAN_STAY_IDLE = 40;

    private final ByteArrayOutputStream log = new ByteArrayOutputStream();
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
        sidecar = Sidecar.start(config, new PrintStream(log, true));
    }

    @AfterEach
    void stop() throws Exception {
        sidecar.close();
        upstream.close();
        discovery.close();
    }

    private Socket connect() throws Exception {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(8000);
        client.setTcpNoDelay(true);
        return client;
    }

    private static void write(Socket client, String bytes) throws Exception {
        client.getOutputStream().write(bytes.getBytes(ISO_8859_1));
    }

    /** Shuts down for a signal of so many seconds ago. */
    private Thread drain(double ago) {
        long heardAt = System.nanoTime() - (long) (ago * 1e9);
        Thread drain = new Thread(() -> sidecar.drain(heardAt));
        drain.start();
        return drain;
    }

    /** Returns once the shutdown waits for the event loop, or has ended. */
    private static void awaitPosted(Thread drain) {
        while (drain.getState() != Thread.State.TIMED_WAITING && drain.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
    }

    private void awaitLogged(String what) {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!log.toString(ISO_8859_1).contains(what)) {
            assertTrue(System.nanoTime() < until, "no " + what + " in " + log.toString(ISO_8859_1));
            Thread.onSpinWait();
        }
    }

    /** The first line of the log that has this. */
    private String line(String what) {
        return log.toString(ISO_8859_1)
                .lines()
                .filter(each -> each.contains(what))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against counting from when the sidecar was opened, up to 3 s after the signal. */
    @Test
    void theShutdownBudgetCountsFromTheSignal() throws Exception {
        try (Socket client = connect()) {
            write(client, SidecarFixture.issueRequest("a", 2000));
            upstream.next();
            long start = System.nanoTime();
            Thread drain = drain(1);
            Message got = Message.read(client.getInputStream());
            assertNotNull(got, "lost");
            assertEquals(502, got.status());
            // Killed in 0.7 s; the request has 1 s left.
            assertTrue(System.nanoTime() - start < 0.55e9, "answered " + (System.nanoTime() - start) / 1e9);
            drain.join();
            assertTrue(System.nanoTime() - start < 0.7e9, "outlives the kill");
        }
    }

    /** Guards against an answer that closes its connection with the next request read and unanswered. */
    @Test
    void pipelinedRequestsAreAnsweredBeforeTheConnectionCloses() throws Exception {
        try (Socket client = connect()) {
            write(
                    client,
                    SidecarFixture.issueRequest("a", 900)
                            + SidecarFixture.issueRequest("b", 900)
                            + SidecarFixture.readRequest("c", 900));
            upstream.next();
            Thread drain = drain(0.8);
            assertEquals(502, Message.read(client.getInputStream()).status());
            for (String behind : new String[] {"b", "c"}) {
                Message got = Message.read(client.getInputStream());
                assertNotNull(got, behind + " is lost");
                assertEquals(429, got.status());
                assertEquals("0.25", got.header("Retry-After"));
            }
            assertNull(Message.read(client.getInputStream()));
            assertEquals(0, upstream.received.size(), "forwarded with no time left");
            drain.join();
        }
    }

    @Test
    void aRequestReadLateIsRejectedUnsent() throws Exception {
        try (Socket client = connect()) {
            String request = SidecarFixture.issueRequest("a", 900);
            write(client, request.substring(0, 40));
            BlockedEventLoop.awaitUnread(client, 0);
            Thread drain = drain(0.7);
            awaitLogged("rejecting new requests");
            write(client, request.substring(40));
            Message got = Message.read(client.getInputStream());
            assertNotNull(got, "lost");
            assertEquals(429, got.status());
            assertEquals("close", got.header("Connection"));
            assertEquals(0, upstream.received.size());
            client.close();
            drain.join();
            String logged = log.toString(ISO_8859_1);
            assertTrue(logged.contains("rejected=1"), logged);
        }
    }

    /** Guards against an exit with requests unread that came while the process was stopped. */
    @Test
    void whatLiesUnreadAsTheTimeIsOverIsAnsweredBeforeTheEnd() throws Exception {
        try (Socket client = connect()) {
            write(client, READINESS_REQUEST);
            assertEquals(200, Message.read(client.getInputStream()).status());
            try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
                String request = SidecarFixture.issueRequest("a", 900);
                write(client, request);
                BlockedEventLoop.awaitUnread(client, request.length());
                // The process is to end 1.6 s after the signal.
                awaitPosted(drain(1.65));
                held.release();
            }
            assertEquals(429, Message.read(client.getInputStream()).status());
            awaitLogged("ended: ");
            String ended = line("ended: ");
            assertTrue(ended.contains(" clients=0 "), ended);
        }
    }

    /** Guards against closing a connection, across its next request, that its client can't replace any more. */
    @Test
    void idleConnectionsStayOpenUntilRequestsAreRejected() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (BlockedEventLoop held = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < MORE_THAN_STAY_IDLE; i++) {
                clients.add(connect());
                write(clients.get(i), READINESS_REQUEST);
            }
            awaitPosted(drain(0));
            held.release();
        }
        awaitLogged("rejecting new requests");
        String rejecting = line("rejecting new requests");
        assertTrue(rejecting.contains(" clients=" + MORE_THAN_STAY_IDLE + " "), rejecting);
        for (Socket each : clients) {
            each.close();
        }
    }

    /** Guards against requests that are read while nothing can forward or reject them yet. */
    @Test
    void listensOnceTheActorsRun() {
        String logged = log.toString(ISO_8859_1);
        int actorsRun = logged.indexOf("endpoint list: ");
        int listening = logged.indexOf("listening: ");
        assertTrue(actorsRun >= 0 && actorsRun < listening, logged);
    }

    /** Guards against a deadline that counts from the answer to the request before. */
    @Test
    void thePipelinedRequestsDeadlineCountsFromItsArrival() throws Exception {
        try (Socket client = connect()) {
            write(client, SidecarFixture.issueRequest("a", 700) + SidecarFixture.readRequest("b", 300));
            upstream.next();
            assertEquals(502, Message.read(client.getInputStream()).status());
            long start = System.nanoTime();
            assertEquals(429, Message.read(client.getInputStream()).status());
            assertTrue(System.nanoTime() - start < 0.2e9, "waits once more");
            assertEquals(0, upstream.received.size(), "sent for a client whose time is over");
        }
    }
}
