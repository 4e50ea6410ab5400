package portrelay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Tests the spacing, redemption, expiry and bounds of reservations. */
class RetryAfterSchedulerTest {

    private static final FlowId FLOW = new FlowId("a");
    private static final double MAX_RETRY_AFTER_SECONDS = 2;
    private static final int MAX_RESERVATIONS = 3;

    private final RetryAfterScheduler scheduler =
            new RetryAfterScheduler(new SplittableRandom(1), MAX_RETRY_AFTER_SECONDS, MAX_RESERVATIONS);

    @Test
    void reservesSpacedTimesAfterTheQueueHasDrained() {
        double first = scheduler.reserve(10, FLOW, 0.5, 0.2);
        double second = scheduler.reserve(10, FLOW, 0.5, 0.2);
        assertTrue(first >= 0.5 && first <= 0.6, "first Retry-After " + first);
        assertTrue(second >= first + 0.2 && second <= first + 0.3 + 1e-9, "second Retry-After " + second);
        assertEquals(2, scheduler.reservationCount());
    }

    @Test
    void reservesNoTimeBeyondWhatClientsObserve() {
        assertEquals(0, scheduler.reserve(10, FLOW, 2.1, 0.2));
        assertEquals(0, new RetryAfterScheduler(new SplittableRandom(1), 0, 3).reserve(10, FLOW, 0, 0.2));
        assertEquals(0, scheduler.reservationCount());
    }

    @Test
    void keepsNoMoreReservationsThanItsBound() {
        for (int i = 0; i < MAX_RESERVATIONS; i++) {
            assertTrue(scheduler.reserve(10, new FlowId("flow " + i), 0.5, 0.1) > 0);
        }
        assertEquals(0, scheduler.reserve(10, FLOW, 0.5, 0.1));
    }

    @Test
    void aReservationIsRedeemedOnceAndByItsOwnFlow() {
        double due = 10 + scheduler.reserve(10, FLOW, 0.5, 0.1);
        assertFalse(scheduler.redeem(due - 0.1, FLOW, false), "redeemed too early");
        assertFalse(scheduler.redeem(due, new FlowId("b"), false));
        assertTrue(scheduler.redeem(due, FLOW, false));
        assertFalse(scheduler.redeem(due, FLOW, false), "redeemed twice");
        assertEquals(0, scheduler.reservationCount());
    }

    /** Guards against new requests of a flow using up the reservations of its retries. */
    @Test
    void aFlowThatMarksRetriesRedeemsOnlyWithMarkedRequests() {
        double due = 10 + scheduler.reserve(10, FLOW, 0.5, 0.1);
        assertFalse(scheduler.redeem(10, FLOW, true));
        assertFalse(scheduler.redeem(due, FLOW, false));
        assertTrue(scheduler.redeem(due, FLOW, true));
    }

    @Test
    void aReservationExpires() {
        double due = 10 + scheduler.reserve(10, FLOW, 0.5, 0.1);
        scheduler.removeExpired(due + 0.4);
        assertEquals(1, scheduler.reservationCount());
        assertFalse(scheduler.redeem(due + 0.6, FLOW, true));
        assertEquals(0, scheduler.reservationCount());
    }
}
