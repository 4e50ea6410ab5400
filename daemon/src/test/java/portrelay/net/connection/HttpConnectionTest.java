package portrelay.net.connection;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.MonotonicClock;

/** Tests which requests an {@link HttpConnection} reports as written. */
class HttpConnectionTest {

    /**
     * A cancellation may be in the mailbox when the response arrives. Guards against an executed request being reported
     * as not sent.
     */
    @Test
    void completedExchangeCountsAsWritten() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try (ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
            Connector connector = new Connector(loop, new DefaultByteBufferPool(true, 16384), 1, n -> {});
            CompletableFuture<Boolean> written = new CompletableFuture<>();
            HttpCall call = HttpCall.of(Methods.GET, "/", HttpCall.NO_BODY);
            call.headers().put(Headers.HOST, "u");
            loop.execute(() -> connector.connect(
                    (InetSocketAddress) listener.getLocalSocketAddress(),
                    5,
                    connection -> connection.exchange(call, 9, result -> written.complete(connection.isLastByteSent())),
                    () -> written.completeExceptionally(new AssertionError("the connection was not opened"))));
            try (Socket upstream = listener.accept()) {
                upstream.getInputStream().read();
                String response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                upstream.getOutputStream().write(response.getBytes(ISO_8859_1));
                assertTrue(written.get(5, TimeUnit.SECONDS));
            }
        } finally {
            worker.shutdownNow();
        }
    }
}
