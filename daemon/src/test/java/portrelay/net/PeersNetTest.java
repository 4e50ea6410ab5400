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

/** Messages between sidecars in datagrams over loopback; a socket of the test plays the other sidecar. */
@Timeout(60)
class PeersNetTest {

    private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

    private static DatagramSocket socket() throws Exception {
        DatagramSocket socket = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0));
        socket.setSoTimeout(5000);
        return socket;
    }

    private static String quotedAddress(int port) {
        return "\"127.0.0.1:" + port + "\"";
    }

    /** Configures the first of two sidecars on the port {@code ours}; the second has the port {@code other}. */
    private static UnaryOperator<String> withPeers(int ours, int other) {
        return config -> config.replace("\"siblings\":1", "\"siblings\":2,\"me\":0")
                .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,")
                .replace(
                        "\"seed\"",
                        "\"peer_listen\":" + quotedAddress(ours) + ",\"peers\":[" + quotedAddress(ours) + ","
                                + quotedAddress(other) + "],\"seed\"");
    }

    private static int freePort() throws Exception {
        try (DatagramSocket free = socket()) {
            return free.getLocalPort();
        }
    }

    private static String receive(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        return new String(packet.getData(), 0, packet.getLength(), ISO_8859_1);
    }

    private static void send(DatagramSocket from, int to, byte[] bytes) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, LOOPBACK, to));
    }

    @Test
    void attemptEventsAreSentToPeersAndThoseOfPeersCountAsLoad() throws Exception {
        int port = freePort();
        try (DatagramSocket other = socket();
                SidecarFixture fixture = new SidecarFixture(
                        1024,
                        "{}",
                        withPeers(port, other.getLocalPort()),
                        answer("200 OK", "u"),
                        answer("200 OK", "u"))) {
            assertEquals(
                    200, fixture.exchange(SidecarFixture.readRequest("a", 900)).status());
            String startMessage = receive(other);
            String endMessage = receive(other);
            assertEquals(4, startMessage.length());
            assertEquals(5, endMessage.length());
            assertEquals(startMessage.substring(1), endMessage.substring(1, 4));
            int loadedUpstream = fixture.upstreams.get(0).received.isEmpty() ? 1 : 0;
            for (int i = 0; i < 3; i++) {
                send(other, port, startMessage.getBytes(ISO_8859_1));
            }
            // The messages are handled before this answer, as one loop reads both.
            assertEquals(
                    200, fixture.exchange(SidecarFixture.readRequest("b", 900)).status());
            int previous = fixture.upstreams.get(loadedUpstream).received.size();
            for (int i = 0; i < 12; i++) {
                assertEquals(
                        200,
                        fixture.exchange(SidecarFixture.readRequest("c" + i, 900))
                                .status());
            }
            assertEquals(
                    previous,
                    fixture.upstreams.get(loadedUpstream).received.size(),
                    "sent to the upstream at which the other sidecar's requests wait");
        }
    }

    /** Guards against messages of any other process that can reach the port. */
    @Test
    void messagesFromUnknownSendersAndUnreadableOrLongMessagesAreDropped() throws Exception {
        int port = freePort();
        try (DatagramSocket other = socket();
                DatagramSocket unknownSender = socket();
                SidecarFixture fixture = new SidecarFixture(
                        1024,
                        "{}",
                        withPeers(port, other.getLocalPort()),
                        answer("200 OK", "u"),
                        answer("200 OK", "u"))) {
            assertEquals(
                    200, fixture.exchange(SidecarFixture.readRequest("a", 900)).status());
            String startMessage = receive(other);
            int firstUpstream = fixture.upstreams.get(0).received.isEmpty() ? 1 : 0;
            for (int i = 0; i < 3; i++) {
                send(unknownSender, port, startMessage.getBytes(ISO_8859_1));
                send(other, port, (startMessage + "\u0001").getBytes(ISO_8859_1));
                send(other, port, (startMessage + "x".repeat(300)).getBytes(ISO_8859_1));
                send(other, port, new byte[0]);
            }
            for (int i = 0; i < 40; i++) {
                assertEquals(
                        200,
                        fixture.exchange(SidecarFixture.readRequest("b" + i, 900))
                                .status());
            }
            assertTrue(
                    fixture.upstreams.get(firstUpstream).received.size() > 1,
                    "a message from an unknown sender or an unreadable one was applied");
        }
    }

    /** Guards against accepting 0x7f, the control character above printable ASCII, the form of messages. */
    @Test
    void noControlCharacterReachesTheListener() throws Exception {
        int port = freePort();
        try (DatagramSocket other = socket()) {
            String json = withPeers(port, other.getLocalPort())
                    .apply(SidecarFixture.config("127.0.0.1:1", "{\"seq\":1,\"hosts\":[]}", 1024));
            SidecarConfig config = SidecarConfig.parse(json.getBytes(ISO_8859_1));
            XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
            EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
            BlockingQueue<String> received = new LinkedBlockingQueue<>();
            PeerActor actor = new PeerActor(
                    loop,
                    new Log(new PrintStream(OutputStream.nullOutputStream(), true, ISO_8859_1), "t"),
                    worker,
                    config.peers(),
                    2,
                    (from, text) -> received.add(text));
            actor.start();
            BlockedEventLoop.awaitPolls(loop);
            for (String message : List.of("a\u007f", "\u001fb", "~ c")) {
                send(other, port, message.getBytes(ISO_8859_1));
            }
            assertEquals("~ c", received.poll(5, TimeUnit.SECONDS));
            actor.close();
            worker.shutdownNow();
        }
    }

    /** The previous process still holds the address: the successor serves, and binds it later. */
    @Test
    void aTakenPeerAddressDoesNotPreventServing() throws Exception {
        try (DatagramSocket other = socket();
                DatagramSocket previous = socket()) {
            int port = previous.getLocalPort();
            try (SidecarFixture fixture =
                    new SidecarFixture(1024, "{}", withPeers(port, other.getLocalPort()), answer("200 OK", "u"))) {
                assertEquals(
                        200,
                        fixture.exchange(SidecarFixture.readRequest("a", 900)).status());
                previous.close();
                for (int i = 0; other.getSoTimeout() > 0; i++) {
                    assertEquals(
                            200,
                            fixture.exchange(SidecarFixture.readRequest("b" + i, 900))
                                    .status());
                    other.setSoTimeout(100);
                    try {
                        assertEquals('!', receive(other).charAt(0));
                        break;
                    } catch (java.net.SocketTimeoutException e) {
                        assertTrue(i < 100, "the peer address was never bound");
                    }
                }
            }
        }
    }

    // ---- Configuration ------------------------------------------------------------------------------------

    @Test
    void invalidPeerAddressesAreReportedAndAnIncompleteConfigurationDisablesPeers() throws Exception {
        String config = SidecarFixture.config("127.0.0.1:1", "{\"seq\":1,\"hosts\":[]}", 1024);
        String valid = withPeers(7946, 7947).apply(config);
        assertEquals(
                2,
                SidecarConfig.parse(valid.getBytes(ISO_8859_1))
                        .peers()
                        .sidecars()
                        .size());
        assertReported("peer_listen", valid.replace("peer_listen\":\"127.0.0.1", "peer_listen\":\"here"));
        assertReported("peers[1]", valid.replace("127.0.0.1:7947", "127.0.0.1:79470"));
        assertReported("peers[1]", valid.replace(quotedAddress(7947), "7947"));
        assertReported(
                "peers",
                valid.replace("\"peers\":[" + quotedAddress(7946) + "," + quotedAddress(7947) + "]", "\"peers\":{}"));
        assertReported("peers_all", valid.replace("\"seed\"", "\"peers_all\":\"all\",\"seed\""));
        SidecarConfig withoutPeerListen =
                SidecarConfig.parse(valid.replace("peer_listen", "peer_listens").getBytes(ISO_8859_1));
        assertNull(withoutPeerListen.peers());
        assertTrue(withoutPeerListen.ignoredSettings().get(0).startsWith("settings.allowed.peers"));
        assertFalse(SidecarConfig.parse(valid.getBytes(ISO_8859_1)).ignoredSettings().stream()
                .anyMatch(each -> each.startsWith("settings.allowed.peers")));
        assertTrue(
                Sidecar.check(SidecarConfig.parse(
                        valid.replace("\"siblings\":2", "\"siblings\":1").getBytes(ISO_8859_1))),
                "a configuration with more peers than sidecars is not accepted");
    }

    private static void assertReported(String field, String json) {
        InvalidSettingException e =
                assertThrows(InvalidSettingException.class, () -> SidecarConfig.parse(json.getBytes(ISO_8859_1)));
        assertTrue(e.getMessage().startsWith(field + ":"), e.getMessage());
    }
}
