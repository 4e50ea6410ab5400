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
    private SidecarFixture.ScriptedServer firstUpstream;
    private SidecarFixture.ScriptedServer secondUpstream;

    @BeforeEach
    void open() throws Exception {
        LogManager.getLogManager().reset();
        discovery = new SidecarFixture.ScriptedServer(SidecarFixture.SILENT);
        firstUpstream = new SidecarFixture.ScriptedServer(answer("200 OK", "u"));
        secondUpstream = new SidecarFixture.ScriptedServer(answer("200 OK", "v"));
    }

    @AfterEach
    void close() throws Exception {
        for (SidecarFixture.ScriptedServer server : List.of(discovery, firstUpstream, secondUpstream)) {
            server.close();
        }
    }

    private Sidecar start(String listen, OutputStream log) throws Exception {
        return start(listen, log, 512);
    }

    private Sidecar start(String listen, OutputStream log, int sockets) throws Exception {
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                + SidecarFixture.endpointRow("s-0", firstUpstream.address(), "SERVING") + ","
                + SidecarFixture.endpointRow("s-1", secondUpstream.address(), "SERVING") + "]}";
        String json = SidecarFixture.config(discovery.address(), list, sockets)
                .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"" + listen + "\"");
        return Sidecar.start(SidecarConfig.parse(json.getBytes(UTF_8)), new PrintStream(log), dir);
    }

    private Sidecar start(String listen) throws Exception {
        return start(listen, OutputStream.nullOutputStream());
    }

    private static String addressOf(Sidecar sidecar) {
        return SocketAddresses.format(sidecar.address());
    }

    private static Message exchange(InetSocketAddress to, String bytes) throws IOException {
        try (Socket socket = new Socket(to.getAddress(), to.getPort())) {
            socket.setSoTimeout(5000);
            return SidecarFixture.exchange(socket, bytes);
        }
    }

    private static int operatorCall(Sidecar sidecar, String line) throws IOException {
        return exchange(sidecar.adminAddress(), line + " HTTP/1.1\r\nHost: a\r\n\r\n")
                .status();
    }

    private static void await(String failure, Callable<Boolean> condition) throws Exception {
        long until = System.nanoTime() + 3_000_000_000L;
        while (!condition.call()) {
            assertTrue(System.nanoTime() < until, failure);
            Thread.sleep(10);
        }
    }

    /** Waits until 20 requests in a row get the status; the kernel gives some of their connections to each process. */
    private static void awaitAll(String failure, Sidecar sidecar, int status) throws Exception {
        await(failure, () -> {
            for (int i = 0; i < 20; i++) {
                if (exchange(sidecar.address(), SidecarFixture.readRequest("n" + System.nanoTime(), 900))
                                .status()
                        != status) {
                    return false;
                }
            }
            return true;
        });
    }

    private static boolean isInService(Sidecar sidecar) throws Exception {
        return exchange(sidecar.address(), "GET /up HTTP/1.1\r\nHost: a\r\n\r\n")
                        .status()
                == 200;
    }

    /**
     * A request that was not answered with 200.
     *
     * @param cause the other status, or the error of the connection
     */
    private record FailedRequest(String cause, long sentAt, long endedAt) {

        /** Returns the cause with the times in seconds after the drain began. */
        String describe(long drainBegan) {
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
        Sidecar predecessor = start("127.0.0.1:0");
        InetSocketAddress address = predecessor.address();
        AtomicBoolean stopped = new AtomicBoolean();
        AtomicInteger requestCount = new AtomicInteger();
        Queue<FailedRequest> failed = new ConcurrentLinkedQueue<>();
        Thread[] clients = new Thread[4];
        for (int i = 0; i < clients.length; i++) {
            int clientIndex = i;
            clients[i] = new Thread(() -> {
                while (!stopped.get()) {
                    long sentAt = System.nanoTime();
                    try {
                        requestCount.incrementAndGet();
                        String id = "q" + clientIndex + "-" + requestCount.get();
                        assertEquals(
                                200,
                                exchange(address, SidecarFixture.readRequest(id, 900))
                                        .status());
                        Thread.sleep(2);
                    } catch (Exception | AssertionError e) {
                        failed.add(new FailedRequest(e.toString(), sentAt, System.nanoTime()));
                    }
                }
            });
            clients[i].start();
        }
        Thread.sleep(200);
        Sidecar successor = start(addressOf(predecessor));
        assertEquals(200, operatorCall(successor, "GET /control/ready"));
        long drainBegan = System.nanoTime();
        predecessor.drain();
        double drained = FailedRequest.seconds(drainBegan, System.nanoTime());
        predecessor.close();
        Thread.sleep(200);
        stopped.set(true);
        for (Thread client : clients) {
            client.join();
        }
        successor.close();
        assertTrue(requestCount.get() > 100, "too few requests for a result: " + requestCount);
        // The kernel resets a connection that arrives between the last accept and the close of the listener.
        assertTrue(
                failed.size() <= 1,
                () -> failed.size() + " of " + requestCount + " requests failed; the drain took " + drained + " s: "
                        + failed.stream().map(each -> each.describe(drainBegan)).toList());
    }

    @Test
    void theDrainClosesIdleConnectionsAndEndsWithItsLastClient() throws Exception {
        Sidecar predecessor = start("127.0.0.1:0");
        try (Socket open = new Socket(
                        predecessor.address().getAddress(),
                        predecessor.address().getPort());
                Socket idle = new Socket(
                        predecessor.address().getAddress(),
                        predecessor.address().getPort())) {
            open.setSoTimeout(2000);
            idle.setSoTimeout(2000);
            assertEquals(
                    200,
                    SidecarFixture.exchange(open, SidecarFixture.readRequest("a", 900))
                            .status());
            assertEquals(
                    200,
                    SidecarFixture.exchange(idle, SidecarFixture.readRequest("b", 900))
                            .status());
            Sidecar successor = start(addressOf(predecessor));
            Thread drain = new Thread(predecessor::drain);
            drain.start();
            Thread.sleep(20);
            if (!open.isClosed()) {
                assertEquals(-1, idle.getInputStream().read());
            }
            drain.join(1000);
            assertFalse(drain.isAlive(), "the drain did not end with its last client");
            assertTrue(isInService(successor));
            predecessor.close();
            successor.close();
        }
    }

    @Test
    void operatorCallsApplyAtBothProcessesAndAfterTheHandover() throws Exception {
        Sidecar predecessor = start("127.0.0.1:0");
        assertEquals(200, operatorCall(predecessor, "PUT /control/upstreams/s-0/offline"));
        assertEquals(200, operatorCall(predecessor, "PUT /control/out-of-service"));
        Sidecar successor = start(addressOf(predecessor));
        assertEquals(200, operatorCall(successor, "GET /control/ready"));
        // Both must answer this way, as the kernel chooses between them.
        for (int i = 0; i < 20; i++) {
            assertFalse(isInService(successor));
        }
        firstUpstream.received.clear();
        for (int i = 0; i < 60; i++) {
            assertEquals(
                    200,
                    exchange(predecessor.address(), SidecarFixture.readRequest("a" + i, 900))
                            .status());
        }
        assertEquals(0, firstUpstream.received.size());
        assertEquals(200, operatorCall(successor, "PUT /control/in-service"));
        await("the predecessor does not apply the successor's operator call within 3 s", () -> {
            for (int i = 0; i < 20; i++) {
                if (!isInService(successor)) {
                    return false;
                }
            }
            return true;
        });
        assertEquals(200, operatorCall(predecessor, "PUT /control/upstreams/s-1/offline"));
        awaitAll("with both upstreams disabled, not every request is rejected at both processes", successor, 429);
        assertEquals(200, operatorCall(successor, "PUT /control/upstreams/s-1/online"));
        awaitAll("with an upstream enabled again, not every request is served at both processes", successor, 200);
        firstUpstream.received.clear();
        predecessor.drain();
        predecessor.close();
        for (int i = 0; i < 40; i++) {
            assertEquals(
                    200,
                    exchange(successor.address(), SidecarFixture.readRequest("b" + i, 900))
                            .status());
        }
        assertEquals(0, firstUpstream.received.size());
        assertEquals(200, operatorCall(successor, "PUT /control/upstreams/s-0/online"));
        successor.close();
        Sidecar third = start(addressOf(successor));
        await("the enabled upstream gets no request from the third process", () -> {
            exchange(third.address(), SidecarFixture.readRequest("c" + System.nanoTime(), 900));
            return firstUpstream.received.size() > 0;
        });
        third.close();
    }

    @Test
    void anUpstreamListedOnlyForThePredecessorCanBeDisabledAtTheSuccessor() throws Exception {
        Sidecar predecessor = start("127.0.0.1:0");
        discovery.next();
        String update = "{\"seq\":8,\"whole\":false,\"hosts\":["
                + SidecarFixture.endpointRow("s-9", secondUpstream.address(), "SERVING") + "]}";
        answer("200 OK", update).run(null, discovery.accepted.get(0));
        await(
                "the upstream is not listed within 3 s",
                () -> operatorCall(predecessor, "PUT /control/upstreams/s-9/offline") == 200);
        Thread.sleep(400);
        Sidecar successor = start(addressOf(predecessor));
        assertEquals(200, operatorCall(successor, "PUT /control/upstreams/s-9/offline"));
        assertEquals(404, operatorCall(successor, "PUT /control/upstreams/s-8/offline"));
        predecessor.close();
        successor.close();
    }

    @Test
    void withoutAServingSuccessorADrainTakesItsFullTime() throws Exception {
        Sidecar predecessor = start("127.0.0.1:0");
        // The files of a process that was killed while it served; its lock is free.
        String prefix = "portrelay-" + Long.toHexString(Hash.of("t")) + "-7.";
        Files.write(dir.resolve(prefix + "lock"), new byte[0]);
        Path predecessorState;
        try (Stream<Path> files = Files.list(dir)) {
            predecessorState = files.filter(f -> f.toString().endsWith(".state"))
                    .findFirst()
                    .orElseThrow();
        }
        Files.copy(predecessorState, dir.resolve(prefix + "state"));
        long start = System.nanoTime();
        Thread drain = new Thread(predecessor::drain);
        drain.start();
        Thread.sleep(300);
        // Without a successor it listens for half a second more.
        assertEquals(
                200,
                exchange(predecessor.address(), SidecarFixture.readRequest("a", 900))
                        .status());
        drain.join();
        assertTrue(System.nanoTime() - start > 0.69e9);
        predecessor.close();
    }

    @Test
    void aTruncatedForeignOrUnknownStateFileIsLoggedOnceAndIgnored() throws Exception {
        String prefix = "portrelay-" + Long.toHexString(Hash.of("t")) + "-";
        List<String> invalidStates = List.of(
                "{\"form\":1,\"name\":\"t\",\"cal",
                "{\"form\":2,\"name\":\"t\"}",
                "{\"form\":1,\"name\":\"other\",\"out-of-service\":true,\"out-of-service-at\":9}",
                "[]",
                "",
                "{\"form\":1,\"name\":\"t\",\"out-of-service\":true,\"out-of-service-at\":\"now\"}");
        for (int i = 0; i < invalidStates.size(); i++) {
            Files.write(dir.resolve(prefix + (i + 1) + ".lock"), new byte[0]);
            Files.write(
                    dir.resolve(prefix + (i + 1) + ".state"),
                    invalidStates.get(i).getBytes(UTF_8));
        }
        Files.write(dir.resolve(prefix + "x.lock"), new byte[0]);
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        Sidecar sidecar = start("127.0.0.1:0", log);
        assertTrue(isInService(sidecar));
        Thread.sleep(700);
        sidecar.close();
        String text = log.toString(ISO_8859_1);
        assertEquals(
                invalidStates.size(),
                text.lines()
                        .filter(each -> each.contains("handover state ignored: process="))
                        .count(),
                text);
    }

    @Test
    void aSuccessorThatCannotListenLeavesThePredecessorServing() throws Exception {
        Sidecar predecessor = start("127.0.0.1:0");
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String takenAddress = "127.0.0.1:" + taken.getLocalPort();
            String error =
                    assertThrows(IOException.class, () -> start(takenAddress)).getMessage();
            assertTrue(error.startsWith("listen"), error);
        }
        assertTrue(isInService(predecessor));
        assertEquals(
                200,
                exchange(predecessor.address(), SidecarFixture.readRequest("a", 900))
                        .status());
        predecessor.close();
    }

    /** Guards against connection limits that stay halved after the sibling process has ended. */
    @Test
    void aSuccessorAcceptsAllClientsOnceItsPredecessorHasEnded() throws Exception {
        OutputStream discardedLog = OutputStream.nullOutputStream();
        Sidecar predecessor = start("127.0.0.1:0", discardedLog, 128);
        Sidecar successor = start(addressOf(predecessor), discardedLog, 128);
        predecessor.drain();
        predecessor.close();
        Thread.sleep(400);
        List<Socket> clients = new ArrayList<>();
        for (int i = 0; i < 60; i++) {
            Socket client = new Socket(
                    successor.address().getAddress(), successor.address().getPort());
            client.setSoTimeout(1500);
            clients.add(client);
        }
        for (int i = 0; i < clients.size(); i++) {
            clients.get(i)
                    .getOutputStream()
                    .write(SidecarFixture.readRequest("a" + i, 900).getBytes(ISO_8859_1));
        }
        for (Socket client : clients) {
            assertTrue(Message.read(client.getInputStream()).status() > 0);
            assertTrue(!client.isClosed());
        }
        for (Socket client : clients) {
            client.close();
        }
        successor.close();
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
        Path missing = dir.resolve("none");
        String json = SidecarFixture.config(discovery.address(), "{\"seq\":1,\"hosts\":[]}", 512);
        Sidecar sidecar = Sidecar.start(SidecarConfig.parse(json.getBytes(UTF_8)), new PrintStream(log), missing);
        assertTrue(isInService(sidecar));
        sidecar.close();
        assertTrue(log.toString(ISO_8859_1).contains("handover disabled: directory="));
    }
}
