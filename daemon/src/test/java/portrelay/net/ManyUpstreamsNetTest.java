package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.answer;

import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.SidecarFixture.ScriptedServer;

/** Tests a sidecar with 1,200 upstreams in its endpoint list and 1,200 peers in its configuration, over sockets. */
@Timeout(60)
class ManyUpstreamsNetTest {

    private static final int COUNT = 1_200;
    /** The first of the ports of the other peers. Nothing listens on them: messages to them are lost. */
    private static final int FIRST_UNUSED_PORT = 61_000;

    private static String rows(Function<Integer, String> row) {
        return IntStream.range(0, COUNT).mapToObj(row::apply).collect(Collectors.joining(","));
    }

    private static String peers(int ownPort) {
        String others = IntStream.range(1, COUNT)
                .mapToObj(i -> "\"127.0.0.1:" + (FIRST_UNUSED_PORT + i) + "\"")
                .collect(Collectors.joining(","));
        return "\"peer_listen\":\"127.0.0.1:" + ownPort + "\",\"peers\":[\"127.0.0.1:" + ownPort + "\"," + others + "]";
    }

    private static int freePort() throws Exception {
        try (DatagramSocket socket = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return socket.getLocalPort();
        }
    }

    @Test
    void requestsAreServedWithManyUpstreamsAndPeersAndAChangeOfEveryRowIsApplied() throws Exception {
        int port = freePort();
        try (ScriptedServer oldServer = new ScriptedServer(answer("200 OK", "before"));
                ScriptedServer newServer = new ScriptedServer(answer("200 OK", "after"));
                SidecarFixture fixture = new SidecarFixture(
                        1024,
                        "{}",
                        config -> config.replace("\"siblings\":1", "\"siblings\":" + COUNT + ",\"me\":0")
                                .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,")
                                .replace("\"seed\"", peers(port) + ",\"seed\"")
                                .replace(
                                        "\"hosts\":[]",
                                        "\"hosts\":["
                                                + rows(i -> SidecarFixture.endpointRow(
                                                        "s-" + i, oldServer.address(), "SERVING"))
                                                + "]"))) {
            assertEquals(
                    "before",
                    new String(
                            fixture.exchange(SidecarFixture.readRequest("a", 900))
                                    .body(),
                            ISO_8859_1));
            fixture.discovery.next();
            String movedRows = rows(i -> SidecarFixture.endpointRow("s-" + i, newServer.address(), "SERVING"));
            answer("200 OK", "{\"seq\":9,\"whole\":true,\"hosts\":[" + movedRows + "]}")
                    .run(null, fixture.discovery.accepted.get(0));
            String nextWatch = fixture.discovery.next().startLine();
            assertTrue(nextWatch.startsWith("GET /discovery/hosts?index=9&wait="), nextWatch);
            for (String id : List.of("b", "c", "d")) {
                assertEquals(
                        "after",
                        new String(
                                fixture.exchange(SidecarFixture.readRequest(id, 900))
                                        .body(),
                                ISO_8859_1));
            }
        }
    }
}
