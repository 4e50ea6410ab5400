package portrelay.net.eventloop;

import java.util.ArrayDeque;
import java.util.Locale;
import java.util.Queue;

/**
 * The queue of an actor's messages. They run one at a time on the event loop and never inside the call that posts them,
 * so an actor is never re-entered while it handles a message. Any thread may post; the messages of one thread run in
 * the order in which it posted them.
 */
public final class Mailbox {

    /** A message that takes longer is logged: its time must not grow with the number of upstreams or requests. */
    private static final double MAX_MESSAGE_SECONDS = 0.05;

    private final EventLoop loop;
    private final Log log;
    private final Object lock = new Object();
    /** Guarded by the lock. Null until the first message: most actors of a long endpoint list never get one. */
    private Queue<Runnable> posted;
    /** Guarded by the lock. */
    private boolean isScheduled;
    /** Empty or null except while its messages are run; used on the loop only. */
    private Queue<Runnable> running;

    /** Creates an empty mailbox whose messages run on the loop; a message that fails is logged. */
    public Mailbox(EventLoop loop, Log log) {
        this.loop = loop;
        this.log = log;
    }

    /** Queues a message to run on the event loop. */
    public void post(Runnable message) {
        synchronized (lock) {
            if (posted == null) {
                posted = new ArrayDeque<>();
            }
            posted.add(message);
            if (isScheduled) {
                return;
            }
            isScheduled = true;
        }
        loop.execute(this::runAll);
    }

    /**
     * Runs the messages that are queued now. Messages that they post run in a later task, so that other actors and I/O
     * events are handled in between.
     */
    private void runAll() {
        swapQueues();
        while (!running.isEmpty()) {
            Runnable message = running.remove();
            double begunAt = loop.now();
            try {
                message.run();
            } catch (RuntimeException e) {
                // A failing message must not keep the others from running.
                log.fault("message failed", e);
            }
            double seconds = loop.now() - begunAt;
            if (seconds > MAX_MESSAGE_SECONDS) {
                // Meanwhile no request is served, and no deadline or signal handled.
                log.warn(String.format(
                        Locale.ROOT,
                        "message took long: seconds=%.3f message=%s",
                        seconds,
                        message.getClass().getName()));
            }
        }
    }

    private void swapQueues() {
        synchronized (lock) {
            isScheduled = false;
            Queue<Runnable> pending = posted;
            posted = running;
            running = pending;
        }
    }
}
