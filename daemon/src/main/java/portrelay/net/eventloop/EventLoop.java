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
 * The I/O thread that all actors of a sidecar run on, with its clock and timers. Code that runs on it must not block.
 * The methods may be called from any thread unless their doc comment says otherwise.
 */
public class EventLoop implements Executor {

    /** Name of the XNIO worker that owns the loop's thread. */
    public static final String WORKER_NAME = "portrelay";

    /** Name of the loop's thread, in the JVM and in the kernel. */
    public static final String THREAD_NAME = WORKER_NAME + " I/O-1";

    private final XnioIoThread thread;
    private final MonotonicClock clock;
    private final EventLoopLag lag = new EventLoopLag();
    /**
     * A pipe to this thread itself: a byte written to it is read with the kernel's next poll. Null until first used.
     */
    private ChannelPipe<StreamSourceChannel, StreamSinkChannel> pollMarker;

    /** The tasks that wait for the poll that reads the marker; empty while no marker is written. */
    private final Queue<Runnable> tasksAfterPoll = new ArrayDeque<>();
    /** The tasks that came after the marker was written: the poll that reads it may have begun before them. */
    private final Queue<Runnable> tasksAfterNextPoll = new ArrayDeque<>();

    /** Creates a loop on a running I/O thread; {@code clock} gives the time of {@link #now}. */
    public EventLoop(XnioIoThread thread, MonotonicClock clock) {
        this.thread = thread;
        this.clock = clock;
    }

    /** Returns the I/O thread of this loop. */
    public XnioIoThread thread() {
        return thread;
    }

    /** Returns the lag of this thread, measured since {@link #startLagBeat}. To be used on the loop. */
    public EventLoopLag lag() {
        return lag;
    }

    /**
     * Returns the earliest time at which data that is read now may have arrived at the kernel. To be called on the
     * loop.
     */
    public double earliestArrival() {
        return lag.earliestArrival(now());
    }

    /** Starts to measure the thread's lag, for as long as the loop runs. To be called on the loop. */
    public void startLagBeat() {
        double beat = now();
        lag.beat(beat);
        afterPoll(() -> lag.arrivalsHandled(beat));
        schedule(EventLoopLag.BEAT_INTERVAL, this::startLagBeat);
    }

    /** Returns the current time on this loop's clock, in seconds. */
    public double now() {
        return clock.now();
    }

    /**
     * Returns a point in time as seconds on this loop's clock.
     *
     * @param nanos a value of {@link System#nanoTime}
     */
    public double toLoopTime(long nanos) {
        return clock.fromNanoTime(nanos);
    }

    /** Queues the task to run on the loop, never inside this call. Drops it if the loop has ended. */
    @Override
    public void execute(Runnable task) {
        try {
            thread.execute(task);
        } catch (RejectedExecutionException e) {
            // The sidecar is closed: events of its connections no longer matter.
        }
    }

    /**
     * Runs the task on the loop once the delay has passed. The delay is rounded up to whole milliseconds, the unit of
     * the timer, so that the task never runs early. Drops the task if the loop has ended.
     */
    public XnioExecutor.Key schedule(double delaySeconds, Runnable task) {
        try {
            return thread.executeAfter(task, Math.max(0, (long) Math.ceil(delaySeconds * 1e3)), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The sidecar is closed.
            return () -> false;
        }
    }

    /**
     * Runs the task once all events that the kernel holds now have been handled. To be called on the loop. Prevents a
     * timeout from ending a call whose response has already arrived: XNIO runs every task and due timer before it polls
     * the kernel again, so on a late loop the timer runs before the response is read.
     */
    public void afterPoll(Runnable task) {
        if (!tasksAfterPoll.isEmpty()) {
            tasksAfterNextPoll.add(task);
            return;
        }
        tasksAfterPoll.add(task);
        writePollMarker();
    }

    private void writePollMarker() {
        try {
            if (pollMarker == null) {
                pollMarker = thread.createHalfDuplexPipe();
                pollMarker.getLeftSide().getReadSetter().set(this::pollMarkerRead);
                pollMarker.getLeftSide().resumeReads();
            }
            pollMarker.getRightSide().write(ByteBuffer.wrap(new byte[1]));
        } catch (IOException e) {
            // No descriptor is left for the pipe: tasks that run too early are better than some that never run.
            executeTasksAfterPoll();
        }
    }

    /**
     * Queues the tasks instead of running them here, as the other events of the same poll are queued as tasks too and
     * have to be handled first.
     */
    private void pollMarkerRead(StreamSourceChannel source) {
        try {
            source.read(ByteBuffer.allocate(8));
        } catch (IOException e) {
            // The pipe is closed because the process ends; the tasks are queued all the same.
        }
        executeTasksAfterPoll();
        if (!tasksAfterNextPoll.isEmpty()) {
            tasksAfterPoll.addAll(tasksAfterNextPoll);
            tasksAfterNextPoll.clear();
            writePollMarker();
        }
    }

    private void executeTasksAfterPoll() {
        tasksAfterPoll.forEach(this::execute);
        tasksAfterPoll.clear();
    }
}
