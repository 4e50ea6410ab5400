package portrelay.net;

import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;

/** The one I/O thread that all actors run on, its time and its timers. Nothing that runs here may block. */
final class Loop implements Executor {

    private final XnioIoThread thread;
    private final Clock clock;

    Loop(XnioIoThread thread, Clock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    XnioIoThread thread() {
        return thread;
    }

    double now() {
        return clock.now();
    }

    @Override
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // The sidecar ends: what its closing connections still have to tell, nobody waits for.
        }
    }

    /** Rounded up to the timer's milliseconds, so never early by them. */
    XnioExecutor.Key after(double seconds, Runnable task) {
        return thread.executeAfter(task, Math.max(0, (long) Math.ceil(seconds * 1e3)), TimeUnit.MILLISECONDS);
    }
}
