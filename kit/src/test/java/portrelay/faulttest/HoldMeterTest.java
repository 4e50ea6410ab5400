package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import portrelay.faulttest.HoldMeter.Look;
import portrelay.faulttest.HoldMeter.Progress;

/** Planted looks: only time in which the process wanted a core, or was stopped, is a hold. */
class HoldMeterTest {

    private static final long MILLI = 1_000_000;
    private static final double TOLERANCE = 1e-9;
    private static final Progress STANDING = new Progress(5 * MILLI, 0, 3);

    private final HoldMeter meter = new HoldMeter();

    /** One look each 10 ms up to that time. */
    private void look(int untilMs, Progress eventLoop, double runShare, boolean isHeld) {
        for (long at = 0; at <= untilMs; at += 10) {
            meter.update(new Look(at * MILLI, eventLoop, (long) (at * MILLI * runShare), isHeld));
        }
    }

    @Test
    void withoutTheEventLoopsThreadNothingWasMeasured() {
        assertThrows(IllegalStateException.class, meter::maxSeconds);
    }

    @Test
    void aStoppedProcessIsHeld() {
        look(300, STANDING, 0, true);
        assertEquals(0.3, meter.maxSeconds(), TOLERANCE);
    }

    @Test
    void aLongTaskOfItsOwnIsNoHold() {
        look(300, STANDING, 1, true);
        assertEquals(0, meter.maxSeconds(), TOLERANCE);
    }

    @Test
    void anIdleOrBlockedProcessIsNotHeld() {
        look(300, STANDING, 0, false);
        assertEquals(0, meter.maxSeconds(), TOLERANCE);
    }

    /** A busy machine may hold it often: each hold counts alone. */
    @Test
    void manyShortWaitsAreNoLongHold() {
        meter.update(new Look(0, STANDING, 0, true));
        meter.update(new Look(400 * MILLI, new Progress(9 * MILLI, 390 * MILLI, 23), 4 * MILLI, true));
        assertEquals(390.0 / 20 / 1000, meter.maxSeconds(), TOLERANCE);
    }

    @Test
    void twoHoldsWithProgressBetweenThemAreNotAdded() {
        meter.update(new Look(0, STANDING, 0, true));
        meter.update(new Look(140 * MILLI, STANDING, 0, true));
        meter.update(new Look(150 * MILLI, new Progress(6 * MILLI, 0, 4), MILLI, true));
        meter.update(new Look(280 * MILLI, new Progress(6 * MILLI, 0, 4), MILLI, true));
        assertEquals(0.14, meter.maxSeconds(), TOLERANCE);
    }
}
