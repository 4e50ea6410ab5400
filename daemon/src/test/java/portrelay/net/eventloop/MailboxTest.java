package portrelay.net.eventloop;

import static java.nio.charset.StandardCharsets.US_ASCII;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

@Timeout(60)
class MailboxTest {

    private static final int POSTER_COUNT = 3;
    private static final int MESSAGES_PER_POSTER = 200_000;

    private final ByteArrayOutputStream logged = new ByteArrayOutputStream();
    private XnioWorker worker;
    private EventLoop loop;
    private Mailbox mailbox;

    @BeforeEach
    void open() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        mailbox = new Mailbox(loop, new Log(new PrintStream(logged, true), "t"));
    }

    @AfterEach
    void close() {
        worker.shutdownNow();
    }

    /**
     * Guards against the loss of a reloaded configuration (SIGHUP, handled on a separate thread) that is posted while
     * the loop posts messages too.
     */
    @Test
    void messagesOfEachThreadRunOnceAndInPostingOrder() throws Exception {
        CountDownLatch allRun = new CountDownLatch(POSTER_COUNT * MESSAGES_PER_POSTER);
        int[] nextMessageByPoster = new int[POSTER_COUNT];
        AtomicInteger outOfOrder = new AtomicInteger();
        List<Thread> posters = new ArrayList<>();
        for (int i = 0; i < POSTER_COUNT; i++) {
            int poster = i;
            posters.add(new Thread(() -> {
                for (int j = 0; j < MESSAGES_PER_POSTER; j++) {
                    int message = j;
                    mailbox.post(() -> {
                        outOfOrder.addAndGet(nextMessageByPoster[poster] == message ? 0 : 1);
                        nextMessageByPoster[poster] = message + 1;
                        allRun.countDown();
                    });
                }
            }));
        }
        posters.forEach(Thread::start);
        for (Thread poster : posters) {
            poster.join();
        }
        assertTrue(allRun.await(20, TimeUnit.SECONDS), "messages that never ran: " + allRun.getCount() + " " + logged);
        assertEquals(0, outOfOrder.get());
        assertEquals("", logged.toString(US_ASCII));
    }

    /** A failing message is logged and the remaining messages run. */
    @Test
    void messagesAfterAFailingOneStillRun() throws Exception {
        CountDownLatch lastRun = new CountDownLatch(1);
        loop.execute(() -> {
            mailbox.post(() -> {
                throw new IllegalStateException("planted");
            });
            mailbox.post(lastRun::countDown);
        });
        assertTrue(lastRun.await(5, TimeUnit.SECONDS));
        assertTrue(logged.toString(US_ASCII).contains("message failed: java.lang.IllegalStateException: planted"));
    }
}
