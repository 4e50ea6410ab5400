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
 * Tests a process at the operating system's limit on descriptors while discovery is down.
 *
 * <p>Clients that connect and send nothing take every descriptor they can get. Guards against giving them those that
 * the sidecar needs for discovery, operator calls and upstreams.
 */
@Timeout(120)
class DescriptorsTest {

    private static final int DESCRIPTOR_LIMIT = 192;
    private static final int IDLE_CLIENTS = 300;

    @TempDir
    Path dir;

    /** Keeps {@link #IDLE_CLIENTS} silent connections open or attempted; replaces each one that is closed. */
    private static final class IdleClients implements AutoCloseable {
        private final List<Socket> all = new CopyOnWriteArrayList<>();
        private final AtomicInteger closedCount = new AtomicInteger();
        private final Thread thread;
        private volatile boolean isStopped;

        IdleClients(int port) {
            thread = new Thread(() -> {
                while (!isStopped) {
                    try {
                        if (all.size() < IDLE_CLIENTS) {
                            Socket client = new Socket(InetAddress.getLoopbackAddress(), port);
                            client.setSoTimeout(1);
                            all.add(client);
                        } else {
                            all.removeIf(this::isClosed);
                        }
                    } catch (IOException e) {
                        closedCount.incrementAndGet();
                    }
                }
            });
            thread.setDaemon(true);
            thread.start();
        }

        private boolean isClosed(Socket client) {
            try {
                if (client.getInputStream().read() >= 0) {
                    return false;
                }
            } catch (SocketTimeoutException e) {
                return false;
            } catch (IOException e) {
                // A reset is a close as well.
            }
            closedCount.incrementAndGet();
            return true;
        }

        @Override
        public void close() throws Exception {
            isStopped = true;
            thread.join();
            for (Socket client : all) {
                client.close();
            }
        }
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return socket.getLocalPort();
        }
    }

    private static Message exchange(int port, String bytes) throws IOException {
        try (Socket client = new Socket(InetAddress.getLoopbackAddress(), port)) {
            client.setSoTimeout(10_000);
            client.getOutputStream().write(bytes.getBytes(ISO_8859_1));
            return Message.read(client.getInputStream());
        }
    }

    /**
     * Returns 200 once a request is served, or 0 after 50 tries. The sidecar may close new connections unread; the
     * client then sends its request on another one.
     */
    private static int awaitServedStatus(int port, String name) throws Exception {
        for (int i = 0; i < 50; i++) {
            try {
                Message response = exchange(port, SidecarFixture.readRequest(name + i, 900));
                if (response != null && response.status() == 200) {
                    return 200;
                }
            } catch (IOException e) {
                // Closed unread: tries again.
            }
            Thread.sleep(50);
        }
        return 0;
    }

    private static void awaitReady(int port) throws Exception {
        for (int i = 0; i < 600; i++) {
            try {
                if (exchange(port, "GET /up HTTP/1.1\r\nHost: a\r\n\r\n").status() == 200) {
                    return;
                }
            } catch (IOException | NullPointerException e) {
                // Not ready yet.
            }
            Thread.sleep(50);
        }
        throw new AssertionError("the sidecar does not get ready");
    }

    @Test
    void atTheDescriptorLimitDiscoveryOperatorCallsAndUpstreamsStillGetADescriptor() throws Exception {
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
                SidecarFixture.config(discovery.address(), list, DESCRIPTOR_LIMIT)
                        .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"")
                        .replace("\"mgmt\":\"127.0.0.1:0\"", "\"mgmt\":\"127.0.0.1:" + adminPort + "\""));
        String java = Path.of(System.getProperty("java.home"), "bin", "java").toString();
        Path log = dir.resolve("log");
        Process process = new ProcessBuilder(
                        "sh",
                        "-c",
                        "ulimit -n " + DESCRIPTOR_LIMIT + "; exec \"$@\"",
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
            awaitReady(port);
            discovery.next();
            IdleClients clients = new IdleClients(port);
            open.add(clients);
            while (clients.all.size() < IDLE_CLIENTS || clients.closedCount.get() < IDLE_CLIENTS) {
                Thread.sleep(10);
            }
            int discoveryPort = discovery.serverSocket.getLocalPort();
            discovery.close();
            // Some seconds in which polls of discovery fail and the clients take each descriptor that is released.
            Thread.sleep(3000);
            assertEquals(200, awaitServedStatus(port, "away"), Files.readString(log));
            String nextList = "{\"seq\":9,\"whole\":true,\"hosts\":["
                    + SidecarFixture.endpointRow("s-1", second.address(), "SERVING") + "]}";
            ScriptedServer restarted = new ScriptedServer(SILENT, discoveryPort);
            open.add(restarted);
            Message poll = restarted.next();
            assertTrue(poll.startLine().contains("/discovery/hosts"), poll.startLine());
            answer("200 OK", nextList).run(null, restarted.accepted.get(restarted.accepted.size() - 1));
            assertTrue(restarted.next().startLine().contains("index=9"), "the new endpoint list was not read");
            // A connect to an upstream without a connection so far, and an operator call.
            assertEquals(200, awaitServedStatus(port, "back"), Files.readString(log));
            assertTrue(second.received.size() > 0, "the request was not sent to the upstream of the new list");
            Message response = exchange(adminPort, "GET /control/ready HTTP/1.1\r\nHost: a\r\n\r\n");
            assertEquals(200, response.status());
            assertTrue(process.isAlive(), Files.readString(log));
        } finally {
            process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
            for (AutoCloseable resource : open) {
                resource.close();
            }
            first.close();
            second.close();
        }
    }
}
