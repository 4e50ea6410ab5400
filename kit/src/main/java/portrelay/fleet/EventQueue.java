package portrelay.fleet;

import java.util.PriorityQueue;

/** The events of a simulation in virtual time; events at the same time run in the order of their scheduling. */
final class EventQueue {

    private record Event(double time, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return time != other.time ? Double.compare(time, other.time) : Long.compare(order, other.order);
        }
    }

    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private long nextOrder;
    private double now;

    double now() {
        return now;
    }

    /** Schedules an action for the given time, or for the current time if that has passed. */
    void scheduleAt(double time, Runnable action) {
        events.add(new Event(Math.max(time, now), nextOrder++, action));
    }

    /** Schedules an action after a delay in seconds. */
    void schedule(double delay, Runnable action) {
        scheduleAt(now + delay, action);
    }

    /** Runs all events up to and including the given time, also those that are scheduled meanwhile. */
    void runUntil(double end) {
        while (!events.isEmpty() && events.peek().time <= end) {
            Event event = events.poll();
            now = event.time;
            event.action.run();
        }
        now = end;
    }
}
