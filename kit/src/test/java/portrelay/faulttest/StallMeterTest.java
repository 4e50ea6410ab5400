package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import portrelay.faulttest.StallMeter.Progress;
import portrelay.faulttest.StallMeter.Sample;

/** Tests with synthetic samples that only time for which the process waited for a core or was stopped is a stall. */
class StallMeterTest {

    private static final long MILLI = 1_000_000;
    private static final double TOLERANCE = 1e-9;
    private static final Progress NO_PROGRESS = new Progress(5 * MILLI, 0, 3);

    private final StallMeter meter = new StallMeter();

    /** Passes a sample every 10 ms up to the given time. */
    private void addSamples(int untilMs, Progress eventLoop, double runShare, boolean isActive) {
        for (long timeMs = 0; timeMs <= untilMs; timeMs += 10) {
            meter.update(new Sample(timeMs * MILLI, eventLoop, (long) (timeMs * MILLI * runShare), isActive));
        }
    }

    @Test
    void failsIfNoSampleHasTheEventLoopThread() {
        assertThrows(IllegalStateException.class, meter::maxSeconds);
    }

    @Test
    void countsTheTimeOfAStoppedProcess() {
        addSamples(300, NO_PROGRESS, 0, true);
        assertEquals(0.3, meter.maxSeconds(), TOLERANCE);
    }

    @Test
    void doesNotCountALongTaskOfTheProcess() {
        addSamples(300, NO_PROGRESS, 1, true);
        assertEquals(0, meter.maxSeconds(), TOLERANCE);
    }

    @Test
    void doesNotCountAnIdleOrBlockedProcess() {
        addSamples(300, NO_PROGRESS, 0, false);
        assertEquals(0, meter.maxSeconds(), TOLERANCE);
    }

    /** A busy machine may stall the process often: each stall is measured by itself. */
    @Test
    void doesNotAddUpManyShortWaits() {
        meter.update(new Sample(0, NO_PROGRESS, 0, true));
        meter.update(new Sample(400 * MILLI, new Progress(9 * MILLI, 390 * MILLI, 23), 4 * MILLI, true));
        assertEquals(390.0 / 20 / 1000, meter.maxSeconds(), TOLERANCE);
    }

    @Test
    void doesNotAddStallsWithProgressBetweenThem() {
        meter.update(new Sample(0, NO_PROGRESS, 0, true));
        meter.update(new Sample(140 * MILLI, NO_PROGRESS, 0, true));
        meter.update(new Sample(150 * MILLI, new Progress(6 * MILLI, 0, 4), MILLI, true));
        meter.update(new Sample(280 * MILLI, new Progress(6 * MILLI, 0, 4), MILLI, true));
        assertEquals(0.14, meter.maxSeconds(), TOLERANCE);
    }
}
