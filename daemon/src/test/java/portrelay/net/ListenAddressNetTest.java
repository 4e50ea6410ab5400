package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static portrelay.net.SidecarFixture.SILENT;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.SidecarFixture.ScriptedServer;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/** Tests a start while the address to listen at is taken. */
@Timeout(60)
class ListenAddressNetTest {

    /**
     * Guards against a process that does not start because some outgoing connection happens to have its port for a
     * moment: with thousands of upstreams there are many, from the same range of ports.
     */
    @Test
    void aProcessStartsOnceAnOutgoingConnectionHasLeftItsPort() throws Exception {
        ByteArrayOutputStream log = new ByteArrayOutputStream();
        try (ScriptedServer discovery = new ScriptedServer(SILENT);
                ScriptedServer other = new ScriptedServer(SILENT);
                Socket outgoing = new Socket()) {
            outgoing.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            outgoing.connect(other.serverSocket.getLocalSocketAddress());
            // Leaves no state in the kernel when it is closed.
            outgoing.setSoLinger(true, 0);
            int port = outgoing.getLocalPort();
            String list = "{\"seq\":7,\"whole\":true,\"hosts\":[]}";
            SidecarConfig config = SidecarConfig.parse(SidecarFixture.config(discovery.address(), list, 512)
                    .replace("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"127.0.0.1:" + port + "\"")
                    .getBytes(UTF_8));
            CompletableFuture<Sidecar> started = CompletableFuture.supplyAsync(() -> open(config, log));
            while (!log.toString(ISO_8859_1).contains("listen address in use") && !started.isDone()) {
                Thread.onSpinWait();
            }
            outgoing.close();
            try (Sidecar sidecar = started.get()) {
                assertEquals(port, sidecar.address().getPort());
            }
        }
    }

    private static Sidecar open(SidecarConfig config, ByteArrayOutputStream log) {
        try {
            return Sidecar.open(config, new PrintStream(log, true), null);
        } catch (Exception e) {
            throw new IllegalStateException(e);
        }
    }
}
