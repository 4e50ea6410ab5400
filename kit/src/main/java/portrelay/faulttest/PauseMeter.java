package portrelay.faulttest;

import portrelay.standin.Signals.Signal;

/** Measures the actual pauses of the process: on a busy machine the signal that ends a pause is sent late. */
final class PauseMeter {

    private static final long NOT_PAUSED = Long.MIN_VALUE;

    private long pausedAt = NOT_PAUSED;
    private long maxNanos;
    private long totalNanos;

    /**
     * Records that a signal was sent. Signals have to be passed in the order of their times.
     *
     * @param sentAt the time, of {@link System#nanoTime}
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

    /** Returns the longest pause, in seconds. */
    double maxSeconds() {
        return maxNanos / 1e9;
    }

    /** Returns the total time of all pauses, in seconds. */
    double totalSeconds() {
        return totalNanos / 1e9;
    }
}
