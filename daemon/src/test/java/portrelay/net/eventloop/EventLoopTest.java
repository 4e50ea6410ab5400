package portrelay.net.eventloop;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** Tests what has been handled when a task runs that waits for a poll. */
@Timeout(30)
class EventLoopTest {

    private XnioWorker worker;
    private EventLoop loop;

    @BeforeEach
    void createLoop() throws Exception {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
    }

    @AfterEach
    void shutDown() {
        worker.shutdownNow();
    }

    /** Guards against a timeout that ends a call whose response came after the poll that a former task waits for. */
    @Test
    void aTaskWaitsForAPollOfItsOwnIfAnEarlierOneMayHaveBegunBefore() throws Exception {
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> trigger =
                worker.getIoThread().createHalfDuplexPipe();
        ChannelPipe<StreamSourceChannel, StreamSinkChannel> response =
                worker.getIoThread().createHalfDuplexPipe();
        AtomicBoolean isResponseHandled = new AtomicBoolean();
        AtomicBoolean wasResponseHandledFirst = new AtomicBoolean();
        CountDownLatch done = new CountDownLatch(1);
        response.getLeftSide().getReadSetter().set(source -> {
            isResponseHandled.set(true);
            source.suspendReads();
        });
        trigger.getLeftSide().getReadSetter().set(source -> {
            source.suspendReads();
            // The poll that has returned this event has also returned the marker of the task below.
            write(response.getRightSide());
            loop.afterPoll(() -> {
                wasResponseHandledFirst.set(isResponseHandled.get());
                done.countDown();
            });
        });
        loop.execute(() -> {
            trigger.getLeftSide().resumeReads();
            response.getLeftSide().resumeReads();
            write(trigger.getRightSide());
            loop.afterPoll(() -> {});
        });
        assertTrue(done.await(10, TimeUnit.SECONDS));
        assertTrue(wasResponseHandledFirst.get());
    }

    private static void write(StreamSinkChannel sink) {
        try {
            sink.write(ByteBuffer.wrap(new byte[1]));
        } catch (IOException e) {
            throw new AssertionError(e);
        }
    }
}
