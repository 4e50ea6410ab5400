package portrelay.net.eventloop;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import org.xnio.ChannelPipe;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.model.EventLoopLag;

/**
 * The I/O thread that all actors of a sidecar run on, with its clock and timers. Nothing that runs here may block. The
 * methods may be called from any thread but where said.
 */
public class EventLoop implements Executor {

    /** Name of the XNIO worker that has the loop's thread. */
    public static final String WORKER_NAME = "portrelay";

    /** The thread's name, which is also its name in the kernel. */
    public static final String THREAD_NAME = WORKER_NAME + " I/O-1";

    private final XnioIoThread thread;
    private final MonotonicClock clock;
    private final EventLoopLag lag = new EventLoopLag();
    /** A byte written to it is read by the next poll of the kernel. Null until first used. */
    private ChannelPipe<StreamSourceChannel, StreamSinkChannel> pollMarker;

    private final Queue<Runnable> tasksAfterPoll = new ArrayDeque<>();

    public EventLoop(XnioIoThread thread, MonotonicClock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    public XnioIoThread thread() {
        return thread;
    }

    /** How late this thread runs, as measured since {@link #startLagBeat}. For use on the loop. */
    public EventLoopLag lag() {
        return lag;
    }

    /** On the loop: the earliest time at which what is read now may have arrived at the kernel. */
    public double earliestArrival() {
        return lag.earliestArrival(now());
    }

    /** On the loop: measures the thread's lag from here on, for as long as it runs. */
    public void startLagBeat() {
        lag.beat(now());
        schedule(EventLoopLag.BEAT_INTERVAL, this::startLagBeat);
    }

    public double now() {
        return clock.now();
    }

    /**
     * A moment on this loop's clock.
     *
     * @param nanos by {@link System#nanoTime}
     */
    public double toLoopTime(long nanos) {
        return clock.at(nanos);
    }

    /** Runs the task on the loop, after the call; drops it where the loop has ended. */
    @Override
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // The sidecar is closed: nobody waits for what its connections still report.
        }
    }

    /** Runs the task on the loop, never before the delay: it is rounded up to the timer's milliseconds. */
    public XnioExecutor.Key schedule(double delaySeconds, Runnable task) {
        try {
            return thread.executeAfter(task, Math.max(0, (long) Math.ceil(delaySeconds * 1e3)), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The sidecar is closed.
            return () -> false;
        }
    }

    /**
     * On the loop: runs the task once everything has been handled that the kernel has by now. Guards a timeout against
     * an answer that is there unread: XNIO runs every task and due timer before it polls the kernel again, so on a late
     * loop the timer runs before the answer is read.
     */
    public void afterPoll(Runnable task) {
        try {
            if (pollMarker == null) {
                pollMarker = thread.createHalfDuplexPipe();
                pollMarker.getLeftSide().getReadSetter().set(this::polled);
                pollMarker.getLeftSide().resumeReads();
            }
            if (tasksAfterPoll.isEmpty()) {
                pollMarker.getRightSide().write(ByteBuffer.wrap(new byte[1]));
            }
            tasksAfterPoll.add(task);
        } catch (IOException e) {
            // No descriptor is left for the pipe: a task that runs too early is better than one that never runs.
            execute(task);
        }
    }

    /** Executes, not runs, the tasks: what the same poll found is queued as tasks before them. */
    private void polled(StreamSourceChannel source) {
        try {
            source.read(ByteBuffer.allocate(8));
        } catch (IOException e) {
            // The pipe was closed, as the process ends: the tasks run nevertheless.
        }
        tasksAfterPoll.forEach(this::execute);
        tasksAfterPoll.clear();
    }
}
