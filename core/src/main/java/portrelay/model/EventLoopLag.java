package portrelay.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * How late an event loop runs, from beats that it makes at equal intervals. A late beat shows a gap, in which the
 * process was stopped or busy with other work: what came from outside during the gap is seen after it.
 */
public final class EventLoopLag {

    /** Seconds from one beat to the next. */
    public static final double BEAT_INTERVAL = 0.05;

    /** Lateness that is no gap. */
    private static final double TOLERANCE_SECONDS = 0.02;

    /** How long after the end of a gap a signal may be handled that came during it. */
    private static final double SIGNAL_DELIVERY_SECONDS = 0.25;

    /** By how much a signal is dated back at most. */
    private static final double MAX_SIGNAL_AGE_SECONDS = 0.3;

    /** Shorter gaps do not date arrivals back. */
    private static final double MIN_ARRIVAL_GAP_SECONDS = 0.1;

    /** By how much an arrival is dated back at most. */
    private static final double MAX_ARRIVAL_AGE_SECONDS = 0.4;

    private record Gap(double from, double until) {}

    private final Deque<Gap> gaps = new ArrayDeque<>();
    private double lastBeat = Double.NaN;
    private double maxLag;

    /** Records a beat. */
    public void beat(double now) {
        if (!Double.isNaN(lastBeat)) {
            double lag = now - lastBeat - BEAT_INTERVAL;
            maxLag = Math.max(maxLag, lag);
            if (lag > TOLERANCE_SECONDS) {
                gaps.addLast(new Gap(lastBeat, now));
            }
        }
        lastBeat = now;
        while (!gaps.isEmpty() && gaps.peekFirst().until < now - 2 * SIGNAL_DELIVERY_SECONDS) {
            gaps.removeFirst();
        }
    }

    /** The earliest time at which a signal may have been sent that is handled at the given time. */
    public double earliestSignal(double handledAt) {
        double earliest = handledAt;
        for (Gap each : gaps) {
            if (each.until > handledAt - SIGNAL_DELIVERY_SECONDS) {
                earliest = Math.min(earliest, each.from);
            }
        }
        return Math.max(earliest, handledAt - MAX_SIGNAL_AGE_SECONDS);
    }

    /**
     * The earliest time at which something may have arrived that is seen now. What arrives during a gap is seen by the
     * first poll after it; what arrives during a long turn of the loop, by the first poll after that turn.
     */
    public double earliestArrival(double now) {
        if (Double.isNaN(lastBeat)) {
            return now;
        }
        Gap last = gaps.peekLast();
        boolean isAfterGap = last != null
                && last.until == lastBeat
                && last.until - last.from - BEAT_INTERVAL > MIN_ARRIVAL_GAP_SECONDS;
        double earliest = isAfterGap ? last.from + BEAT_INTERVAL : Math.min(now, lastBeat + BEAT_INTERVAL);
        return Math.max(earliest, now - MAX_ARRIVAL_AGE_SECONDS);
    }

    /** How late the next beat is by now, in seconds; 0 where it is not due yet. */
    public double overdue(double now) {
        return Double.isNaN(lastBeat) ? 0 : Math.max(0, now - lastBeat - BEAT_INTERVAL);
    }

    /** The largest lateness of a beat in seconds since this was last called. */
    public double takeMaxLag() {
        double lag = maxLag;
        maxLag = 0;
        return lag;
    }
}
