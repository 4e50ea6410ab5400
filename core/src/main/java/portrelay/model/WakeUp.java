package portrelay.model;

import java.util.function.DoubleConsumer;

/** The pending wake-up of a decider; another one is requested only if it is needed earlier than the pending one. */
public final class WakeUp {

    private double pendingAt = Double.POSITIVE_INFINITY;

    /** Records that the decider runs at this time; a pending wake-up that is due by then counts as fired. */
    public void fired(double now) {
        pendingAt = now >= pendingAt ? Double.POSITIVE_INFINITY : pendingAt;
    }

    /** Requests a wake-up at the given time, unless one is pending for that time or earlier. */
    public void requestAt(double next, DoubleConsumer request) {
        if (next < pendingAt) {
            pendingAt = next;
            request.accept(next);
        }
    }
}
