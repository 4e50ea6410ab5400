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

/** The steps of a graceful shutdown as clients see them; the longest deadline is 1 s. */
@Timeout(40)
class ShutdownNetTest {

    private static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: app.svc\r\n\r\n";
    /** More than the 16 idle connections that are never closed as surplus. */
    private static final int IDLE_CLIENT_COUNT = 40;

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

    /** Starts the shutdown as for a signal that many seconds ago. */
    private Thread drain(double secondsAgo) {
        long signalNanos = System.nanoTime() - (long) (secondsAgo * 1e9);
        Thread drain = new Thread(() -> sidecar.drain(signalNanos));
        drain.start();
        return drain;
    }

    /** Returns once the shutdown waits for the event loop or has ended. */
    private static void awaitPosted(Thread drain) {
        while (drain.getState() != Thread.State.TIMED_WAITING && drain.getState() != Thread.State.TERMINATED) {
            Thread.onSpinWait();
        }
    }

    private void awaitLogged(String text) {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!log.toString(ISO_8859_1).contains(text)) {
            assertTrue(System.nanoTime() < until, "no " + text + " in " + log.toString(ISO_8859_1));
            Thread.onSpinWait();
        }
    }

    /** Returns the first line of the log that contains the text. */
    private String firstLogLine(String text) {
        return log.toString(ISO_8859_1)
                .lines()
                .filter(each -> each.contains(text))
                .findFirst()
                .orElseThrow();
    }

    /** Guards against a budget that counts from when the sidecar was opened, up to 3 s after the signal. */
    @Test
    void theShutdownBudgetCountsFromTheSignal() throws Exception {
        try (Socket client = connect()) {
            write(client, SidecarFixture.issueRequest("a", 2000));
            upstream.next();
            long start = System.nanoTime();
            Thread drain = drain(1);
            Message response = Message.read(client.getInputStream());
            assertNotNull(response, "the request was lost");
            assertEquals(502, response.status());
            // SIGKILL follows in 0.7 s; the request has 1 s left.
            assertTrue(
                    System.nanoTime() - start < 0.55e9,
                    "answered only after seconds: " + (System.nanoTime() - start) / 1e9);
            drain.join();
            assertTrue(System.nanoTime() - start < 0.7e9, "the process outlives SIGKILL");
        }
    }

    /** Guards against an answer that closes its connection while the next request has been read and not answered. */
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
            for (String id : new String[] {"b", "c"}) {
                Message response = Message.read(client.getInputStream());
                assertNotNull(response, id + " is a pipelined request that was lost");
                assertEquals(429, response.status());
                assertEquals("0.25", response.header("Retry-After"));
            }
            assertNull(Message.read(client.getInputStream()));
            assertEquals(0, upstream.received.size(), "a request was forwarded with no time left");
            drain.join();
        }
    }

    @Test
    void aRequestCompletedAfterTheSidecarBeginsToRejectIsNotSent() throws Exception {
        try (Socket client = connect()) {
            String request = SidecarFixture.issueRequest("a", 900);
            write(client, request.substring(0, 40));
            BlockedEventLoop.awaitUnread(client, 0);
            Thread drain = drain(0.7);
            awaitLogged("rejecting new requests");
            write(client, request.substring(40));
            Message response = Message.read(client.getInputStream());
            assertNotNull(response, "the request was lost");
            assertEquals(429, response.status());
            assertEquals("close", response.header("Connection"));
            assertEquals(0, upstream.received.size());
            client.close();
            drain.join();
            String logged = log.toString(ISO_8859_1);
            assertTrue(logged.contains("rejected=1"), logged);
        }
    }

    /** Guards against an exit that leaves requests unread which arrived while the process was stopped. */
    @Test
    void requestsUnreadWhenTheBudgetEndsAreAnsweredBeforeTheExit() throws Exception {
        try (Socket client = connect()) {
            write(client, READINESS_REQUEST);
            assertEquals(200, Message.read(client.getInputStream()).status());
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(sidecar.loop)) {
                String request = SidecarFixture.issueRequest("a", 900);
                write(client, request);
                BlockedEventLoop.awaitUnread(client, request.length());
                // The process must end 1.6 s after the signal.
                awaitPosted(drain(1.65));
                blockedLoop.release();
            }
            assertEquals(429, Message.read(client.getInputStream()).status());
            awaitLogged("ended: ");
            String endLine = firstLogLine("ended: ");
            assertTrue(endLine.contains(" clients=0 "), endLine);
        }
    }

    /**
     * Guards against closing an idle connection just as its client sends the next request, at a time when the client
     * can no longer open another one.
     */
    @Test
    void idleConnectionsStayOpenUntilRequestsAreRejected() throws Exception {
        List<Socket> clients = new ArrayList<>();
        try (BlockedEventLoop blockedLoop = new BlockedEventLoop(sidecar.loop)) {
            for (int i = 0; i < IDLE_CLIENT_COUNT; i++) {
                clients.add(connect());
                write(clients.get(i), READINESS_REQUEST);
            }
            awaitPosted(drain(0));
            blockedLoop.release();
        }
        awaitLogged("rejecting new requests");
        String rejectionLine = firstLogLine("rejecting new requests");
        assertTrue(rejectionLine.contains(" clients=" + IDLE_CLIENT_COUNT + " "), rejectionLine);
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Guards against reading requests before the actors can forward or reject them. */
    @Test
    void theSidecarListensOnlyOnceItsActorsRun() {
        String logged = log.toString(ISO_8859_1);
        int actorsRun = logged.indexOf("endpoint list: ");
        int listening = logged.indexOf("listening: ");
        assertTrue(actorsRun >= 0 && actorsRun < listening, logged);
    }

    /** Guards against a deadline that counts from the answer to the previous request. */
    @Test
    void aPipelinedRequestsDeadlineCountsFromItsArrival() throws Exception {
        try (Socket client = connect()) {
            write(client, SidecarFixture.issueRequest("a", 700) + SidecarFixture.readRequest("b", 300));
            upstream.next();
            assertEquals(502, Message.read(client.getInputStream()).status());
            long start = System.nanoTime();
            assertEquals(429, Message.read(client.getInputStream()).status());
            assertTrue(System.nanoTime() - start < 0.2e9, "the deadline counted from the previous answer");
            assertEquals(0, upstream.received.size(), "the request was sent although its deadline had passed");
        }
    }
}
