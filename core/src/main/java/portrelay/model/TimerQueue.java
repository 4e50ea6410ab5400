package portrelay.model;

import java.util.PriorityQueue;
import java.util.function.Predicate;

/**
 * A queue of timers, each with the input that its subject is to be given. Timers with equal times are ordered by when
 * they were scheduled.
 *
 * @param <Q> the type of the subjects
 * @param <I> the type of the inputs
 */
public final class TimerQueue<Q, I> {

    /**
     * A scheduled timer.
     *
     * @param order the number of timers that were scheduled before
     */
    public record Timer<Q, I>(double time, long order, Q subject, I input) {}

    private final PriorityQueue<Timer<Q, I>> timers = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private long order;

    /** Schedules a timer; it cannot be cancelled. */
    public void schedule(double time, Q subject, I input) {
        timers.add(new Timer<>(time, order++, subject, input));
    }

    /** Removes and returns the first timer that is due; null if none is. */
    public Timer<Q, I> pollDue(double now) {
        return !timers.isEmpty() && timers.peek().time <= now ? timers.poll() : null;
    }

    /**
     * Returns when the first timer of an open subject is due; infinity if there is none. Removes the earlier timers,
     * whose subjects are no longer open.
     */
    public double nextAt(Predicate<Q> isOpen) {
        while (!timers.isEmpty() && !isOpen.test(timers.peek().subject)) {
            timers.poll();
        }
        return timers.isEmpty() ? Double.POSITIVE_INFINITY : timers.peek().time;
    }
}
