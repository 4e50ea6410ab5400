package portrelay.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests how the times of signals and arrivals are dated back when the event loop was late. */
class EventLoopLagTest {

    private static final double TOLERANCE = 1e-9;

    /** Returns the lag of a loop that has made every beat in time until the given time. */
    private static EventLoopLag punctualLoop(double until) {
        EventLoopLag lag = new EventLoopLag();
        for (int beat = 0; beat * EventLoopLag.BEAT_INTERVAL <= until + TOLERANCE; beat++) {
            lag.beat(beat * EventLoopLag.BEAT_INTERVAL);
            lag.arrivalsHandled(beat * EventLoopLag.BEAT_INTERVAL);
        }
        return lag;
    }

    @Test
    void signalIsNotDatedBackWithoutAGap() {
        assertEquals(1.02, punctualLoop(1).earliestSignal(1.02), TOLERANCE);
    }

    @Test
    void signalAfterAGapIsDatedBackToTheLastBeatBeforeIt() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.2);
        assertEquals(1, lag.earliestSignal(1.21), TOLERANCE);
    }

    @Test
    void signalAfterTwoGapsIsDatedBackToTheFirst() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.15);
        lag.beat(1.29);
        assertEquals(1, lag.earliestSignal(1.295), TOLERANCE);
    }

    @Test
    void signalIsDatedBackByABoundedTime() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(9);
        assertEquals(8.7, lag.earliestSignal(9), TOLERANCE);
    }

    @Test
    void signalIsNotDatedBackForAnOldGap() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.2);
        for (int beat = 1; beat <= 8; beat++) {
            lag.beat(1.2 + beat * EventLoopLag.BEAT_INTERVAL);
        }
        assertEquals(1.6, lag.earliestSignal(1.6), TOLERANCE);
    }

    @Test
    void maxLagIsReportedOnce() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.2);
        assertEquals(0.15, lag.takeMaxLag(), TOLERANCE);
        assertEquals(0, lag.takeMaxLag(), TOLERANCE);
    }

    @Test
    void arrivalIsNotDatedBackWithoutAGap() {
        assertEquals(1.02, punctualLoop(1).earliestArrival(1.02), TOLERANCE);
        assertEquals(7, new EventLoopLag().earliestArrival(7), TOLERANCE);
    }

    @Test
    void theNextBeatIsOverdueOnceItsTimeHasPassed() {
        EventLoopLag lag = punctualLoop(1);
        assertEquals(0, lag.overdue(1.05), TOLERANCE);
        assertEquals(0.25, lag.overdue(1.3), TOLERANCE);
        assertEquals(0, new EventLoopLag().overdue(1.3), TOLERANCE);
    }

    @Test
    void arrivalAfterAGapIsDatedBackToItsBeginning() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.2);
        assertEquals(1.05, lag.earliestArrival(1.201), TOLERANCE);
        lag.arrivalsHandled(1.2);
        lag.beat(1.25);
        assertEquals(1.26, lag.earliestArrival(1.26), TOLERANCE);
    }

    /** Guards against more time told to an upstream than the client has left, where many requests came in a gap. */
    @Test
    void arrivalDuringAGapIsDatedBackHoweverLongTheEventsBeforeItTake() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.2);
        lag.beat(1.25);
        assertEquals(1.05, lag.earliestArrival(1.26), TOLERANCE);
        lag.beat(1.5);
        lag.arrivalsHandled(1.25);
        assertEquals(1.3, lag.earliestArrival(1.6), TOLERANCE);
        lag.arrivalsHandled(1.5);
        assertEquals(1.58, lag.earliestArrival(1.58), TOLERANCE);
    }

    /** Guards against the same where all beats are in time, but the events of one poll take longer than they. */
    @Test
    void arrivalIsDatedBackIfTheEventsOfOnePollTakeLongWithoutALateBeat() {
        EventLoopLag lag = punctualLoop(1);
        for (int beat = 1; beat <= 4; beat++) {
            lag.beat(1 + beat * EventLoopLag.BEAT_INTERVAL);
        }
        assertEquals(1.05, lag.earliestArrival(1.21), TOLERANCE);
    }

    @Test
    void arrivalSeenAfterALongTurnIsDatedBackToItsBeginning() {
        assertEquals(1.05, punctualLoop(1).earliestArrival(1.3), TOLERANCE);
    }

    @Test
    void arrivalIsNotDatedBackForAShortGap() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(1.09);
        assertEquals(1.095, lag.earliestArrival(1.095), TOLERANCE);
        assertEquals(1.05, lag.earliestArrival(1.125), TOLERANCE);
    }

    @Test
    void arrivalIsDatedBackByABoundedTime() {
        EventLoopLag lag = punctualLoop(1);
        lag.beat(9);
        assertEquals(8.61, lag.earliestArrival(9.01), TOLERANCE);
    }
}
