package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.SILENT;
import static portrelay.net.SidecarFixture.answer;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.LogManager;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.ScriptedServer;
import portrelay.net.connection.Connector;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.HttpResult;
import portrelay.net.eventloop.Log;
import portrelay.net.http.WireNames;
import portrelay.net.upstream.AttemptId;
import portrelay.net.upstream.IncomingRequest;
import portrelay.net.upstream.UpstreamActor;

/** docs/crossings.md, "Retries and copies", "Dials" and "Idle connections": one upstream, a manual clock. */
@Timeout(20)
class UpstreamCrossingsTest {

    private static final InetAddress HOME = InetAddress.getLoopbackAddress();
    private static final AttemptId ONE = new AttemptId(new RequestId("a 1"), 0);
    private static final AttemptId TWO = new AttemptId(new RequestId("b 2"), 0);

    private record Ended(AttemptId id, Outcome outcome, String body) {}

    private final BlockingQueue<Ended> ended = new LinkedBlockingQueue<>();
    private XnioWorker worker;
    private ManualEventLoop clock;
    private Connector connector;

    @BeforeEach
    void open() throws Exception {
        LogManager.getLogManager().reset();
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        clock = new ManualEventLoop(worker.getIoThread());
        connector = new Connector(clock, new DefaultByteBufferPool(true, 16384), 4, n -> {});
    }

    @AfterEach
    void close() {
        worker.shutdownNow();
    }

    private UpstreamActor actor(int port) {
        Log none = new Log(new PrintStream(OutputStream.nullOutputStream()), "t");
        UpstreamActor.Listener tells = (id, outcome, answer) ->
                ended.add(new Ended(id, outcome, answer == null ? null : new String(answer.body(), ISO_8859_1)));
        return new UpstreamActor(clock, none, connector, tells, 0.1, 1, new InetSocketAddress(HOME, port));
    }

    private IncomingRequest request(String id) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "app.svc");
        headers.put(WireNames.REQUEST_ID, id);
        IncomingRequest.Responder nobody = new IncomingRequest.Responder() {
            @Override
            public boolean isOver() {
                return false;
            }

            @Override
            public void served(HttpResult answer) {
                throw new AssertionError();
            }

            @Override
            public void rejected(double retryAfter) {
                throw new AssertionError();
            }

            @Override
            public void failed() {
                throw new AssertionError();
            }
        };
        double cutOffAt = clock.now() + 1;
        RequestArrival arrival =
                new RequestArrival(new RequestId(id), new RequestClassId(0), null, null, cutOffAt, Double.NaN, false);
        return new IncomingRequest(arrival, Methods.GET, "/read/x", headers, HttpCall.NO_BODY, null, nobody);
    }

    private Ended next() throws InterruptedException {
        Ended next = ended.poll(5, TimeUnit.SECONDS);
        assertNotNull(next, "nothing ended");
        return next;
    }

    private int connections() throws Exception {
        AtomicInteger open = new AtomicInteger();
        BlockedEventLoop.runOn(clock, () -> open.set(connector.openCount()));
        return open.get();
    }

    /** Each event that makes an upstream unusable. */
    private List<Runnable> ends(UpstreamActor actor, int port) {
        InetSocketAddress same = new InetSocketAddress(HOME, port);
        InetSocketAddress other = new InetSocketAddress(HOME, port == 9 ? 10 : 9);
        return List.of(
                actor::close,
                () -> actor.endpointUpdated(same, true),
                () -> actor.endpointUpdated(other, false),
                () -> actor.setDisabled(true));
    }

    /** Guards against an attempt sent to an actor that is closed already: it stayed counted until its deadline. */
    @Test
    void anAttemptToAnUnusableUpstreamEndsAtOnceAsNotExecuted() throws Exception {
        for (int i : new int[] {0, 1, 3}) {
            try (ScriptedServer upstream = new ScriptedServer(SILENT)) {
                UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
                Runnable end = ends(actor, upstream.serverSocket.getLocalPort()).get(i);
                BlockedEventLoop.runOn(clock, () -> {
                    end.run();
                    actor.sendAttempt(ONE, request("a"));
                });
                assertEquals(new Ended(ONE, Outcome.CONNECT_FAILED, null), next());
                BlockedEventLoop.awaitPolls(clock);
                assertEquals(0, upstream.accepted.size());
                assertEquals(0, connections());
            }
        }
    }

    /** The other order: the connect is under way when the upstream becomes unusable. */
    @Test
    void aPendingConnectIsCancelledWhenItsUpstreamBecomesUnusable() throws Exception {
        for (int i = 0; i < 4; i++) {
            List<Socket> full = new ArrayList<>();
            try (ServerSocket slow = new ServerSocket(0, 1, HOME)) {
                full.add(new Socket(HOME, slow.getLocalPort()));
                full.add(new Socket(HOME, slow.getLocalPort()));
                UpstreamActor actor = actor(slow.getLocalPort());
                Runnable end = ends(actor, slow.getLocalPort()).get(i);
                BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(ONE, request("a")));
                assertEquals(1, connections());
                BlockedEventLoop.runOn(clock, end);
                assertEquals(new Ended(ONE, Outcome.CONNECT_FAILED, null), next());
                assertEquals(0, connections());
            } finally {
                for (Socket each : full) {
                    each.close();
                }
            }
        }
    }

    /** The connection is open in the kernel when the upstream becomes unusable, in one loop iteration. */
    @Test
    void aConnectionThatOpensAsItsUpstreamBecomesUnusableIsNotWrittenTo() throws Exception {
        for (int i = 0; i < 4; i++) {
            try (ServerSocket serverSocket = new ServerSocket(0, 5, HOME)) {
                UpstreamActor actor = actor(serverSocket.getLocalPort());
                Runnable end = ends(actor, serverSocket.getLocalPort()).get(i);
                BlockingQueue<Socket> up = new LinkedBlockingQueue<>();
                // The mailbox begins the connect first, then the second task runs.
                BlockedEventLoop.runOn(clock, () -> {
                    actor.sendAttempt(ONE, request("a"));
                    clock.execute(() -> {
                        try {
                            up.add(serverSocket.accept());
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                        end.run();
                    });
                });
                assertEquals(new Ended(ONE, Outcome.CONNECT_FAILED, null), next());
                assertEquals(-1, up.poll(5, TimeUnit.SECONDS).getInputStream().read(), "written to");
                assertEquals(0, connections());
            }
        }
    }

    /** Guards against an upstream that answers twice, the second time after the next request was written. */
    @Test
    void aLateSecondAnswerIsNotTakenForTheNextRequests() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((message, on) -> {
            boolean first = "a".equals(message.header("X-Trace-Id"));
            answer("200 OK", first ? "first" : "second").run(message, on);
        })) {
            UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(ONE, request("a")));
            assertEquals(new Ended(ONE, Outcome.SERVED, "first"), next());
            upstream.script = SILENT;
            BlockedEventLoop.runOn(clock, () -> {
                clock.advance(0.005);
                actor.sendAttempt(TWO, request("b"));
            });
            upstream.next();
            upstream.next();
            // On the first connection, behind its answer; the second request has been sent by now.
            answer("200 OK", "first").run(null, upstream.accepted.get(0));
            BlockedEventLoop.awaitPolls(clock);
            assertNull(ended.poll(), "another's answer was taken");
            answer("200 OK", "second").run(null, upstream.accepted.get(1));
            assertEquals(new Ended(TWO, Outcome.SERVED, "second"), next());
            // The extra answer is not taken for a later request's either, however long the connection was idle.
            upstream.accepted.get(1).close();
            BlockedEventLoop.awaitPolls(clock);
            upstream.script = answer("200 OK", "third");
            BlockedEventLoop.runOn(clock, () -> {
                clock.advance(0.02);
                actor.sendAttempt(ONE, request("c"));
            });
            assertEquals(new Ended(ONE, Outcome.SERVED, "third"), next());
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(1, connections(), "the one that brought two answers is held");
        }
    }

    /** Guards against a duplicate execution by a retry whose connect outlasted its deduplication window. */
    @Test
    void aRetryConnectedAfterItsDeduplicationWindowIsNotWritten() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> {
                actor.sendAttempt(ONE, request("a"), clock.now() + 0.05);
                clock.execute(() -> clock.advance(0.06));
            });
            assertEquals(new Ended(ONE, Outcome.NOT_SENT, null), next());
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(0, upstream.received.size());
        }
    }

    /** The newest first. */
    @Test
    void anIdleConnectionIsReused() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
            for (int i = 0; i < 5; i++) {
                BlockedEventLoop.runOn(clock, () -> {
                    clock.advance(0.02);
                    actor.sendAttempt(ONE, request("a"));
                });
                next();
            }
            assertEquals(1, upstream.accepted.size());
        }
    }

    /** A close or a reset that is unread when the next request is to be written. */
    @Test
    void anIdleConnectionWithAnUnreadCloseIsNotWrittenTo() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
                UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
                BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(ONE, request("a")));
                next();
                BlockedEventLoop.runOn(clock, () -> clock.advance(0.02));
                Socket to = upstream.accepted.get(0);
                int local = to.getLocalPort();
                int port = to.getPort();
                try (BlockedEventLoop held = new BlockedEventLoop(clock)) {
                    to.setSoLinger(reset, 0);
                    to.close();
                    BlockedEventLoop.awaitClosed(to, local, port);
                    // In the mailbox before the loop polls the kernel.
                    actor.sendAttempt(TWO, request("b"));
                    held.release();
                }
                assertEquals(new Ended(TWO, Outcome.SERVED, "u"), next());
                assertEquals(2, upstream.accepted.size());
                assertEquals(1, connections());
            }
        }
    }

    /** The answer is in the kernel when the cancel is in the mailbox. */
    @Test
    void aCancelAndAnAnswerThatCrossEndTheAttemptOnce() throws Exception {
        for (boolean stopFirst : new boolean[] {true, false}) {
            try (ScriptedServer upstream = new ScriptedServer(SILENT)) {
                UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
                BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(ONE, request("a")));
                upstream.next();
                try (BlockedEventLoop held = new BlockedEventLoop(clock)) {
                    Socket to = upstream.accepted.get(0);
                    answer("200 OK", "u").run(null, to);
                    BlockedEventLoop.awaitUnread(to, 10);
                    if (stopFirst) {
                        actor.cancelAttempt(ONE, Outcome.TIMED_OUT);
                    } else {
                        clock.execute(() -> clock.afterPoll(() -> actor.cancelAttempt(ONE, Outcome.TIMED_OUT)));
                    }
                    held.release();
                }
                assertEquals(stopFirst ? Outcome.TIMED_OUT : Outcome.SERVED, next().outcome);
                BlockedEventLoop.awaitPolls(clock);
                assertTrue(ended.isEmpty(), "ended twice");
                assertEquals(stopFirst ? 0 : 1, connections());
            }
        }
    }

    /** After a connect refused, timed out, cancelled, closed by either side, or without a free descriptor. */
    @Test
    void theConnectionCountIsZeroOnceAllAreClosed() throws Exception {
        int nobody;
        try (ServerSocket free = new ServerSocket(0, 1, HOME)) {
            nobody = free.getLocalPort();
        }
        UpstreamActor refused = actor(nobody);
        BlockedEventLoop.runOn(clock, () -> refused.sendAttempt(ONE, request("a")));
        assertEquals(Outcome.CONNECT_FAILED, next().outcome);
        assertEquals(0, connections());
        List<Socket> full = new ArrayList<>();
        try (ServerSocket slow = new ServerSocket(0, 1, HOME);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            full.add(new Socket(HOME, slow.getLocalPort()));
            full.add(new Socket(HOME, slow.getLocalPort()));
            UpstreamActor hangs = actor(slow.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> hangs.sendAttempt(ONE, request("a")));
            assertEquals(1, connections());
            BlockedEventLoop.runOn(clock, () -> clock.advance(0.2));
            assertEquals(Outcome.CONNECT_FAILED, next().outcome);
            assertEquals(0, connections());
            BlockedEventLoop.runOn(clock, () -> {
                hangs.sendAttempt(ONE, request("a"));
                hangs.cancelAttempt(ONE, Outcome.CANCELLED);
            });
            assertEquals(Outcome.CANCELLED, next().outcome);
            assertEquals(0, connections());
            UpstreamActor usual = actor(upstream.serverSocket.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> usual.sendAttempt(ONE, request("a")));
            next();
            assertEquals(1, connections());
            upstream.accepted.get(0).close();
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(0, connections());
            // Five at once, where four are allowed.
            upstream.script = SILENT;
            for (int i = 0; i < 5; i++) {
                AttemptId each = new AttemptId(new RequestId("q" + i), 0);
                BlockedEventLoop.runOn(clock, () -> usual.sendAttempt(each, request("q")));
            }
            assertEquals(Outcome.CONNECT_FAILED, next().outcome);
            assertEquals(4, connections());
            for (int i = 0; i < 5; i++) {
                AttemptId each = new AttemptId(new RequestId("q" + i), 0);
                BlockedEventLoop.runOn(clock, () -> usual.cancelAttempt(each, Outcome.TIMED_OUT));
            }
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(0, connections());
        } finally {
            for (Socket each : full) {
                each.close();
            }
        }
    }

    /** In a whole sidecar. */
    @Test
    void aRequestThatWaitsForAConnectIsSentElsewhereWhenItsUpstreamDrains() throws Exception {
        List<Socket> full = new ArrayList<>();
        try (ServerSocket slow = new ServerSocket(0, 1, HOME);
                ScriptedServer other = new ScriptedServer(answer("200 OK", "other"));
                SidecarFixture fixture = new SidecarFixture(
                        1024, "{}", config -> config.replace("dial-timeout-us\":150000", "dial-timeout-us\":900000"))) {
            full.add(new Socket(HOME, slow.getLocalPort()));
            full.add(new Socket(HOME, slow.getLocalPort()));
            String at = "127.0.0.1:" + slow.getLocalPort();
            fixture.discovery.next();
            String list =
                    "{\"seq\":9,\"whole\":true,\"hosts\":[" + SidecarFixture.endpointRow("slow", at, "SERVING") + "]}";
            answer("200 OK", list).run(null, fixture.discovery.accepted.get(0));
            fixture.discovery.next();
            Socket client = fixture.connect();
            client.getOutputStream().write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
            AtomicInteger open = new AtomicInteger();
            while (open.get() == 0) {
                BlockedEventLoop.runOn(
                        fixture.sidecar.loop, () -> open.set(fixture.sidecar.upstreamConnector.openCount()));
            }
            String rows = SidecarFixture.endpointRow("slow", at, "DRAINING") + ","
                    + SidecarFixture.endpointRow("other", other.address(), "SERVING");
            answer("200 OK", "{\"seq\":10,\"whole\":false,\"hosts\":[" + rows + "]}")
                    .run(null, fixture.discovery.accepted.get(0));
            long start = System.nanoTime();
            Message got = Message.read(client.getInputStream());
            assertEquals("other", new String(got.body(), ISO_8859_1));
            assertTrue(System.nanoTime() - start < 0.5e9, "waited for the connect");
        } finally {
            for (Socket each : full) {
                each.close();
            }
        }
    }

    /** A client's request is unread in the kernel when its connection has been idle for too long. */
    @Test
    void anIdleClientConnectionIsReadBeforeItIsClosed() throws Exception {
        String admission = "{\"connections\":{\"idle-most-ms\":1000,\"send-within-ms\":1000,\"idle-least\":64}}";
        try (SidecarFixture fixture = new SidecarFixture(1024, admission, answer("200 OK", "u"))) {
            Socket idle = fixture.connect();
            Socket silent = fixture.connect();
            Socket half = fixture.connect();
            assertEquals(
                    200,
                    SidecarFixture.exchange(idle, SidecarFixture.readRequest("a", 900))
                            .status());
            half.getOutputStream()
                    .write(SidecarFixture.readRequest("h", 900).substring(0, 40).getBytes(ISO_8859_1));
            BlockedEventLoop.awaitPolls(fixture.sidecar.loop);
            try (BlockedEventLoop held = new BlockedEventLoop(fixture.sidecar.loop)) {
                long start = System.nanoTime();
                idle.getOutputStream()
                        .write(SidecarFixture.readRequest("b", 900).getBytes(ISO_8859_1));
                silent.getOutputStream()
                        .write(SidecarFixture.readRequest("c", 900).getBytes(ISO_8859_1));
                half.getOutputStream()
                        .write(SidecarFixture.readRequest("h", 900)
                                .substring(40)
                                .getBytes(ISO_8859_1));
                BlockedEventLoop.awaitUnread(
                        silent, SidecarFixture.readRequest("c", 900).length());
                while (System.nanoTime() - start < 1_300_000_000L) {
                    Thread.onSpinWait();
                }
                held.release();
            }
            for (Socket each : List.of(idle, silent, half)) {
                Message got = Message.read(each.getInputStream());
                assertNotNull(got, "closed unread");
                assertEquals(200, got.status());
            }
            // A silent one is closed.
            assertEquals(-1, idle.getInputStream().read());
        }
    }
}
