package portrelay.model;

import java.util.PriorityQueue;

/** What falls due when, in the order in which it was asked for where times are equal. */
public final class Dues<Q, I> {

    public record Due<Q, I>(double time, long order, Q subject, I input) { }

    private final PriorityQueue<Due<Q, I>> dues = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private long order;

    public void add(double time, Q subject, I input) {
        dues.add(new Due<>(time, order++, subject, input));
    }

    /** What is due by now, taken out; null where nothing is. */
    public Due<Q, I> next(double now) {
        return nextAt() <= now ? dues.poll() : null;
    }

    /** Infinite where nothing is to come. */
    public double nextAt() {
        return dues.isEmpty() ? Double.POSITIVE_INFINITY : dues.peek().time;
    }

    /** Whose turn it will be; there has to be one. */
    public Q nextSubject() {
        return dues.peek().subject;
    }
}
