package portrelay.net;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.MonotonicClock;

/** An event loop on a real I/O thread with a manual clock, which moves and runs timers only when a test advances it. */
final class ManualEventLoop extends EventLoop {

    private static final class Timer implements XnioExecutor.Key {
        private final double dueAt;
        private final Runnable task;
        private boolean isDone;

        Timer(double dueAt, Runnable task) {
            this.dueAt = dueAt;
            this.task = task;
        }

        @Override
        public boolean remove() {
            boolean wasPending = !isDone;
            isDone = true;
            return wasPending;
        }
    }

    private final List<Timer> timers = new ArrayList<>();
    private volatile double now = 1000;

    ManualEventLoop(XnioIoThread thread) {
        super(thread, new MonotonicClock());
    }

    @Override
    public double now() {
        return now;
    }

    @Override
    public XnioExecutor.Key schedule(double seconds, Runnable task) {
        Timer timer = new Timer(now + Math.max(0, seconds), task);
        timers.add(timer);
        return timer;
    }

    /**
     * Advances the clock and runs the timers that are due by then, in the order of their times; only on the loop's
     * thread.
     */
    void advance(double seconds) {
        double end = now + seconds;
        while (true) {
            Timer next = timers.stream()
                    .filter(timer -> !timer.isDone && timer.dueAt <= end)
                    .min(Comparator.comparingDouble(timer -> timer.dueAt))
                    .orElse(null);
            if (next == null) {
                break;
            }
            timers.remove(next);
            next.isDone = true;
            now = Math.max(now, next.dueAt);
            next.task.run();
        }
        now = end;
    }
}
