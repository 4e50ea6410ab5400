package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.answer;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.MonotonicClock;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.net.peer.PeerActor;
import portrelay.settings.InvalidSettingException;

/** Messages between sidecars over loopback datagrams: the other sidecar is a socket of the test. */
@Timeout(60)
class PeersNetTest {

    private static final InetAddress HOME = InetAddress.getLoopbackAddress();

    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(HOME, 0));
        socket.setSoTimeout(5000);
        return socket;
    }

    private static String at(int port) {
        return "\"127.0.0.1:" + port + "\"";
    }

    /** The first of two sidecars; the second has the given port. */
    private static UnaryOperator<String> peers(int ours, int other) {
        return config -> config.replace("\"siblings\":1", "\"siblings\":2,\"me\":0")
                .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,")
                .replace(
                        "\"seed\"",
                        "\"peer_listen\":" + at(ours) + ",\"peers\":[" + at(ours) + "," + at(other) + "],\"seed\"");
    }

    private static int freePort() throws Exception {
        try (DatagramSocket free = socket()) {
            return free.getLocalPort();
        }
    }

    private static String next(DatagramSocket at) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        at.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), ISO_8859_1);
    }

    private static void say(DatagramSocket from, int to, byte[] bytes) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, HOME, to));
    }

    @Test
    void attemptStartsAndEndsAreBroadcastAndHeeded() throws Exception {
        int port = freePort();
        try (DatagramSocket other = socket();
                SidecarFixture fixture = new SidecarFixture(
                        1024, "{}", peers(port, other.getLocalPort()), answer("200 OK", "u"), answer("200 OK", "u"))) {
            assertEquals(
                    200, fixture.exchange(SidecarFixture.readRequest("a", 900)).status());
            String begun = next(other);
            String ended = next(other);
            assertEquals(4, begun.length());
            assertEquals(5, ended.length());
            assertEquals(begun.substring(1), ended.substring(1, 4));
            int busy = fixture.upstreams.get(0).received.isEmpty() ? 1 : 0;
            for (int i = 0; i < 3; i++) {
                say(other, port, begun.getBytes(ISO_8859_1));
            }
            // Received before the answer to this one, as one loop reads both.
            assertEquals(
                    200, fixture.exchange(SidecarFixture.readRequest("b", 900)).status());
            int before = fixture.upstreams.get(busy).received.size();
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        200,
                        fixture.exchange(SidecarFixture.readRequest("c" + i, 900))
                                .status());
            }
            assertEquals(before, fixture.upstreams.get(busy).received.size(), "sent where the other one waits");
        }
    }

    /** Guards against others that can reach the port. */
    @Test
    void messagesFromStrangersAndUnreadableOrLongOnesAreDropped() throws Exception {
        int port = freePort();
        try (DatagramSocket other = socket();
                DatagramSocket stranger = socket();
                SidecarFixture fixture = new SidecarFixture(
                        1024, "{}", peers(port, other.getLocalPort()), answer("200 OK", "u"), answer("200 OK", "u"))) {
            assertEquals(
                    200, fixture.exchange(SidecarFixture.readRequest("a", 900)).status());
            String begun = next(other);
            int used = fixture.upstreams.get(0).received.isEmpty() ? 1 : 0;
            for (int i = 0; i < 3; i++) {
                say(stranger, port, begun.getBytes(ISO_8859_1));
                say(other, port, (begun + "\u0001").getBytes(ISO_8859_1));
                say(other, port, (begun + "x".repeat(300)).getBytes(ISO_8859_1));
                say(other, port, new byte[0]);
            }
            for (int i = 0; i < 40; i++) {
                assertEquals(
                        200,
                        fixture.exchange(SidecarFixture.readRequest("b" + i, 900))
                                .status());
            }
            assertTrue(fixture.upstreams.get(used).received.size() > 1, "a stranger's message was used");
        }
    }

    /** Guards the form of messages, printable ASCII, at its upper end: 0x7f is a control character. */
    @Test
    void noControlCharacterReachesTheListener() throws Exception {
        int port = freePort();
        try (DatagramSocket other = socket()) {
            String text = peers(port, other.getLocalPort())
                    .apply(SidecarFixture.config("127.0.0.1:1", "{\"seq\":1,\"hosts\":[]}", 1024));
            SidecarConfig config = SidecarConfig.parse(text.getBytes(ISO_8859_1));
            XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
            EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
            BlockingQueue<String> received = new LinkedBlockingQueue<>();
            PeerActor actor = new PeerActor(
                    loop,
                    new Log(new PrintStream(OutputStream.nullOutputStream(), true, ISO_8859_1), "t"),
                    worker,
                    config.peers(),
                    2,
                    (from, message) -> received.add(message));
            actor.start();
            BlockedEventLoop.awaitPolls(loop);
            for (String each : List.of("a\u007f", "\u001fb", "~ c")) {
                say(other, port, each.getBytes(ISO_8859_1));
            }
            assertEquals("~ c", received.poll(5, TimeUnit.SECONDS));
            actor.close();
            worker.shutdownNow();
        }
    }

    /** The previous process still has the address: the successor serves, and binds later. */
    @Test
    void aTakenPeerAddressDoesNotPreventServing() throws Exception {
        try (DatagramSocket other = socket();
                DatagramSocket before = socket()) {
            int port = before.getLocalPort();
            try (SidecarFixture fixture =
                    new SidecarFixture(1024, "{}", peers(port, other.getLocalPort()), answer("200 OK", "u"))) {
                assertEquals(
                        200,
                        fixture.exchange(SidecarFixture.readRequest("a", 900)).status());
                before.close();
                for (int i = 0; other.getSoTimeout() > 0; i++) {
                    assertEquals(
                            200,
                            fixture.exchange(SidecarFixture.readRequest("b" + i, 900))
                                    .status());
                    other.setSoTimeout(100);
                    try {
                        assertEquals('!', next(other).charAt(0));
                        break;
                    } catch (java.net.SocketTimeoutException e) {
                        assertTrue(i < 100, "never bound");
                    }
                }
            }
        }
    }

    // ---- Configuration ------------------------------------------------------------------------------------

    @Test
    void invalidPeerAddressesAreNamedAndAnIncompleteConfigurationIsNone() throws Exception {
        String config = SidecarFixture.config("127.0.0.1:1", "{\"seq\":1,\"hosts\":[]}", 1024);
        String good = peers(7946, 7947).apply(config);
        assertEquals(
                2,
                SidecarConfig.parse(good.getBytes(ISO_8859_1))
                        .peers()
                        .sidecars()
                        .size());
        assertNamed("peer_listen", good.replace("peer_listen\":\"127.0.0.1", "peer_listen\":\"here"));
        assertNamed("peers[1]", good.replace("127.0.0.1:7947", "127.0.0.1:79470"));
        assertNamed("peers[1]", good.replace(at(7947), "7947"));
        assertNamed("peers", good.replace("\"peers\":[" + at(7946) + "," + at(7947) + "]", "\"peers\":{}"));
        assertNamed("peers_all", good.replace("\"seed\"", "\"peers_all\":\"all\",\"seed\""));
        SidecarConfig deaf =
                SidecarConfig.parse(good.replace("peer_listen", "peer_listens").getBytes(ISO_8859_1));
        assertNull(deaf.peers());
        assertTrue(deaf.ignoredSettings().get(0).startsWith("settings.allowed.peers"));
        assertFalse(SidecarConfig.parse(good.getBytes(ISO_8859_1)).ignoredSettings().stream()
                .anyMatch(each -> each.startsWith("settings.allowed.peers")));
        assertTrue(
                Sidecar.check(SidecarConfig.parse(
                        good.replace("\"siblings\":2", "\"siblings\":1").getBytes(ISO_8859_1))),
                "more peers than sidecars");
    }

    private static void assertNamed(String field, String json) {
        InvalidSettingException e =
                assertThrows(InvalidSettingException.class, () -> SidecarConfig.parse(json.getBytes(ISO_8859_1)));
        assertTrue(e.getMessage().startsWith(field + ":"), e.getMessage());
    }
}
