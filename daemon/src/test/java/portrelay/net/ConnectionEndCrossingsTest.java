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

/** docs/crossings.md, "Shutdown" and "Hand-overs": what comes just as a process is told to end. */
@Timeout(40)
class ConnectionEndCrossingsTest {

    /** Does not end while a test lasts. */
    private static final WarmUp.Length ENDLESS = new WarmUp.Length(Integer.MAX_VALUE, 60);

    @TempDir
    Path dir;

    private static Thread drain(Sidecar sidecar) {
        Thread drain = new Thread(sidecar::drain);
        drain.start();
        return drain;
    }

    /** Returns when the drain has posted its tasks to the loop, and waits for the end. */
    private static void awaitPosted(Thread drain) {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!Arrays.toString(drain.getStackTrace()).contains("CountDownLatch.await")) {
            assertTrue(System.nanoTime() < until, "the drain does not begin");
            Thread.onSpinWait();
        }
    }

    private static double since(long start) {
        return (System.nanoTime() - start) / 1e9;
    }

    private static SidecarConfig config(ScriptedServer discovery, ScriptedServer upstream, String listen)
            throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                + SidecarFixture.host("s-0", upstream.address(), "SERVING") + "]}";
        return SidecarConfig.parse(SidecarFixture.config(discovery.address(), list, 512)
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + listen + "\"")
                .getBytes(UTF_8));
    }

    private static Socket connect(InetSocketAddress to) throws IOException {
        Socket s = new Socket(to.getAddress(), to.getPort());
        s.setSoTimeout(8000);
        return s;
    }

    private static void await(String what, ByteArrayOutputStream log) throws Exception {
        long until = System.nanoTime() + 5_000_000_000L;
        while (!log.toString(ISO_8859_1).contains(what)) {
            assertTrue(System.nanoTime() < until, "no " + what + " in " + log.toString(ISO_8859_1));
            Thread.onSpinWait();
        }
    }

    // ---- Told to end before it is ready -----------------------------------------------------------------

    @Test
    void aRequestToAProcessThatIsNotWarmYetIsAnsweredAllTheSame() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(SILENT)) {
            Sidecar cold =
                    Sidecar.open(config(discovery, upstream, "127.0.0.1:0"), new PrintStream(log, true), null, ENDLESS);
            try (Socket client = connect(cold.address());
                    Socket looks = connect(cold.address())) {
                client.getOutputStream().write(SidecarFixture.issue("a", 900).getBytes(ISO_8859_1));
                upstream.next();
                Thread drain = drain(cold);
                await("draining", log);
                answer("200 OK", "u").play(null, upstream.accepted.get(0));
                assertEquals(200, Message.read(client.getInputStream()).status());
                assertEquals(
                        503,
                        SidecarFixture.ask(looks, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                                .status());
                client.close();
                looks.close();
                drain.join();
                assertFalse(log.toString(ISO_8859_1).contains("ready: listen="), "it said that it serves");
            } finally {
                cold.close();
            }
        }
    }

    /** The warm-up's end and the drain are met in one turn of the loop. */
    @Test
    void aProcessThatGetsWarmAsItIsToldToEndDoesNotSayThatItServes() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(SILENT)) {
            Sidecar cold = Sidecar.open(
                    config(discovery, upstream, "127.0.0.1:0"),
                    new PrintStream(log, true),
                    dir,
                    new WarmUp.Length(Integer.MAX_VALUE, 2.5));
            long opened = System.nanoTime();
            Thread drain;
            try (HeldEventLoop held = new HeldEventLoop(cold.loop)) {
                drain = drain(cold);
                awaitPosted(drain);
                while (since(opened) < 2.7) {
                    Thread.onSpinWait();
                }
                held.letGo();
            }
            cold.awaitReady();
            drain.join();
            cold.close();
            String said = log.toString(ISO_8859_1);
            assertTrue(said.contains("draining") && !said.contains("ready: listen="), said);
        }
    }

    /** With a process and a signal; guards against a shutdown hook that is added only after the warm-up. */
    @Test
    void sigtermDuringTheWarmUpLosesNoRequest() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(SILENT);
                ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            int port = free.getLocalPort();
            free.close();
            Path file = dir.resolve("config.json");
            String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                    + SidecarFixture.host("s-0", upstream.address(), "SERVING") + "]}";
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
            try (Socket client = soon(port)) {
                client.setSoTimeout(8000);
                client.getOutputStream().write(SidecarFixture.issue("a", 900).getBytes(ISO_8859_1));
                upstream.next();
                new ProcessBuilder("kill", "-TERM", "" + serve.pid()).start().waitFor();
                Message got = Message.read(client.getInputStream());
                assertNotNull(got, "the request was lost");
                assertEquals(502, got.status());
            } finally {
                assertTrue(serve.waitFor(10, TimeUnit.SECONDS), "does not end");
            }
        }
    }

    private static Socket soon(int port) throws Exception {
        long until = System.nanoTime() + 20_000_000_000L;
        while (true) {
            try {
                return new Socket(InetAddress.getLoopbackAddress(), port);
            } catch (IOException e) {
                assertTrue(System.nanoTime() < until, "nobody listens");
                Thread.sleep(2);
            }
        }
    }

    // ---- The listen queue -------------------------------------------------------------------------------

    /** The request lies in the listen queue when the listener closes. */
    @Test
    void aClientInTheListenQueueWhenTheListenerClosesIsServed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(answer("200 OK", "u"))) {
            Socket open = testbed.connect();
            assertEquals(
                    200,
                    SidecarFixture.ask(open, SidecarFixture.read("first", 900)).status());
            Thread drain;
            Socket late;
            try (HeldEventLoop held = new HeldEventLoop(testbed.sidecar.loop)) {
                long start = System.nanoTime();
                drain = drain(testbed.sidecar);
                awaitPosted(drain);
                late = testbed.connect();
                late.getOutputStream().write(SidecarFixture.read("late", 900).getBytes(ISO_8859_1));
                HeldEventLoop.unread(late, SidecarFixture.read("late", 900).length());
                // The timer that closes the listener is due in the turn of the loop that finds the connection.
                while (since(start) < 0.6) {
                    Thread.onSpinWait();
                }
                held.letGo();
            }
            Message got = Message.read(late.getInputStream());
            assertNotNull(got, "closed unread");
            assertEquals(200, got.status());
            late.close();
            open.close();
            drain.join();
        }
    }

    @Test
    void aClientInTheListenQueueAtAHandoverIsServed() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            PrintStream none = new PrintStream(OutputStream.nullOutputStream());
            Sidecar old = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), none, dir);
            String at = SocketAddresses.format(old.address());
            Sidecar next = Sidecar.start(config(discovery, upstream, at), none, dir);
            List<Socket> clients = new ArrayList<>();
            Thread drain;
            try (HeldEventLoop held = new HeldEventLoop(old.loop)) {
                // The kernel gives each of the two some of them.
                for (int i = 0; i < 40; i++) {
                    Socket one = connect(old.address());
                    clients.add(one);
                    one.getOutputStream()
                            .write(SidecarFixture.read("q" + i, 2000).getBytes(ISO_8859_1));
                }
                drain = drain(old);
                awaitPosted(drain);
                held.letGo();
            }
            for (Socket each : clients) {
                Message got = Message.read(each.getInputStream());
                assertNotNull(got, "closed unread");
                // So many at once that some may be rejected.
                assertTrue(got.status() == 200 || got.status() == 429, "status " + got.status());
                each.close();
            }
            drain.join();
            old.close();
            next.close();
        }
    }

    // ---- Deadlines behind the process's end -------------------------------------------------------------

    /** A deadline of 8 s, of which SIGKILL leaves 3 s. */
    @Test
    void aRequestWhoseDeadlineIsBehindTheProcessesEndIsAnswered() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(
                1024, "{}", config -> config.replace("limit-us\":1000000", "limit-us\":8000000"), SILENT)) {
            Socket one = testbed.connect();
            one.getOutputStream().write(SidecarFixture.issue("a", 8000).getBytes(ISO_8859_1));
            testbed.upstreams.get(0).next();
            Socket half = testbed.connect();
            half.getOutputStream()
                    .write((SidecarFixture.head("POST /issue/x", "b", "issue", 8000) + "Content-Length: 100000\r\n\r\n"
                                    + "y".repeat(70_000))
                            .getBytes(ISO_8859_1));
            HeldEventLoop.settled(testbed.sidecar.loop);
            long start = System.nanoTime();
            Thread drain = drain(testbed.sidecar);
            awaitPosted(drain);
            // Accepted with its last byte, and that comes after the signal.
            half.getOutputStream().write("y".repeat(30_000).getBytes(ISO_8859_1));
            for (Socket each : List.of(one, half)) {
                Message got = Message.read(each.getInputStream());
                assertNotNull(got, "lost at SIGKILL");
                assertEquals(502, got.status());
                // Due after 3.6 s.
                assertTrue(since(start) < 4, "answered after SIGKILL");
            }
            drain.join();
            assertTrue(since(start) < 4.1, "ended after SIGKILL");
        }
    }

    /** Guards against a shutdown budget that counts from when the loop gets to the signal, not from the signal. */
    @Test
    void aLateLoopTakesNoTimeFromRequestsThatAreStillToBeAnswered() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT)) {
            Socket open = testbed.connect();
            long start;
            Thread drain;
            try (HeldEventLoop held = new HeldEventLoop(testbed.sidecar.loop)) {
                open.getOutputStream().write(SidecarFixture.issue("a", 2000).getBytes(ISO_8859_1));
                start = System.nanoTime();
                drain = drain(testbed.sidecar);
                // As a process that gets no CPU: the loop comes to the signal so late.
                while (since(start) < 1.3) {
                    Thread.onSpinWait();
                }
                held.letGo();
            }
            int status = Message.read(open.getInputStream()).status();
            // The late turn may find that forwarding is over before it reads the request: then it was never sent.
            assertTrue(status == 502 || status == 429 && testbed.sent() == 0, "answered " + status);
            // The longest deadline is 1 s: due after 1.6 s, after 2.3 s if it counted from the turn.
            assertTrue(since(start) < 1.95, "answered after SIGKILL: " + since(start));
            open.close();
            drain.join();
            assertTrue(since(start) < 2.1, "ended after SIGKILL");
        }
    }

    // ---- Several at once --------------------------------------------------------------------------------

    @Test
    void toldToEndTwiceAndWithANewConfigurationItEndsOnceAndAnswers() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(SILENT);
                ScriptedServer second = new ScriptedServer(SILENT)) {
            Socket open = testbed.connect();
            open.getOutputStream().write(SidecarFixture.issue("a", 900).getBytes(ISO_8859_1));
            testbed.upstreams.get(0).next();
            Thread once = drain(testbed.sidecar);
            testbed.reload(second.address());
            Thread twice = drain(testbed.sidecar);
            assertEquals("GET /discovery/hosts HTTP/1.1", second.next().first());
            answer("200 OK", "u").play(null, testbed.upstreams.get(0).accepted.get(0));
            assertEquals(200, Message.read(open.getInputStream()).status());
            open.close();
            once.join(3000);
            twice.join(3000);
            assertFalse(once.isAlive() || twice.isAlive(), "does not end");
        }
    }

    /** Guards against a handover to a process that ends too. */
    @Test
    void whereBothProcessesEndNeitherHandsOver() throws Exception {
        ByteArrayOutputStream oldLog = new ByteArrayOutputStream();
        ByteArrayOutputStream nextLog = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            Sidecar old = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), new PrintStream(oldLog, true), dir);
            Sidecar next = Sidecar.start(
                    config(discovery, upstream, SocketAddresses.format(old.address())),
                    new PrintStream(nextLog, true),
                    dir);
            Thread ends;
            try (HeldEventLoop held = new HeldEventLoop(next.loop)) {
                ends = drain(next);
                // Its file says so before its loop has got to it.
                awaitEnding();
                Thread drain = drain(old);
                await("draining", oldLog);
                held.letGo();
                drain.join();
            }
            ends.join();
            assertFalse(oldLog.toString(ISO_8859_1).contains("handing over"), oldLog.toString(ISO_8859_1));
            old.close();
            next.close();
        }
    }

    private void awaitEnding() throws Exception {
        long until = System.nanoTime() + 5_000_000_000L;
        while (true) {
            try (var files = Files.list(dir)) {
                for (Path each :
                        files.filter(f -> f.toString().endsWith(".state")).toList()) {
                    if (Files.readString(each).contains("\"ending\" : true")) {
                        return;
                    }
                }
            }
            assertTrue(System.nanoTime() < until, "no state file says that its process ends");
        }
    }

    @Test
    void aSuccessorThatIsToldToEndBeforeItListensEndsAtOnceAndTheOldOneServes() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            PrintStream none = new PrintStream(OutputStream.nullOutputStream());
            Sidecar old = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), none, dir);
            Sidecar next = Sidecar.open(
                    config(discovery, upstream, SocketAddresses.format(old.address())), none, dir, ENDLESS);
            long start = System.nanoTime();
            next.drain();
            assertTrue(since(start) < 0.6, "waits for nobody");
            next.close();
            for (int i = 0; i < 20; i++) {
                try (Socket client = connect(old.address())) {
                    assertEquals(
                            200,
                            SidecarFixture.ask(client, SidecarFixture.read("q" + i, 900))
                                    .status());
                }
            }
            old.close();
        }
    }

    /** The serving process dies while its successor warms up; guards against nobody listening until that is over. */
    @Test
    void aSuccessorThatIsNotWarmYetServesWhenTheOtherHasDied() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            PrintStream none = new PrintStream(OutputStream.nullOutputStream());
            Sidecar old = Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), none, dir);
            InetSocketAddress at = old.address();
            Sidecar next = Sidecar.open(config(discovery, upstream, SocketAddresses.format(at)), none, dir, ENDLESS);
            old.close();
            Message got = null;
            for (int i = 0; got == null; i++) {
                // The old one's listener may still be there for a moment, with nobody behind it.
                try (Socket client = soon(at.getPort())) {
                    client.setSoTimeout(5000);
                    got = SidecarFixture.ask(client, SidecarFixture.read("a" + i, 900));
                    if (got != null) {
                        String up = "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
                        assertEquals(503, SidecarFixture.ask(client, up).status());
                    }
                } catch (SocketException e) {
                    // Reset with it.
                }
            }
            assertEquals(200, got.status());
            next.close();
        }
    }

    // ---- Other sidecars' files in the folder ------------------------------------------------------------

    /** Files are named by the name's hash; guards against two customers' sidecars of one name taken for one. */
    @Test
    void anotherCustomersSidecarOfTheSameNameIsAStranger() throws Exception {
        ByteArrayOutputStream ourLog = new ByteArrayOutputStream();
        ByteArrayOutputStream theirLog = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            Sidecar ours =
                    Sidecar.start(config(discovery, upstream, "127.0.0.1:0"), new PrintStream(ourLog, true), dir);
            assertEquals(200, call(ours, "PUT /control/upstreams/s-0/offline"));
            assertEquals(200, call(ours, "PUT /control/out-of-service"));
            // At another address, and at ours with no request class in common.
            SidecarConfig elsewhere = config(discovery, upstream, "127.0.0.1:0");
            String other = SidecarFixture.config(discovery.address(), "{\"seq\":1,\"hosts\":[]}", 512)
                    .replace("127.0.0.1:0\",\"mgmt", SocketAddresses.format(ours.address()) + "\",\"mgmt")
                    .replace("\"read\"", "\"level\"")
                    .replace("\"save\"", "\"valve\"")
                    .replace("\"issue\"", "\"dose\"");
            for (SidecarConfig each : List.of(elsewhere, SidecarConfig.parse(other.getBytes(UTF_8)))) {
                Sidecar theirs = Sidecar.start(each, new PrintStream(theirLog, true), dir);
                Thread.sleep(600);
                try (Socket client = connect(theirs.address())) {
                    if (each.equals(elsewhere)) {
                        assertEquals(
                                200,
                                SidecarFixture.ask(client, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                                        .status());
                        assertEquals(
                                200,
                                SidecarFixture.ask(client, SidecarFixture.read("a", 900))
                                        .status(),
                                "disabled by another sidecar");
                    }
                }
                Thread drain = drain(theirs);
                drain.join();
                theirs.close();
            }
            ours.drain();
            ours.close();
            String all = ourLog.toString(ISO_8859_1) + theirLog.toString(ISO_8859_1);
            for (String each : List.of("sibling", "handing over", "successor")) {
                assertFalse(all.contains(each), all);
            }
        }
    }

    /** A half-written file of a killed process is deleted with its other files, and never read. */
    @Test
    void whatAProcessLeftThatDiedBetweenTwoFilesIsCleanedUp() throws Exception {
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer upstream = new ScriptedServer(answer("200 OK", "u"))) {
            String prefix = "portrelay-" + Long.toHexString(portrelay.model.Hash.of("t")) + "-";
            Files.write(dir.resolve(prefix + "3.lock"), new byte[0]);
            Files.writeString(dir.resolve(prefix + "3.tmp"), "{\"form\":1,\"na");
            Files.setLastModifiedTime(dir.resolve(prefix + "3.lock"), FileTime.fromMillis(1));
            Sidecar one = Sidecar.start(
                    config(discovery, upstream, "127.0.0.1:0"), new PrintStream(OutputStream.nullOutputStream()), dir);
            try (var left = Files.list(dir)) {
                String its = prefix + "3.";
                assertEquals(
                        0,
                        left.filter(f -> f.getFileName().toString().startsWith(its))
                                .count());
            }
            try (Socket client = connect(one.address())) {
                assertEquals(
                        200,
                        SidecarFixture.ask(client, SidecarFixture.read("a", 900))
                                .status());
            }
            one.close();
        }
    }

    private static int call(Sidecar sidecar, String line) throws IOException {
        try (Socket s = connect(sidecar.adminAddress())) {
            return SidecarFixture.ask(s, line + " HTTP/1.1\r\nHost: a\r\n\r\n").status();
        }
    }
}
