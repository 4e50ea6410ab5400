package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.SILENT;
import static portrelay.net.SidecarFixture.answer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.ScriptedServer;

/**
 * A process at the operating system's limit on descriptors, full of clients that only connect, while discovery is down.
 * Guards against descriptors that the sidecar needs for itself being lent to clients.
 */
@Timeout(120)
class DescriptorsTest {

    private static final int LIMIT = 192;
    private static final int CLIENTS = 300;

    @TempDir
    Path dir;

    /** Keeps so many silent connections open, or trying to open; one that is closed is opened again. */
    private static final class IdleClients implements AutoCloseable {
        private final List<Socket> all = new CopyOnWriteArrayList<>();
        private final AtomicInteger closed = new AtomicInteger();
        private final Thread thread;
        private volatile boolean isOver;

        IdleClients(int port) {
            thread = new Thread(() -> {
                while (!isOver) {
                    try {
                        if (all.size() < CLIENTS) {
                            Socket one = new Socket(InetAddress.getLoopbackAddress(), port);
                            one.setSoTimeout(1);
                            all.add(one);
                        } else {
                            all.removeIf(this::isClosed);
                        }
                    } catch (IOException e) {
                        closed.incrementAndGet();
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private boolean isClosed(Socket one) {
            try {
                if (one.getInputStream().read() >= 0) {
                    return false;
                }
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                // Reset: closed as well.
            }
            closed.incrementAndGet();
            return true;
        }

        @Override
        public void close() throws Exception {
            isOver = true;
            thread.join();
            for (Socket each : all) {
                each.close();
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket one = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return one.getLocalPort();
        }
    }

    private static Message ask(int port, String bytes) throws IOException {
        try (Socket one = new Socket(InetAddress.getLoopbackAddress(), port)) {
            one.setSoTimeout(10_000);
            one.getOutputStream().write(bytes.getBytes(ISO_8859_1));
            return Message.read(one.getInputStream());
        }
    }

    /** New connections may be closed unread meanwhile: then the client sends its request on another one. */
    private static int served(int port, String name) throws Exception {
        for (int i = 0; i < 50; i++) {
            try {
                Message got = ask(port, SidecarFixture.readRequest(name + i, 900));
                if (got != null && got.status() == 200) {
                    return 200;
                }
            } catch (IOException e) {
                // Closed unread.
            }
            Thread.sleep(50);
        }
        return 0;
    }

    private static void untilReady(int port) throws Exception {
        for (int i = 0; i < 600; i++) {
            try {
                if (ask(port, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200) {
                    return;
                }
            } catch (IOException | NullPointerException e) {
                // Not yet.
            }
            Thread.sleep(50);
        }
        throw new AssertionError("never ready");
    }

    @Test
    void whenDiscoveryIsBackItAndOperatorsAndUpstreamsGetADescriptor() throws Exception {
        int port = freePort();
        int adminPort = freePort();
        List<AutoCloseable> open = new ArrayList<>();
        ScriptedServer discovery = new ScriptedServer(SILENT);
        ScriptedServer first = new ScriptedServer(answer("200 OK", "first"));
        ScriptedServer second = new ScriptedServer(answer("200 OK", "second"));
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":["
                + SidecarFixture.endpointRow("s-0", first.address(), "SERVING") + "]}";
        Path file = dir.resolve("config.json");
        Files.writeString(
                file,
                SidecarFixture.config(discovery.address(), list, LIMIT)
                        .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"")
                        .replace("\"mgmt\":\"127.0.0.1:0\"", "\"mgmt\":\"127.0.0.1:" + adminPort + "\""));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Path log = dir.resolve("log");
        Process serve = new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n " + LIMIT + "; exec \"$@\"",
                        "sh",
                        java,
                        "-XX:TieredStopAtLevel=1",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "portrelay.cli.Main",
                        "serve",
                        "--config",
                        file.toString())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile())
                .start();
        try {
            untilReady(port);
            discovery.next();
            IdleClients clients = new IdleClients(port);
            open.add(clients);
            while (clients.all.size() < CLIENTS || clients.closed.get() < CLIENTS) {
                Thread.sleep(10);
            }
            int at = discovery.serverSocket.getLocalPort();
            discovery.close();
            // Some seconds, in which it polls in vain and clients take whatever descriptor is given back.
            Thread.sleep(3000);
            assertEquals(200, served(port, "away"), Files.readString(log));
            String next = "{\"seq\":9,\"whole\":true,\"hosts\":["
                    + SidecarFixture.endpointRow("s-1", second.address(), "SERVING") + "]}";
            ScriptedServer back = new ScriptedServer(SILENT, at);
            open.add(back);
            Message arrival = back.next();
            assertTrue(arrival.startLine().contains("/discovery/hosts"), arrival.startLine());
            answer("200 OK", next).run(null, back.accepted.get(back.accepted.size() - 1));
            assertTrue(back.next().startLine().contains("index=9"), "the change was not read");
            // A connect to an upstream that had no connection, and an operator's call.
            assertEquals(200, served(port, "back"), Files.readString(log));
            assertTrue(second.received.size() > 0, "not sent to the one of the new list");
            Message called = ask(adminPort, "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(200, called.status());
            assertTrue(serve.isAlive(), Files.readString(log));
        } finally {
            serve.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            for (AutoCloseable each : open) {
                each.close();
            }
            first.close();
            second.close();
        }
    }
}
