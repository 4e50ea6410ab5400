package portrelay.net.eventloop;

/**
 * A clock in Unix seconds that reads the system's clock once, when it is created, and advances with the monotonic
 * clock. A later change of the system's clock must not move deadlines, and the start time of an upstream must always
 * map to the same value, as another value would look like a restart. Thread-safe.
 */
public final class MonotonicClock {

    private final double startSeconds = System.currentTimeMillis() / 1e3;
    private final long startNanos = System.nanoTime();

    double now() {
        return fromNanoTime(System.nanoTime());
    }

    /**
     * Returns a point in time in seconds on this clock.
     *
     * @param nanos a value of {@link System#nanoTime}
     */
    double fromNanoTime(long nanos) {
        return startSeconds + (nanos - startNanos) / 1e9;
    }

    /** Converts Unix milliseconds to Unix seconds, the unit of this clock. 0, which stands for long ago, stays 0. */
    public static double fromUnixMillis(double millis) {
        return millis / 1e3;
    }
}
