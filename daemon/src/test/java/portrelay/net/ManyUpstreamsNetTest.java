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

/** 1,200 upstreams in the list and 1,200 peers in the configuration, over sockets. */
@Timeout(60)
class ManyUpstreamsNetTest {

    private static final int MANY = 1_200;
    /** Ports that nobody listens at: messages to them are lost. */
    private static final int FIRST_UNUSED_PORT = 61_000;

    private static String rows(Function<Integer, String> row) {
        return IntStream.range(0, MANY).mapToObj(row::apply).collect(Collectors.joining(","));
    }

    private static String peers(int ours) {
        String others = IntStream.range(1, MANY)
                .mapToObj(i -> "\"127.0.0.1:" + (FIRST_UNUSED_PORT + i) + "\"")
                .collect(Collectors.joining(","));
        return "\"peer_listen\":\"127.0.0.1:" + ours + "\",\"peers\":[\"127.0.0.1:" + ours + "\"," + others + "]";
    }

    private static int freePort() throws Exception {
        try (DatagramSocket free = new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            return free.getLocalPort();
        }
    }

    @Test
    void manyUpstreamsAndPeersAreServedAndAChangeOfEveryRowIsFollowed() throws Exception {
        int port = freePort();
        try (ScriptedServer before = new ScriptedServer(answer("200 OK", "before"));
                ScriptedServer after = new ScriptedServer(answer("200 OK", "after"));
                SidecarFixture fixture = new SidecarFixture(
                        1024,
                        "{}",
                        config -> config.replace("\"siblings\":1", "\"siblings\":" + MANY + ",\"me\":0")
                                .replace("\"allowed\":{", "\"allowed\":{\"peers\":true,")
                                .replace("\"seed\"", peers(port) + ",\"seed\"")
                                .replace(
                                        "\"hosts\":[]",
                                        "\"hosts\":["
                                                + rows(i -> SidecarFixture.endpointRow(
                                                        "s-" + i, before.address(), "SERVING"))
                                                + "]"))) {
            assertEquals(
                    "before",
                    new String(
                            fixture.exchange(SidecarFixture.readRequest("a", 900))
                                    .body(),
                            ISO_8859_1));
            fixture.discovery.next();
            String moved = rows(i -> SidecarFixture.endpointRow("s-" + i, after.address(), "SERVING"));
            answer("200 OK", "{\"seq\":9,\"whole\":true,\"hosts\":[" + moved + "]}")
                    .run(null, fixture.discovery.accepted.get(0));
            String next = fixture.discovery.next().startLine();
            assertTrue(next.startsWith("GET /discovery/hosts?index=9&wait="), next);
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
