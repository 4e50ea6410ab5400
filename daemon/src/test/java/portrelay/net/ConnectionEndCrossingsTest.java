package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.SILENT;
import static portrelay.net.SidecarFixture.answer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.ScriptedServer;
import portrelay.net.http.SocketAddresses;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.net.lifecycle.WarmUp;

/**
 * Requests, handovers and reloads that coincide with the shutdown of a process; see docs/crossings.md, "Shutdown" and
 * "Hand-overs".
 */
@Timeout(40)
class ConnectionEndCrossingsTest {

    /** A warm-up that outlasts every test. */
    private static final WarmUp.Length ENDLESS = new WarmUp.Length(Integer.MAX_VALUE, 60);

    @TempDir
    Path dir;

    private static Thread drain(Sidecar sidecar) {
        Thread drain = new Thread(sidecar::drain);
        drain.start();
        return drain;
    }

    /** Returns once the drain has posted its tasks to the loop and waits for them. */
    private static void awaitPosted(Thread drain) {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!Arrays.toString(drain.getStackTrace()).contains("CountDownLatch.await")) {
            assertTrue(System.nanoTime() < until, "the drain does not begin within 5 s");
            Thread.onSpinWait();
        }
    }

    private static double secondsSince(long start) {
        return (System.nanoTime() - start) / 1e9;
    }

    private static SidecarConfig config(ScriptedServer discovery, ScriptedServer upstream, String listen)
            throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                + SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING") + "]}";
        return SidecarConfig.parse(SidecarFixture.config(discovery.address(), list, 512)
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + listen + "\"")
                .getBytes(UTF_8));
    }

    private static Socket connect(InetSocketAddress to) throws IOException {
        Socket client = new Socket(to.getAddress(), to.getPort());
        client.setSoTimeout(8000);
        return client;
    }

    private static void awaitLogged(String text, ByteArrayOutputStream log) throws Exception {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!log.toString(ISO_8859_1).contains(text)) {
            assertTrue(System.nanoTime() < until, "no " + text + " in " + log.toString(ISO_8859_1));
            Thread.onSpinWait();
        }
    }

    // ---- Shutdown before the end of the warm-up ---------------------------------------------------------

    @Test
    void aShutdownDuringTheWarmUpAnswersTheOpenRequest() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(SILENT)) {
            Sidecar sidecar =
                    Sidecar.open(config(discovery, upstream, "127.0.0.1:0"), new PrintStream(log, true), null, ENDLESS);
            try (Socket client = connect(sidecar.address());
                    Socket readinessClient = connect(sidecar.address())) {
                client.getOutputStream()
                        .write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
                upstream.next();
                Thread drain = drain(sidecar);
                awaitLogged("draining", log);
                answer("200 OK", "u").run(null, upstream.accepted.get(0));
                assertEquals(200, Message.read(client.getInputStream()).status());
                assertEquals(
                        503,
                        SidecarFixture.exchange(readinessClient, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                                .status());
                client.close();
                readinessClient.close();
                drain.join();
                assertFalse(log.toString(ISO_8859_1).contains("ready: listen="), "logged that it is ready");
            } finally {
                sidecar.close();
            }
        }
    }

    /** The end of the warm-up and the drain are due in one iteration of the loop. */
    @Test
    void aWarmUpThatEndsDuringTheShutdownDoesNotReportReady() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(SILENT)) {
            Sidecar sidecar = Sidecar.open(
                    config(discovery, upstream, "127.0.0.1:0"),
                    new PrintStream(log, true),
                    dir,
                    new WarmUp.Length(Integer.MAX_VALUE, 2.5));
            long opened = System.nanoTime();
            Thread drain;
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(sidecar.loop)) {
                drain = drain(sidecar);
                awaitPosted(drain);
                while (secondsSince(opened) < 2.7) {
                    Thread.onSpinWait();
                }
                blockedLoop.release();
            }
            sidecar.awaitReady();
            drain.join();
            sidecar.close();
            String logged = log.toString(ISO_8859_1);
            assertTrue(logged.contains("draining") && !logged.contains("ready: listen="), logged);
        }
    }

    /** Guards against a shutdown hook that is added only after the warm-up; sends SIGTERM to a process of its own. */
    @Test
    void sigtermDuringTheWarmUpLosesNoRequest() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(SILENT);
                ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = free.getLocalPort();
            free.close();
            Path file = dir.resolve("config.json");
            String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                    + SidecarFixture.endpointRow("s-0", upstream.address(), "SERVING") + "]}";
            Files.writeString(
                    file,
                    SidecarFixture.config(discovery.address(), list, 512)
                            .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\""));
            String java =
                    Path.of(System.getProperty("java.home"), "bin", "java").toString();
            Process serve = new ProcessBuilder(
                            java,
                            "-Xint",
                            "-cp",
                            System.getProperty("java.class.path"),
                            "portrelay.cli.Main",
                            "serve",
                            "--config",
                            file.toString())
                    .redirectErrorStream(true)
                    .start();
            try (Socket client = connectOnceListening(port)) {
                client.setSoTimeout(8000);
                client.getOutputStream()
                        .write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
                upstream.next();
                new ProcessBuilder("kill", "-TERM", "" + serve.pid()).start().waitFor();
                Message response = Message.read(client.getInputStream());
                assertNotNull(response, "the request was lost at SIGTERM");
                assertEquals(502, response.status());
            } finally {
                assertTrue(serve.waitFor(10, TimeUnit.SECONDS), "the process does not end within 10 s");
            }
        }
    }

    private static Socket connectOnceListening(int port) throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                assertTrue(System.nanoTime() < until, "no process listens within 20 s");
                Thread.sleep(2);
            }
        }
    }

    // ---- The listen queue -------------------------------------------------------------------------------

    /** Guards against losing a request that is in the listen queue when the listener closes. */
    @Test
    void aClientInTheListenQueueWhenTheListenerClosesIsServed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            Socket open = testbed.connect();
            assertEquals(
                    200,
                    SidecarFixture.exchange(open, SidecarFixture.readRequest("first", 900))
                            .status());
            Thread drain;
            Socket late;
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(testbed.sidecar.loop)) {
                long start = System.nanoTime();
                drain = drain(testbed.sidecar);
                awaitPosted(drain);
                late = testbed.connect();
                late.getOutputStream()
                        .write(SidecarFixture.readRequest("late", 900).getBytes(ISO_8859_1));
                BlockedEventLoop.awaitUnread(
                        late, SidecarFixture.readRequest("late", 900).length());
                // The timer that closes the listener is due in the loop iteration that finds the connection.
                while (secondsSince(start) < 0.6) {
                    Thread.onSpinWait();
                }
                blockedLoop.release();
            }
            Message response = Message.read(late.getInputStream());
            assertNotNull(response, "the connection was closed with its request unread");
            assertEquals(200, response.status());
            late.close();
            open.close();
            drain.join();
        }
    }

    @Test
    void clientsInTheListenQueueAtAHandoverAreAnswered() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            PrintStream discardedLog = new PrintStream(OutputStream.nullOutputStream());
            Sidecar predecessor = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), discardedLog, dir);
            String address = SocketAddresses.format(predecessor.address());
            Sidecar successor = Sidecar.start(config(discovery, upstream, address), discardedLog, dir);
            List<Socket> clients = new ArrayList<>();
            Thread drain;
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(predecessor.loop)) {
                // The kernel distributes them over both processes.
                for (int i = 0; i < 40; i++) {
                    Socket client = connect(predecessor.address());
                    clients.add(client);
                    client.getOutputStream()
                            .write(SidecarFixture.readRequest("q" + i, 2000).getBytes(ISO_8859_1));
                }
                drain = drain(predecessor);
                awaitPosted(drain);
                blockedLoop.release();
            }
            for (Socket client : clients) {
                Message response = Message.read(client.getInputStream());
                assertNotNull(response, "the connection was closed with its request unread");
                // Of so many concurrent requests some may be rejected.
                assertTrue(response.status() == 200 || response.status() == 429, "status " + response.status());
                client.close();
            }
            drain.join();
            predecessor.close();
            successor.close();
        }
    }

    // ---- Deadlines after the end of the process ---------------------------------------------------------

    /** Guards against losing requests at SIGKILL: of their deadline of 8 s it leaves 3 s. */
    @Test
    void aRequestWhoseDeadlineIsAfterTheProcessEndIsAnsweredBeforeIt() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(
                1024, "{}", config -> config.replace("limit-us\":1000000", "limit-us\":8000000"), SILENT)) {
            Socket complete = testbed.connect();
            complete.getOutputStream()
                    .write(SidecarFixture.issueRequest("a", 8000).getBytes(ISO_8859_1));
            testbed.upstreams.get(0).next();
            Socket partial = testbed.connect();
            partial.getOutputStream()
                    .write((SidecarFixture.requestHead("POST /issue/x", "b", "issue", 8000)
                                    + "Content-Length: 100000\r\n\r\n" + "y".repeat(70_000))
                            .getBytes(ISO_8859_1));
            BlockedEventLoop.awaitPolls(testbed.sidecar.loop);
            long start = System.nanoTime();
            Thread drain = drain(testbed.sidecar);
            awaitPosted(drain);
            // The request is accepted with its last byte, which is sent after the signal.
            partial.getOutputStream().write("y".repeat(30_000).getBytes(ISO_8859_1));
            for (Socket client : List.of(complete, partial)) {
                Message response = Message.read(client.getInputStream());
                assertNotNull(response, "the request was lost at SIGKILL");
                assertEquals(502, response.status());
                // The answer is due after 3.6 s.
                assertTrue(secondsSince(start) < 4, "answered after SIGKILL");
            }
            drain.join();
            assertTrue(secondsSince(start) < 4.1, "the process ended after SIGKILL");
        }
    }

    /** Guards against a shutdown budget that counts from when the loop handles the signal, not from the signal. */
    @Test
    void theShutdownBudgetCountsFromTheSignalWhenTheEventLoopIsLate() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT)) {
            Socket open = testbed.connect();
            long start;
            Thread drain;
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(testbed.sidecar.loop)) {
                open.getOutputStream()
                        .write(SidecarFixture.issueRequest("a", 2000).getBytes(ISO_8859_1));
                start = System.nanoTime();
                drain = drain(testbed.sidecar);
                // Like a process that gets no CPU time: the loop handles the signal 1.3 s late.
                while (secondsSince(start) < 1.3) {
                    Thread.onSpinWait();
                }
                blockedLoop.release();
            }
            int status = Message.read(open.getInputStream()).status();
            // The late iteration may end forwarding before it reads the request, which is then never sent.
            assertTrue(status == 502 || status == 429 && testbed.receivedCount() == 0, "answered " + status);
            // The longest deadline is 1 s: due after 1.6 s, or after 2.3 s if the budget counted from the iteration.
            assertTrue(secondsSince(start) < 1.95, "answered after SIGKILL: " + secondsSince(start));
            open.close();
            drain.join();
            assertTrue(secondsSince(start) < 2.1, "the process ended after SIGKILL");
        }
    }

    // ---- Concurrent shutdowns, reloads and handovers ----------------------------------------------------

    @Test
    void twoDrainsAndAReloadEndTheProcessAndTheOpenRequestIsAnswered() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT);
                ScriptedServer second = new ScriptedServer(SILENT)) {
            Socket open = testbed.connect();
            open.getOutputStream().write(SidecarFixture.issueRequest("a", 900).getBytes(ISO_8859_1));
            testbed.upstreams.get(0).next();
            Thread firstDrain = drain(testbed.sidecar);
            testbed.reload(second.address());
            Thread secondDrain = drain(testbed.sidecar);
            assertEquals("GET /discovery/hosts HTTP/1.1", second.next().startLine());
            answer("200 OK", "u").run(null, testbed.upstreams.get(0).accepted.get(0));
            assertEquals(200, Message.read(open.getInputStream()).status());
            open.close();
            firstDrain.join(3000);
            secondDrain.join(3000);
            assertFalse(firstDrain.isAlive() || secondDrain.isAlive(), "a drain does not end within 3 s");
        }
    }

    /** Guards against a handover to a process that is shutting down too. */
    @Test
    void aProcessDoesNotHandOverToOneThatIsShuttingDown() throws Exception {
        ByteArrayOutputStream predecessorLog = new ByteArrayOutputStream();
        ByteArrayOutputStream successorLog = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            Sidecar predecessor = Sidecar.start(
                    config(discovery, upstream, "127.0.0.1:0"), new PrintStream(predecessorLog, true), dir);
            Sidecar successor = Sidecar.start(
                    config(discovery, upstream, SocketAddresses.format(predecessor.address())),
                    new PrintStream(successorLog, true),
                    dir);
            Thread successorDrain;
            try (BlockedEventLoop blockedLoop = new BlockedEventLoop(successor.loop)) {
                successorDrain = drain(successor);
                // Its state file says that it ends before its loop handles the shutdown.
                awaitEndingState();
                Thread drain = drain(predecessor);
                awaitLogged("draining", predecessorLog);
                blockedLoop.release();
                drain.join();
            }
            successorDrain.join();
            assertFalse(
                    predecessorLog.toString(ISO_8859_1).contains("handing over"), predecessorLog.toString(ISO_8859_1));
            predecessor.close();
            successor.close();
        }
    }

    private void awaitEndingState() throws Exception {
        long until = System.nanoTime() + 5_000_000_000L;
        while (true) {
            try (var files = Files.list(dir)) {
                for (Path stateFile :
                        files.filter(f -> f.toString().endsWith(".state")).toList()) {
                    if (Files.readString(stateFile).contains("\"ending\" : true")) {
                        return;
                    }
                }
            }
            assertTrue(System.nanoTime() < until, "no state file says within 5 s that its process ends");
        }
    }

    @Test
    void aSuccessorDrainedBeforeItListensEndsAtOnceAndThePredecessorServes() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            PrintStream discardedLog = new PrintStream(OutputStream.nullOutputStream());
            Sidecar predecessor = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), discardedLog, dir);
            Sidecar successor = Sidecar.open(
                    config(discovery, upstream, SocketAddresses.format(predecessor.address())),
                    discardedLog,
                    dir,
                    ENDLESS);
            long start = System.nanoTime();
            successor.drain();
            assertTrue(secondsSince(start) < 0.6, "the drain waits although there is no client");
            successor.close();
            for (int i = 0; i < 20; i++) {
                try (Socket client = connect(predecessor.address())) {
                    assertEquals(
                            200,
                            SidecarFixture.exchange(client, SidecarFixture.readRequest("q" + i, 900))
                                    .status());
                }
            }
            predecessor.close();
        }
    }

    /** Guards against no process listening when the serving one dies while its successor is still warming up. */
    @Test
    void aSuccessorThatIsStillWarmingUpServesOnceThePredecessorHasDied() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            PrintStream discardedLog = new PrintStream(OutputStream.nullOutputStream());
            Sidecar predecessor = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), discardedLog, dir);
            InetSocketAddress address = predecessor.address();
            Sidecar successor = Sidecar.open(
                    config(discovery, upstream, SocketAddresses.format(address)), discardedLog, dir, ENDLESS);
            predecessor.close();
            Message response = null;
            for (int i = 0; response == null; i++) {
                // The predecessor's listener may stay open for a moment although no process accepts from it.
                try (Socket client = connectOnceListening(address.getPort())) {
                    client.setSoTimeout(5000);
                    response = SidecarFixture.exchange(client, SidecarFixture.readRequest("a" + i, 900));
                    if (response != null) {
                        String up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
                        assertEquals(503, SidecarFixture.exchange(client, up).status());
                    }
                } catch (SocketException e) {
                    // The connection was reset with the closed listener.
                }
            }
            assertEquals(200, response.status());
            successor.close();
        }
    }

    // ---- Files of other sidecars in the handover directory ----------------------------------------------

    /**
     * Guards against taking the sidecars of two customers for one: their state files are found by the hash of the
     * sidecar's name, which is the same.
     */
    @Test
    void anUnrelatedSidecarOfTheSameNameIsNotTakenForASibling() throws Exception {
        ByteArrayOutputStream ourLog = new ByteArrayOutputStream();
        ByteArrayOutputStream theirLog = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            Sidecar ours =
                    Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), new PrintStream(ourLog, true), dir);
            assertEquals(200, operatorCall(ours, "PUT /control/upstreams/s-0/offline"));
            assertEquals(200, operatorCall(ours, "PUT /control/out-of-service"));
            // One at another address, and one at our address with no request class in common.
            SidecarConfig elsewhere = config(discovery, upstream, "127.0.0.1:0");
            String other = SidecarFixture.config(discovery.address(), "{\"seq\":1,\"hosts\":[]}", 512)
                    .replace("127.0.0.1:0\",\"mgmt", SocketAddresses.format(ours.address()) + "\",\"mgmt")
                    .replace("\"read\"", "\"level\"")
                    .replace("\"save\"", "\"valve\"")
                    .replace("\"issue\"", "\"dose\"");
            for (SidecarConfig theirConfig : List.of(elsewhere, SidecarConfig.parse(other.getBytes(UTF_8)))) {
                Sidecar theirs = Sidecar.start(theirConfig, new PrintStream(theirLog, true), dir);
                Thread.sleep(600);
                try (Socket client = connect(theirs.address())) {
                    if (theirConfig.equals(elsewhere)) {
                        assertEquals(
                                200,
                                SidecarFixture.exchange(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                                        .status());
                        assertEquals(
                                200,
                                SidecarFixture.exchange(client, SidecarFixture.readRequest("a", 900))
                                        .status(),
                                "the upstream was disabled by another sidecar");
                    }
                }
                Thread drain = drain(theirs);
                drain.join();
                theirs.close();
            }
            ours.drain();
            ours.close();
            String all = ourLog.toString(ISO_8859_1) + theirLog.toString(ISO_8859_1);
            for (String text : List.of("sibling", "handing over", "successor")) {
                assertFalse(all.contains(text), all);
            }
        }
    }

    /** A partly written file of a killed process is deleted with its other files and never read. */
    @Test
    void filesOfAProcessKilledWhileWritingItsStateAreDeleted() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            String prefix = "portrelay-" + Long.toHexString(portrelay.model.Hash.of("t")) + "-";
            Files.write(dir.resolve(prefix + "3.lock"), new byte[0]);
            Files.writeString(dir.resolve(prefix + "3.tmp"), "{\"form\":1,\"na");
            Files.setLastModifiedTime(dir.resolve(prefix + "3.lock"), FileTime.fromMillis(1));
            Sidecar sidecar = Sidecar.start(
                    config(discovery, upstream, "127.0.0.1:0"), new PrintStream(OutputStream.nullOutputStream()), dir);
            try (var left = Files.list(dir)) {
                String killedPrefix = prefix + "3.";
                assertEquals(
                        0,
                        left.filter(f -> f.getFileName().toString().startsWith(killedPrefix))
                                .count());
            }
            try (Socket client = connect(sidecar.address())) {
                assertEquals(
                        200,
                        SidecarFixture.exchange(client, SidecarFixture.readRequest("a", 900))
                                .status());
            }
            sidecar.close();
        }
    }

    private static int operatorCall(Sidecar sidecar, String line) throws IOException {
        try (Socket client = connect(sidecar.adminAddress())) {
            return SidecarFixture.exchange(client, line + " HTTP/1.1\r\nHost: a\r\n\r\n")
                    .status();
        }
    }
}
