package portrelay.net;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.logging.LogManager;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/** Operators disable an upstream at all sidecars of a deployment and enable it again. */
@Timeout(120)
class EnabledUpstreamNetTest {

    private static final int SIDECARS = 54;
    /** An upstream that can serve 20 requests fails at more than 20 + 3 * sqrt(20) + 3. */
    private static final int MAX_REQUESTS = 36;

    private final List<Sidecar> sidecars = new ArrayList<>();

    /** Guards against a request of each sidecar at once, as each takes the call for a leave to send one. */
    @Test
    void anEnabledUpstreamDoesNotGetARequestOfEachSidecarAtOnce() throws Exception {
        LogManager.getLogManager().reset();
        try (SidecarFixture.ScriptedServer discovery = new SidecarFixture.ScriptedServer(SidecarFixture.SILENT);
                SidecarFixture.ScriptedServer enabled =
                        new SidecarFixture.ScriptedServer(SidecarFixture.answer("200 OK", "e"));
                SidecarFixture.ScriptedServer other =
                        new SidecarFixture.ScriptedServer(SidecarFixture.answer("200 OK", "o"))) {
            String rows = SidecarFixture.endpointRow("s-0", enabled.address(), "SERVING") + ","
                    + SidecarFixture.endpointRow("s-1", other.address(), "SERVING");
            for (int i = 0; i < SIDECARS; i++) {
                sidecars.add(start(discovery.address(), "{\"seq\":7,\"whole\":true,\"hosts\":[" + rows + "]}", i));
            }
            for (int round = 1; round <= 2; round++) {
                callAll("offline");
                enabled.received.clear();
                callAll("online");
                for (Sidecar each : sidecars) {
                    String request = SidecarFixture.readRequest("r" + round, 900);
                    assertEquals(200, exchange(each.address(), request).status());
                }
                int count = enabled.received.size();
                assertTrue(count <= MAX_REQUESTS, "round " + round + ": requests " + count + " of " + SIDECARS);
            }
        } finally {
            for (Sidecar each : sidecars) {
                each.close();
            }
        }
    }

    private static Sidecar start(String discovery, String list, int index) throws Exception {
        String config = SidecarFixture.config(discovery, list, 64)
                .replace("\"siblings\":1", "\"siblings\":" + SIDECARS)
                .replace("\"cold-us\":1000000", "\"cold-us\":20000000")
                .replace("\"seed\":\"8c1f30d2", String.format("\"seed\":\"%08x", index + 1))
                .replace("\"name\":\"t\"", "\"name\":\"t" + index + "\"");
        return Sidecar.start(
                SidecarConfig.parse(config.getBytes(UTF_8)), new PrintStream(OutputStream.nullOutputStream()));
    }

    private void callAll(String state) throws Exception {
        for (Sidecar each : sidecars) {
            String call = "PUT /control/upstreams/s-0/" + state + " HTTP/1.1\r\nHost: a\r\n\r\n";
            assertEquals(2, exchange(each.adminAddress(), call).status() / 100);
        }
    }

    private static SidecarFixture.Message exchange(InetSocketAddress address, String request) throws Exception {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(5000);
            return SidecarFixture.exchange(socket, request);
        }
    }
}
