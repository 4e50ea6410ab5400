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

/**
 * Races between attempts, connects and idle connections of one upstream, with a manual clock; see docs/crossings.md,
 * "Retries and hedges", "Connects" and "Idle connections".
 */
@Timeout(20)
class UpstreamCrossingsTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
    private static final AttemptId FIRST_ATTEMPT = new AttemptId(new RequestId("a 1"), 0);
    private static final AttemptId SECOND_ATTEMPT = new AttemptId(new RequestId("b 2"), 0);

    private record EndedAttempt(AttemptId id, Outcome outcome, String body) {}

    private final BlockingQueue<EndedAttempt> endedAttempts = new LinkedBlockingQueue<>();
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
        Log discardedLog = new Log(new PrintStream(OutputStream.nullOutputStream()), "t");
        UpstreamActor.Listener listener = (id, outcome, answer) -> endedAttempts.add(
                new EndedAttempt(id, outcome, answer == null ? null : new String(answer.body(), ISO_8859_1)));
        return new UpstreamActor(
                clock, discardedLog, connector, listener, 0.1, 1, new InetSocketAddress(LOOPBACK, port));
    }

    private IncomingRequest request(String id) {
        HeaderMap headers = new HeaderMap();
        headers.put(Headers.HOST, "app.svc");
        headers.put(WireNames.REQUEST_ID, id);
        IncomingRequest.Responder unusedResponder = new IncomingRequest.Responder() {
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
        double deadline = clock.now() + 1;
        RequestArrival arrival =
                new RequestArrival(new RequestId(id), new RequestClassId(0), null, null, deadline, Double.NaN, false);
        return new IncomingRequest(arrival, Methods.GET, "/read/x", headers, HttpCall.NO_BODY, null, unusedResponder);
    }

    private EndedAttempt nextEndedAttempt() throws InterruptedException {
        EndedAttempt attempt = endedAttempts.poll(5, TimeUnit.SECONDS);
        assertNotNull(attempt, "no attempt ended within 5 s");
        return attempt;
    }

    private int openConnections() throws Exception {
        AtomicInteger open = new AtomicInteger();
        BlockedEventLoop.runOn(clock, () -> open.set(connector.openCount()));
        return open.get();
    }

    /** Returns the events that make an upstream unusable: closed, draining, moved to another address, disabled. */
    private List<Runnable> unusableEvents(UpstreamActor actor, int port) {
        InetSocketAddress sameAddress = new InetSocketAddress(LOOPBACK, port);
        InetSocketAddress otherAddress = new InetSocketAddress(LOOPBACK, port == 9 ? 10 : 9);
        return List.of(
                actor::close,
                () -> actor.endpointUpdated(sameAddress, true),
                () -> actor.endpointUpdated(otherAddress, false),
                () -> actor.setDisabled(true));
    }

    /** Guards against an attempt to an actor that is already closed staying in flight until its deadline. */
    @Test
    void anAttemptToAnUnusableUpstreamEndsAtOnceAsNotExecuted() throws Exception {
        for (int i : new int[] {0, 1, 3}) {
            try (ScriptedServer upstream = new ScriptedServer(SILENT)) {
                UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
                Runnable makeUnusable = unusableEvents(actor, upstream.serverSocket.getLocalPort())
                        .get(i);
                BlockedEventLoop.runOn(clock, () -> {
                    makeUnusable.run();
                    actor.sendAttempt(FIRST_ATTEMPT, request("a"));
                });
                assertEquals(new EndedAttempt(FIRST_ATTEMPT, Outcome.CONNECT_FAILED, null), nextEndedAttempt());
                BlockedEventLoop.awaitPolls(clock);
                assertEquals(0, upstream.accepted.size());
                assertEquals(0, openConnections());
            }
        }
    }

    /** The connect is already in progress when the upstream becomes unusable. */
    @Test
    void aPendingConnectIsCancelledWhenItsUpstreamBecomesUnusable() throws Exception {
        for (int i = 0; i < 4; i++) {
            // Two connections fill the listen queue, so that a further connect stays pending.
            List<Socket> queueFillers = new ArrayList<>();
            try (ServerSocket fullServer = new ServerSocket(0, 1, LOOPBACK)) {
                queueFillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
                queueFillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
                UpstreamActor actor = actor(fullServer.getLocalPort());
                Runnable makeUnusable =
                        unusableEvents(actor, fullServer.getLocalPort()).get(i);
                BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(FIRST_ATTEMPT, request("a")));
                assertEquals(1, openConnections());
                BlockedEventLoop.runOn(clock, makeUnusable);
                assertEquals(new EndedAttempt(FIRST_ATTEMPT, Outcome.CONNECT_FAILED, null), nextEndedAttempt());
                assertEquals(0, openConnections());
            } finally {
                for (Socket filler : queueFillers) {
                    filler.close();
                }
            }
        }
    }

    /** The kernel opens the connection in the loop iteration in which the upstream becomes unusable. */
    @Test
    void aConnectionThatOpensAsItsUpstreamBecomesUnusableIsNotWrittenTo() throws Exception {
        for (int i = 0; i < 4; i++) {
            try (ServerSocket serverSocket = new ServerSocket(0, 5, LOOPBACK)) {
                UpstreamActor actor = actor(serverSocket.getLocalPort());
                Runnable makeUnusable =
                        unusableEvents(actor, serverSocket.getLocalPort()).get(i);
                BlockingQueue<Socket> acceptedSockets = new LinkedBlockingQueue<>();
                // The mailbox runs the connect first, then the second task.
                BlockedEventLoop.runOn(clock, () -> {
                    actor.sendAttempt(FIRST_ATTEMPT, request("a"));
                    clock.execute(() -> {
                        try {
                            acceptedSockets.add(serverSocket.accept());
                        } catch (Exception e) {
                            throw new AssertionError(e);
                        }
                        makeUnusable.run();
                    });
                });
                assertEquals(new EndedAttempt(FIRST_ATTEMPT, Outcome.CONNECT_FAILED, null), nextEndedAttempt());
                assertEquals(
                        -1,
                        acceptedSockets
                                .poll(5, TimeUnit.SECONDS)
                                .getInputStream()
                                .read(),
                        "the request was written to the unusable upstream");
                assertEquals(0, openConnections());
            }
        }
    }

    /** Guards against an upstream that answers a request twice, the second time after the next request was written. */
    @Test
    void aLateSecondAnswerIsNotGivenToTheNextRequest() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer((message, socket) -> {
            boolean first = "a".equals(message.header("X-Trace-Id"));
            answer("200 OK", first ? "first" : "second").run(message, socket);
        })) {
            UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(FIRST_ATTEMPT, request("a")));
            assertEquals(new EndedAttempt(FIRST_ATTEMPT, Outcome.SERVED, "first"), nextEndedAttempt());
            upstream.script = SILENT;
            BlockedEventLoop.runOn(clock, () -> {
                clock.advance(0.005);
                actor.sendAttempt(SECOND_ATTEMPT, request("b"));
            });
            upstream.next();
            upstream.next();
            // A second answer on the first connection, after the second request has been sent.
            answer("200 OK", "first").run(null, upstream.accepted.get(0));
            BlockedEventLoop.awaitPolls(clock);
            assertNull(endedAttempts.poll(), "the first request's extra answer was given to the second request");
            answer("200 OK", "second").run(null, upstream.accepted.get(1));
            assertEquals(new EndedAttempt(SECOND_ATTEMPT, Outcome.SERVED, "second"), nextEndedAttempt());
            // However long the connection was idle, the extra answer is not given to a later request either.
            upstream.accepted.get(1).close();
            BlockedEventLoop.awaitPolls(clock);
            upstream.script = answer("200 OK", "third");
            BlockedEventLoop.runOn(clock, () -> {
                clock.advance(0.02);
                actor.sendAttempt(FIRST_ATTEMPT, request("c"));
            });
            assertEquals(new EndedAttempt(FIRST_ATTEMPT, Outcome.SERVED, "third"), nextEndedAttempt());
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(1, openConnections(), "the connection that brought two answers is kept");
        }
    }

    /** Guards against a duplicate execution by a retry whose connect outlasts its deduplication window. */
    @Test
    void aRetryConnectedAfterItsDeduplicationWindowIsNotWritten() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> {
                actor.sendAttempt(FIRST_ATTEMPT, request("a"), clock.now() + 0.05);
                clock.execute(() -> clock.advance(0.06));
            });
            assertEquals(new EndedAttempt(FIRST_ATTEMPT, Outcome.NOT_SENT, null), nextEndedAttempt());
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(0, upstream.received.size());
        }
    }

    /** Idle connections are reused newest first. */
    @Test
    void anIdleConnectionIsReused() throws Exception {
        try (ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
            for (int i = 0; i < 5; i++) {
                BlockedEventLoop.runOn(clock, () -> {
                    clock.advance(0.02);
                    actor.sendAttempt(FIRST_ATTEMPT, request("a"));
                });
                nextEndedAttempt();
            }
            assertEquals(1, upstream.accepted.size());
        }
    }

    /** The loop has not read the upstream's close or reset when the next request is to be written. */
    @Test
    void anIdleConnectionWithAnUnreadCloseIsNotWrittenTo() throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            try (ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
                UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
                BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(FIRST_ATTEMPT, request("a")));
                nextEndedAttempt();
                BlockedEventLoop.runOn(clock, () -> clock.advance(0.02));
                Socket upstreamSocket = upstream.accepted.get(0);
                int localPort = upstreamSocket.getLocalPort();
                int remotePort = upstreamSocket.getPort();
                try (BlockedEventLoop blockedLoop = new BlockedEventLoop(clock)) {
                    upstreamSocket.setSoLinger(reset, 0);
                    upstreamSocket.close();
                    BlockedEventLoop.awaitClosed(upstreamSocket, localPort, remotePort);
                    // The attempt is in the mailbox before the loop polls the kernel.
                    actor.sendAttempt(SECOND_ATTEMPT, request("b"));
                    blockedLoop.release();
                }
                assertEquals(new EndedAttempt(SECOND_ATTEMPT, Outcome.SERVED, "u"), nextEndedAttempt());
                assertEquals(2, upstream.accepted.size());
                assertEquals(1, openConnections());
            }
        }
    }

    /** The answer is unread in the kernel while the cancel is in the mailbox. */
    @Test
    void aCancelThatRacesWithTheAnswerEndsTheAttemptOnce() throws Exception {
        for (boolean isCancelFirst : new boolean[] {true, false}) {
            try (ScriptedServer upstream = new ScriptedServer(SILENT)) {
                UpstreamActor actor = actor(upstream.serverSocket.getLocalPort());
                BlockedEventLoop.runOn(clock, () -> actor.sendAttempt(FIRST_ATTEMPT, request("a")));
                upstream.next();
                try (BlockedEventLoop blockedLoop = new BlockedEventLoop(clock)) {
                    Socket upstreamSocket = upstream.accepted.get(0);
                    answer("200 OK", "u").run(null, upstreamSocket);
                    BlockedEventLoop.awaitUnread(upstreamSocket, 10);
                    if (isCancelFirst) {
                        actor.cancelAttempt(FIRST_ATTEMPT, Outcome.TIMED_OUT);
                    } else {
                        clock.execute(
                                () -> clock.afterPoll(() -> actor.cancelAttempt(FIRST_ATTEMPT, Outcome.TIMED_OUT)));
                    }
                    blockedLoop.release();
                }
                assertEquals(isCancelFirst ? Outcome.TIMED_OUT : Outcome.SERVED, nextEndedAttempt().outcome);
                BlockedEventLoop.awaitPolls(clock);
                assertTrue(endedAttempts.isEmpty(), "the attempt ended twice");
                assertEquals(isCancelFirst ? 0 : 1, openConnections());
            }
        }
    }

    /** Covers connects that were refused, timed out or cancelled, closes by either side, and the connection limit. */
    @Test
    void theConnectionCountIsZeroOnceAllConnectionsAreClosed() throws Exception {
        int unusedPort;
        try (ServerSocket free = new ServerSocket(0, 1, LOOPBACK)) {
            unusedPort = free.getLocalPort();
        }
        UpstreamActor refusing = actor(unusedPort);
        BlockedEventLoop.runOn(clock, () -> refusing.sendAttempt(FIRST_ATTEMPT, request("a")));
        assertEquals(Outcome.CONNECT_FAILED, nextEndedAttempt().outcome);
        assertEquals(0, openConnections());
        // Two connections fill the listen queue, so that a further connect stays pending.
        List<Socket> queueFillers = new ArrayList<>();
        try (ServerSocket fullServer = new ServerSocket(0, 1, LOOPBACK);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            queueFillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
            queueFillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
            UpstreamActor hanging = actor(fullServer.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> hanging.sendAttempt(FIRST_ATTEMPT, request("a")));
            assertEquals(1, openConnections());
            BlockedEventLoop.runOn(clock, () -> clock.advance(0.2));
            assertEquals(Outcome.CONNECT_FAILED, nextEndedAttempt().outcome);
            assertEquals(0, openConnections());
            BlockedEventLoop.runOn(clock, () -> {
                hanging.sendAttempt(FIRST_ATTEMPT, request("a"));
                hanging.cancelAttempt(FIRST_ATTEMPT, Outcome.CANCELLED);
            });
            assertEquals(Outcome.CANCELLED, nextEndedAttempt().outcome);
            assertEquals(0, openConnections());
            UpstreamActor reachable = actor(upstream.serverSocket.getLocalPort());
            BlockedEventLoop.runOn(clock, () -> reachable.sendAttempt(FIRST_ATTEMPT, request("a")));
            nextEndedAttempt();
            assertEquals(1, openConnections());
            upstream.accepted.get(0).close();
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(0, openConnections());
            // Five at once; four are allowed.
            upstream.script = SILENT;
            for (int i = 0; i < 5; i++) {
                AttemptId attempt = new AttemptId(new RequestId("q" + i), 0);
                BlockedEventLoop.runOn(clock, () -> reachable.sendAttempt(attempt, request("q")));
            }
            assertEquals(Outcome.CONNECT_FAILED, nextEndedAttempt().outcome);
            assertEquals(4, openConnections());
            for (int i = 0; i < 5; i++) {
                AttemptId attempt = new AttemptId(new RequestId("q" + i), 0);
                BlockedEventLoop.runOn(clock, () -> reachable.cancelAttempt(attempt, Outcome.TIMED_OUT));
            }
            BlockedEventLoop.awaitPolls(clock);
            assertEquals(0, openConnections());
        } finally {
            for (Socket filler : queueFillers) {
                filler.close();
            }
        }
    }

    /** Runs in a complete sidecar. */
    @Test
    void aRequestThatWaitsForAConnectIsSentElsewhereWhenItsUpstreamDrains() throws Exception {
        // Two connections fill the listen queue, so that a further connect stays pending.
        List<Socket> queueFillers = new ArrayList<>();
        try (ServerSocket fullServer = new ServerSocket(0, 1, LOOPBACK);
                ScriptedServer other = new ScriptedServer(answer("200 OK", "other"));
                SidecarFixture fixture = new SidecarFixture(
                        1024, "{}", config -> config.replace("dial-timeout-us\":150000", "dial-timeout-us\":900000"))) {
            queueFillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
            queueFillers.add(new Socket(LOOPBACK, fullServer.getLocalPort()));
            String fullServerAddress = "127.0.0.1:" + fullServer.getLocalPort();
            fixture.discovery.next();
            String list = "{\"seq\":9,\"whole\":true,\"hosts\":["
                    + SidecarFixture.endpointRow("slow", fullServerAddress, "SERVING") + "]}";
            answer("200 OK", list).run(null, fixture.discovery.accepted.get(0));
            fixture.discovery.next();
            Socket client = fixture.connect();
            client.getOutputStream().write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
            AtomicInteger open = new AtomicInteger();
            while (open.get() == 0) {
                BlockedEventLoop.runOn(
                        fixture.sidecar.loop, () -> open.set(fixture.sidecar.upstreamConnector.openCount()));
            }
            String rows = SidecarFixture.endpointRow("slow", fullServerAddress, "DRAINING") + ","
                    + SidecarFixture.endpointRow("other", other.address(), "SERVING");
            answer("200 OK", "{\"seq\":10,\"whole\":false,\"hosts\":[" + rows + "]}")
                    .run(null, fixture.discovery.accepted.get(0));
            long start = System.nanoTime();
            Message response = Message.read(client.getInputStream());
            assertEquals("other", new String(response.body(), ISO_8859_1));
            assertTrue(
                    System.nanoTime() - start < 0.5e9, "the request waited for the connect to the draining upstream");
        } finally {
            for (Socket filler : queueFillers) {
                filler.close();
            }
        }
    }

    /** Guards against closing a connection at its idle timeout while a request on it is unread in the kernel. */
    @Test
    void anIdleClientConnectionIsReadBeforeItIsClosed() throws Exception {
        String admission = "{\"connections\":{\"idle-most-ms\":1000,\"send-within-ms\":1000,\"idle-least\":64}}";
        try (SidecarFixture fixture = new SidecarFixture(1024, admission, answer("200 OK", "u"))) {
            Socket idle = fixture.connect();
            Socket silent = fixture.connect();
            Socket partial = fixture.connect();
            assertEquals(
                    200,
                    SidecarFixture.exchange(idle, SidecarFixture.readRequest("a", 900))
                            .status());
            partial.getOutputStream()
                    .write(SidecarFixture.readRequest("h", 900).substring(0, 40).getBytes(ISO_8859_1));
            BlockedEventLoop.awaitPolls(fixture.sidecar.loop);
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(fixture.sidecar.loop)) {
                long start = System.nanoTime();
                idle.getOutputStream()
                        .write(SidecarFixture.readRequest("b", 900).getBytes(ISO_8859_1));
                silent.getOutputStream()
                        .write(SidecarFixture.readRequest("c", 900).getBytes(ISO_8859_1));
                partial.getOutputStream()
                        .write(SidecarFixture.readRequest("h", 900)
                                .substring(40)
                                .getBytes(ISO_8859_1));
                BlockedEventLoop.awaitUnread(
                        silent, SidecarFixture.readRequest("c", 900).length());
                while (System.nanoTime() - start < 1_300_000_000L) {
                    Thread.onSpinWait();
                }
                blockedLoop.release();
            }
            for (Socket client : List.of(idle, silent, partial)) {
                Message response = Message.read(client.getInputStream());
                assertNotNull(response, "the connection was closed with its request unread");
                assertEquals(200, response.status());
            }
            // The connection is closed once it is idle again.
            assertEquals(-1, idle.getInputStream().read());
        }
    }
}
