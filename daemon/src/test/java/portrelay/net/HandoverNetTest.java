package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.answer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.logging.LogManager;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import portrelay.model.Hash;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.http.SocketAddresses;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/** Handover between processes of one sidecar; each process is a {@link Sidecar} of this JVM. */
class HandoverNetTest {

    @TempDir
    Path dir;

    private SidecarFixture.ScriptedServer discovery;
    private SidecarFixture.ScriptedServer first;
    private SidecarFixture.ScriptedServer second;

    @BeforeEach
    void open() throws Exception {
        LogManager.getLogManager().reset();
        discovery = new SidecarFixture.ScriptedServer(SidecarFixture.SILENT);
        first = new SidecarFixture.ScriptedServer(answer("200 OK", "u"));
        second = new SidecarFixture.ScriptedServer(answer("200 OK", "v"));
    }

    @AfterEach
    void close() throws Exception {
        for (SidecarFixture.ScriptedServer each : List.of(discovery, first, second)) {
            each.close();
        }
    }

    private Sidecar start(String listen, OutputStream log) throws Exception {
        return start(listen, log, 512);
    }

    private Sidecar start(String listen, OutputStream log, int sockets) throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                + SidecarFixture.host("s-0", first.address(), "SERVING") + ","
                + SidecarFixture.host("s-1", second.address(), "SERVING") + "]}";
        String json = SidecarFixture.config(discovery.address(), list, sockets)
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + listen + "\"");
        return Sidecar.start(SidecarConfig.parse(json.getBytes(UTF_8)), new PrintStream(log), dir);
    }

    private Sidecar start(String listen) throws Exception {
        return start(listen, OutputStream.nullOutputStream());
    }

    private static String at(Sidecar sidecar) {
        return SocketAddresses.format(sidecar.address());
    }

    private static Message say(InetSocketAddress to, String bytes) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout(5000);
            return SidecarFixture.ask(socket, bytes);
        }
    }

    private static int call(Sidecar sidecar, String line) throws IOException {
        return say(sidecar.adminAddress(), line + " HTTP/1.1\r\nHost: a\r\n\r\n")
                .status();
    }

    private static void await(String what, Callable<Boolean> is) throws Exception {
        long until = System.nanoTime() + 3_000_000_000L;
        while (!is.call()) {
            assertTrue(System.nanoTime() < until, what);
            Thread.sleep(10);
        }
    }

    /** Of twenty connections in a row the kernel gives some to each process. */
    private static void awaitAll(String what, Sidecar at, int status) throws Exception {
        await(what, () -> {
            for (int i = 0; i < 20; i++) {
                if (say(at.address(), SidecarFixture.read("n" + System.nanoTime(), 900))
                                .status()
                        != status) {
                    return false;
                }
            }
            return true;
        });
    }

    private static boolean inService(Sidecar sidecar) throws Exception {
        return say(sidecar.address(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200;
    }

    /**
     * A request without its answer 200.
     *
     * @param cause the status that came instead, or the error of the connection
     */
    private record FailedRequest(String cause, long sentAt, long endedAt) {

        /** With its times after the drain began, in seconds. */
        String line(long drainBegan) {
            return String.format(
                    Locale.ROOT,
                    "%s sent %+.4f ended %+.4f",
                    cause.replace('\n', ' '),
                    seconds(drainBegan, sentAt),
                    seconds(drainBegan, endedAt));
        }

        static double seconds(long from, long to) {
            return (to - from) / 1e9;
        }
    }

    @Test
    void noRequestFailsWhileASuccessorReplacesTheProcess() throws Exception {
        Sidecar old = start("127.0.0.1:0");
        InetSocketAddress address = old.address();
        AtomicBoolean over = new AtomicBoolean();
        AtomicInteger arrival = new AtomicInteger();
        Queue<FailedRequest> failed = new ConcurrentLinkedQueue<>();
        Thread[] clients = new Thread[4];
        for (int i = 0; i < clients.length; i++) {
            int me = i;
            clients[i] = new Thread(() -> {
                while (!over.get()) {
                    long sentAt = System.nanoTime();
                    try {
                        arrival.incrementAndGet();
                        String id = "q" + me + "-" + arrival.get();
                        assertEquals(
                                200, say(address, SidecarFixture.read(id, 900)).status());
                        Thread.sleep(2);
                    } catch (Exception | AssertionError e) {
                        failed.add(new FailedRequest(e.toString(), sentAt, System.nanoTime()));
                    }
                }
            });
            clients[i].start();
        }
        Thread.sleep(200);
        Sidecar next = start(at(old));
        assertEquals(200, call(next, "GET /control/ready"));
        long drainBegan = System.nanoTime();
        old.drain();
        double drained = FailedRequest.seconds(drainBegan, System.nanoTime());
        old.close();
        Thread.sleep(200);
        over.set(true);
        for (Thread each : clients) {
            each.join();
        }
        next.close();
        assertTrue(arrival.get() > 100, "too few to tell: " + arrival);
        // The kernel resets a connection that comes between the last accept and the close of the listener.
        assertTrue(
                failed.size() <= 1,
                () -> failed.size() + " of " + arrival + " were failed; drain took " + drained + " s: "
                        + failed.stream().map(each -> each.line(drainBegan)).toList());
    }

    @Test
    void persistentConnectionsMoveWithTheirNextAnswerAndIdleOnesAreClosed() throws Exception {
        Sidecar old = start("127.0.0.1:0");
        try (Socket kept = new Socket(old.address().getAddress(), old.address().getPort());
                Socket idle =
                        new Socket(old.address().getAddress(), old.address().getPort())) {
            kept.setSoTimeout(2000);
            idle.setSoTimeout(2000);
            assertEquals(
                    200, SidecarFixture.ask(kept, SidecarFixture.read("a", 900)).status());
            assertEquals(
                    200, SidecarFixture.ask(idle, SidecarFixture.read("b", 900)).status());
            Sidecar next = start(at(old));
            Thread drain = new Thread(old::drain);
            drain.start();
            Thread.sleep(20);
            if (!kept.isClosed()) {
                assertEquals(-1, idle.getInputStream().read());
            }
            drain.join(1000);
            assertFalse(drain.isAlive(), "did not end with its last client");
            assertTrue(inService(next));
            old.close();
            next.close();
        }
    }

    @Test
    void operatorsCallsHoldOverAnUpgradeAndAtBothProcessesMeanwhile() throws Exception {
        Sidecar old = start("127.0.0.1:0");
        assertEquals(200, call(old, "PUT /control/upstreams/s-0/offline"));
        assertEquals(200, call(old, "PUT /control/out-of-service"));
        Sidecar next = start(at(old));
        assertEquals(200, call(next, "GET /control/ready"));
        // Both must answer so, as the kernel chooses between them.
        for (int i = 0; i < 20; i++) {
            assertFalse(inService(next));
        }
        first.seen.clear();
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    200, say(old.address(), SidecarFixture.read("a" + i, 900)).status());
        }
        assertEquals(0, first.seen.size());
        assertEquals(200, call(next, "PUT /control/in-service"));
        await("the old one goes by the new one's call", () -> {
            for (int i = 0; i < 20; i++) {
                if (!inService(next)) {
                    return false;
                }
            }
            return true;
        });
        assertEquals(200, call(old, "PUT /control/upstreams/s-1/offline"));
        awaitAll("with both disabled at both every request is rejected", next, 429);
        assertEquals(200, call(next, "PUT /control/upstreams/s-1/online"));
        awaitAll("and served again at both", next, 200);
        first.seen.clear();
        old.drain();
        old.close();
        for (int i = 0; i < 40; i++) {
            assertEquals(
                    200, say(next.address(), SidecarFixture.read("b" + i, 900)).status());
        }
        assertEquals(0, first.seen.size());
        assertEquals(200, call(next, "PUT /control/upstreams/s-0/online"));
        next.close();
        Sidecar third = start(at(next));
        await("back at the third", () -> {
            say(third.address(), SidecarFixture.read("c" + System.nanoTime(), 900));
            return first.seen.size() > 0;
        });
        third.close();
    }

    @Test
    void anIdThatOnlyThePredecessorSawListedCanBeDisabled() throws Exception {
        Sidecar old = start("127.0.0.1:0");
        discovery.next();
        String gone = "{\"seq\":8,\"whole\":false,\"hosts\":[" + SidecarFixture.host("s-9", second.address(), "SERVING")
                + "]}";
        answer("200 OK", gone).play(null, discovery.accepted.get(0));
        await("listed", () -> call(old, "PUT /control/upstreams/s-9/offline") == 200);
        Thread.sleep(400);
        Sidecar next = start(at(old));
        assertEquals(200, call(next, "PUT /control/upstreams/s-9/offline"));
        assertEquals(404, call(next, "PUT /control/upstreams/s-8/offline"));
        old.close();
        next.close();
    }

    @Test
    void withoutAServingSuccessorADrainTakesItsWholeTime() throws Exception {
        Sidecar old = start("127.0.0.1:0");
        // The files of a process that was killed: it served, and its lock is free.
        String prefix = "portrelay-" + Long.toHexString(Hash.of("t")) + "-7.";
        Files.write(dir.resolve(prefix + "lock"), new byte[0]);
        Path itsState;
        try (Stream<Path> files = Files.list(dir)) {
            itsState = files.filter(f -> f.toString().endsWith(".state"))
                    .findFirst()
                    .orElseThrow();
        }
        Files.copy(itsState, dir.resolve(prefix + "state"));
        long start = System.nanoTime();
        Thread drain = new Thread(old::drain);
        drain.start();
        Thread.sleep(300);
        // It goes on listening for half a second.
        assertEquals(200, say(old.address(), SidecarFixture.read("a", 900)).status());
        drain.join();
        assertTrue(System.nanoTime() - start > 0.69e9);
        old.close();
    }

    @Test
    void aTornForeignOrUnknownStateIsLoggedOnceAndIgnored() throws Exception {
        String prefix = "portrelay-" + Long.toHexString(Hash.of("t")) + "-";
        List<String> bad = List.of(
                "{\"form\":1,\"name\":\"t\",\"cal",
                "{\"form\":2,\"name\":\"t\"}",
                "{\"form\":1,\"name\":\"other\",\"out-of-service\":true,\"out-of-service-at\":9}",
                "[]",
                "",
                "{\"form\":1,\"name\":\"t\",\"out-of-service\":true,\"out-of-service-at\":\"now\"}");
        for (int i = 0; i < bad.size(); i++) {
            Files.write(dir.resolve(prefix + (i + 1) + ".lock"), new byte[0]);
            Files.write(dir.resolve(prefix + (i + 1) + ".state"), bad.get(i).getBytes(UTF_8));
        }
        Files.write(dir.resolve(prefix + "x.lock"), new byte[0]);
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        Sidecar one = start("127.0.0.1:0", log);
        assertTrue(inService(one));
        Thread.sleep(700);
        one.close();
        String text = log.toString(ISO_8859_1);
        assertEquals(
                bad.size(),
                text.lines()
                        .filter(each -> each.contains("handover state ignored: process="))
                        .count(),
                text);
    }

    @Test
    void aSuccessorThatCannotListenLeavesThePredecessorServing() throws Exception {
        Sidecar old = start("127.0.0.1:0");
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String there = "127.0.0.1:" + taken.getLocalPort();
            String why = assertThrows(IOException.class, () -> start(there)).getMessage();
            assertTrue(why.startsWith("listen"), why);
        }
        assertTrue(inService(old));
        assertEquals(200, say(old.address(), SidecarFixture.read("a", 900)).status());
        old.close();
    }

    /** Guards against limits that stay halved once the sibling process is gone. */
    @Test
    void onceAloneASuccessorAcceptsAllClientsAgain() throws Exception {
        OutputStream none = OutputStream.nullOutputStream();
        Sidecar old = start("127.0.0.1:0", none, 128);
        Sidecar next = start(at(old), none, 128);
        old.drain();
        old.close();
        Thread.sleep(400);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket one = new Socket(next.address().getAddress(), next.address().getPort());
            one.setSoTimeout(1500);
            clients.add(one);
        }
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i)
                    .getOutputStream()
                    .write(SidecarFixture.read("a" + i, 900).getBytes(ISO_8859_1));
        }
        for (Socket each : clients) {
            assertTrue(Message.read(each.getInputStream()).status() > 0);
            assertTrue(!each.isClosed());
        }
        for (Socket each : clients) {
            each.close();
        }
        next.close();
    }

    @Test
    void aProcessThatCannotListenReleasesItsLock() throws Exception {
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            assertThrows(IOException.class, () -> start("127.0.0.1:" + taken.getLocalPort()));
        }
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        start("127.0.0.1:0", log).close();
        assertFalse(log.toString(ISO_8859_1).contains("sibling process: state=SERVING"), log.toString(ISO_8859_1));
    }

    @Test
    void aMissingDirectoryIsLoggedAndDisablesHandoverOnly() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        Path none = dir.resolve("none");
        String json = SidecarFixture.config(discovery.address(), "{\"seq\":1,\"hosts\":[]}", 512);
        Sidecar one = Sidecar.start(SidecarConfig.parse(json.getBytes(UTF_8)), new PrintStream(log), none);
        assertTrue(inService(one));
        one.close();
        assertTrue(log.toString(ISO_8859_1).contains("handover disabled: directory="));
    }
}
