package portrelay.model;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Measures how late an event loop runs, from heartbeats that it records at equal intervals. A late beat shows a gap in
 * which the process was stopped or busy with other work: signals and data that arrived during the gap are seen only
 * after it.
 */
public final class EventLoopLag {

    /** Seconds from one beat to the next. */
    public static final double BEAT_INTERVAL = 0.05;

    /** Beats that are late by no more than this do not count as a gap. */
    private static final double TOLERANCE_SECONDS = 0.02;

    /** How long after the end of a gap a signal that was sent during it may still be handled. */
    private static final double SIGNAL_DELIVERY_SECONDS = 0.25;

    /** The most by which the time of a signal is dated back. */
    private static final double MAX_SIGNAL_AGE_SECONDS = 0.3;

    /** Arrivals are not dated back while the last handled beat is no older. */
    private static final double MAX_UNDATED_SECONDS = 0.1;

    /** The most by which the time of an arrival is dated back. */
    private static final double MAX_ARRIVAL_AGE_SECONDS = 0.4;

    private record Gap(double from, double until) {}

    private final Deque<Gap> gaps = new ArrayDeque<>();
    private double lastBeat = Double.NaN;
    private double maxLag;
    /** The last beat after which a poll was begun whose events have all been handled; NaN before the first one. */
    private double lastHandledBeat = Double.NaN;

    /** Records a beat, and a gap if it is late. */
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

    /** Records that all events of a poll that was begun after the beat of the given time have been handled. */
    public void arrivalsHandled(double beat) {
        lastHandledBeat = beat;
    }

    /** Returns the earliest time at which a signal that is handled at the given time may have been sent. */
    public double earliestSignal(double handledAt) {
        double earliest = handledAt;
        for (Gap gap : gaps) {
            if (gap.until > handledAt - SIGNAL_DELIVERY_SECONDS) {
                earliest = Math.min(earliest, gap.from);
            }
        }
        return Math.max(earliest, handledAt - MAX_SIGNAL_AGE_SECONDS);
    }

    /**
     * Returns the earliest time at which data or a connection that is seen now may have arrived: what arrived before a
     * beat was seen by the poll after it, and has been handled once that poll's events are.
     */
    public double earliestArrival(double now) {
        if (Double.isNaN(lastHandledBeat) || now - lastHandledBeat <= MAX_UNDATED_SECONDS) {
            return now;
        }
        return Math.max(Math.min(now, lastHandledBeat + BEAT_INTERVAL), now - MAX_ARRIVAL_AGE_SECONDS);
    }

    /** Returns by how many seconds the next beat is overdue; 0 if it is not due yet. */
    public double overdue(double now) {
        return Double.isNaN(lastBeat) ? 0 : Math.max(0, now - lastBeat - BEAT_INTERVAL);
    }

    /** Returns the largest lateness of a beat in seconds since the last call of this method. */
    public double takeMaxLag() {
        double lag = maxLag;
        maxLag = 0;
        return lag;
    }
}
