package portrelay.net.lifecycle;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.net.SidecarFixture;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.MonotonicClock;

class WarmUpTest {

    private static final int REQUESTS = 60;

    /** Guards against a warm-up that takes a large fleet's share of capacity and rejects its own requests. */
    @Test
    void warmUpRequestsAreServedInALargeFleet() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
            String config = SidecarFixture.config("127.0.0.1:1", "{\"seq\":1,\"hosts\":[]}", 1024)
                    .replace("\"siblings\":1", "\"siblings\":100");
            WarmUp warmUp = new WarmUp(
                    loop,
                    new DefaultByteBufferPool(true, 16384),
                    SidecarConfig.parse(config.getBytes(UTF_8)),
                    new WarmUp.Length(REQUESTS, 60));
            CompletableFuture<Integer> servedCount = new CompletableFuture<>();
            loop.execute(() -> warmUp.run(() -> servedCount.complete(warmUp.servedCount())));
            assertTrue(servedCount.get(60, TimeUnit.SECONDS) > 0);
            assertEquals(warmUp.answeredCount(), warmUp.servedCount());
        } finally {
            worker.shutdownNow();
        }
    }
}
