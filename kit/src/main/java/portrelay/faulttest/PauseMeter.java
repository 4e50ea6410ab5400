package portrelay.faulttest;

import portrelay.standin.Signals.Signal;

/** How long the process was paused in fact: on a busy machine the signal that ends a pause is sent late. */
final class PauseMeter {

    private static final long NOT_PAUSED = Long.MIN_VALUE;

    private long pausedAt = NOT_PAUSED;
    private long maxNanos;
    private long totalNanos;

    /**
     * A signal was sent.
     *
     * @param sentAt time of {@link System#nanoTime}
     */
    void signalSent(Signal signal, long sentAt) {
        if (signal == Signal.STOP) {
            pausedAt = sentAt;
        } else if ((signal == Signal.CONT || signal == Signal.KILL) && pausedAt != NOT_PAUSED) {
            maxNanos = Math.max(maxNanos, sentAt - pausedAt);
            totalNanos += sentAt - pausedAt;
            pausedAt = NOT_PAUSED;
        }
    }

    /** The longest pause, in seconds. */
    double max() {
        return maxNanos / 1e9;
    }

    /** All pauses together, in seconds. */
    double total() {
        return totalNanos / 1e9;
    }
}
