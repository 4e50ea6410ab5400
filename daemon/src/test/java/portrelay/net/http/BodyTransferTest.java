package portrelay.net.http;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.undertow.server.DefaultByteBufferPool;
import java.lang.reflect.Proxy;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import java.util.function.BiFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.MonotonicClock;

/**
 * Tests that a listener can stop a {@link BodyTransfer} from within a callback, and that one does not hold the loop.
 */
@Timeout(20)
class BodyTransferTest {

    private static final TransferTimeouts TIMEOUTS = new TransferTimeouts(5, 0, 5);
    private static final BodyTransfer.Size UNKNOWN_LENGTH = new BodyTransfer.Size(-1, 1000);

    /** Stops the transfer after its first write, and counts all other calls. */
    private static class StoppingListener implements BodyTransfer.Listener {
        private BodyTransfer transfer;
        private int otherCalls;

        @Override
        public void transferred() {
            transfer.stop();
        }

        @Override
        public void completed() {
            otherCalls++;
        }

        @Override
        public void sourceFailed() {
            otherCalls++;
        }

        @Override
        public void sinkFailed() {
            otherCalls++;
        }

        @Override
        public void waitingFor(BodyTransfer.Side side) {
            otherCalls++;
        }
    }

    /** Guards against a read, and a buffer that is never released, after the listener has stopped the transfer. */
    @Test
    void transferStoppedByItsListenerReadsNothingMore() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        FutureTask<Integer> unread = new FutureTask<>(() -> {
            ChannelPipe<StreamSourceChannel, StreamSinkChannel> from =
                    loop.thread().createHalfDuplexPipe();
            ChannelPipe<StreamSourceChannel, StreamSinkChannel> to =
                    loop.thread().createHalfDuplexPipe();
            from.getRightSide().write(ByteBuffer.wrap("behind".getBytes(US_ASCII)));
            StoppingListener listener = new StoppingListener();
            listener.transfer = new BodyTransfer(
                    loop,
                    new DefaultByteBufferPool(true, 1024),
                    from.getLeftSide(),
                    to.getRightSide(),
                    "begun".getBytes(US_ASCII),
                    UNKNOWN_LENGTH,
                    TIMEOUTS,
                    listener);
            listener.transfer.start();
            assertEquals(0, listener.otherCalls, "calls of the listener after it stopped the transfer");
            return from.getLeftSide().read(ByteBuffer.allocate(100));
        });
        loop.execute(unread);
        assertEquals("behind".length(), unread.get(5, TimeUnit.SECONDS));
        worker.shutdownNow();
    }

    /** Guards against a transfer between a fast source and a fast sink that keeps the loop from polling. */
    @Test
    void theLoopPollsWhileATransferAlwaysHasBytes() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        CountDownLatch polled = new CountDownLatch(1);
        loop.execute(() -> {
            StoppingListener neverStopping = new StoppingListener() {
                @Override
                public void transferred() {
                    // The transfer goes on.
                }
            };
            new BodyTransfer(
                            loop,
                            new DefaultByteBufferPool(true, 1024),
                            alwaysReady(StreamSourceChannel.class),
                            alwaysReady(StreamSinkChannel.class),
                            new byte[0],
                            new BodyTransfer.Size(-1, Long.MAX_VALUE),
                            TIMEOUTS,
                            neverStopping)
                    .start();
            loop.afterPoll(polled::countDown);
        });
        boolean hasPolled = polled.await(10, TimeUnit.SECONDS);
        worker.shutdownNow();
        assertTrue(hasPolled, "the loop has not polled");
    }

    /** Guards against a last byte that is with the receiver but counts as not sent, as the transfer fails after it. */
    @Test
    void theLastByteCountsAsSentOnceTheSinkHasTakenItAlthoughTheTransferFails() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        int length = 300_000;
        FutureTask<Boolean> lastByteSent = new FutureTask<>(() -> {
            StoppingListener neverStopping = new StoppingListener() {
                @Override
                public void transferred() {
                    // The transfer goes on.
                }
            };
            // The source has more bytes than the body, so that the transfer fails once all of the body is written.
            BodyTransfer transfer = new BodyTransfer(
                    loop,
                    new DefaultByteBufferPool(true, 1000),
                    alwaysReady(StreamSourceChannel.class),
                    alwaysReady(StreamSinkChannel.class),
                    new byte[0],
                    new BodyTransfer.Size(length, length),
                    TIMEOUTS,
                    neverStopping);
            transfer.start();
            while (transfer.bytesRead() < length) {
                assertFalse(transfer.isLastByteSent(), "sent before it was written");
                transfer.start();
            }
            assertEquals(1, neverStopping.otherCalls, "the transfer has not failed");
            return transfer.isLastByteSent();
        });
        loop.execute(lastByteSent);
        boolean isLastByteSent = lastByteSent.get(5, TimeUnit.SECONDS);
        worker.shutdownNow();
        assertTrue(isLastByteSent);
    }

    /**
     * Guards against a response that is cut off while its last bytes wait for room: a sink that was told the end is not
     * open any more, although its connection is.
     */
    @Test
    void aTransferWhoseEndIsNotFlushedGoesOnWaiting() throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        StreamSourceChannel ended = channel(StreamSourceChannel.class, (method, arguments) -> -1);
        StreamSinkChannel unflushed = channel(StreamSinkChannel.class, (method, arguments) -> {
            if (arguments != null && arguments[0] instanceof ByteBuffer buffer) {
                return takeAll(buffer);
            }
            return method.equals("flush") || method.equals("isOpen") ? false : null;
        });
        CompletableFuture<Integer> calls = new CompletableFuture<>();
        loop.execute(() -> {
            StoppingListener neverStopping = new StoppingListener() {
                @Override
                public void transferred() {
                    // The transfer goes on.
                }
            };
            DefaultByteBufferPool pool = new DefaultByteBufferPool(true, 1000);
            new BodyTransfer(loop, pool, ended, unflushed, new byte[10], UNKNOWN_LENGTH, TIMEOUTS, neverStopping)
                    .start();
            loop.schedule(1.2, () -> calls.complete(neverStopping.otherCalls));
        });
        int waitingForTheSink = 1;
        assertEquals(waitingForTheSink, calls.get(10, TimeUnit.SECONDS));
        worker.shutdownNow();
    }

    private static int takeAll(ByteBuffer buffer) {
        int count = buffer.remaining();
        buffer.position(buffer.limit());
        return count;
    }

    /** Returns a channel that fills or takes each buffer as a whole, and does nothing else. */
    private static <T> T alwaysReady(Class<T> type) {
        return channel(
                type,
                (method, arguments) ->
                        arguments != null && arguments[0] instanceof ByteBuffer buffer ? takeAll(buffer) : null);
    }

    /** Returns a channel whose methods return what the function returns for their name and arguments. */
    private static <T> T channel(Class<T> type, BiFunction<String, Object[], Object> behavior) {
        Object channel =
                Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (self, method, arguments) -> {
                    if (method.getName().endsWith("Setter")) {
                        return new ChannelListener.SimpleSetter<>();
                    }
                    Object result = behavior.apply(method.getName(), arguments);
                    return method.getReturnType() == void.class ? null : result;
                });
        return type.cast(channel);
    }
}
