package portrelay.net.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.MonotonicClock;

/** Tests which connections a {@link Connector} passes on. */
class ConnectorTest {

    /**
     * Guards against a request that the sidecar sends to itself: where nobody listens at a port from which the system
     * takes those of outgoing connections, TCP may connect a socket to itself.
     */
    @Test
    void aConnectionToItselfIsAFailedConnect() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
            Connector connector = new Connector(
                    loop,
                    new DefaultByteBufferPool(true, 16384),
                    1,
                    n -> {},
                    // Binds to the port to which it connects, which the system does by chance.
                    (address, opened, options) ->
                            loop.thread().openStreamConnection(address, address, opened, null, options));
            CompletableFuture<String> outcome = new CompletableFuture<>();
            loop.execute(() -> connector.connect(
                    unusedAddress(), 5, connection -> outcome.complete("opened"), () -> outcome.complete("failed")));
            assertEquals("failed", outcome.get(10, TimeUnit.SECONDS));
            CompletableFuture<Integer> openCount = new CompletableFuture<>();
            loop.execute(() -> openCount.complete(connector.openCount()));
            assertEquals(0, openCount.get(10, TimeUnit.SECONDS));
        } finally {
            worker.shutdownNow();
        }
    }

    private static InetSocketAddress unusedAddress() {
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return (InetSocketAddress) listener.getLocalSocketAddress();
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
