package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against responses that are held past their deadline, and against short ones that are passed on too early. */
class ResponseHoldTest {

    private static final int SOME_BYTES = 20_000;

    @Test
    void aBodyIsHeldForAPartOfTheTimeLeft() {
        ResponseHold hold = new ResponseHold(100, 101);
        assertFalse(hold.mayPassOn(100.2, SOME_BYTES));
        assertTrue(hold.mayPassOn(hold.endsAt(), SOME_BYTES));
        assertTrue(hold.endsAt() < 100.5, "too little time is left to notice that the hold is over");
    }

    @Test
    void aDistantDeadlineDoesNotHoldABodyBack() {
        assertEquals(100.5, new ResponseHold(100, Double.POSITIVE_INFINITY).endsAt());
    }

    @Test
    void aLongBodyIsNotHeld() {
        assertTrue(new ResponseHold(100, 101).mayPassOn(100, ResponseHold.MAX_HELD_BYTES + 1));
    }

    @Test
    void afterTheDeadlineABodyIsNotHeld() {
        assertTrue(new ResponseHold(100, 99).mayPassOn(100, SOME_BYTES));
    }

    @Test
    void aFewBytesAreNotPassedOn() {
        assertFalse(new ResponseHold(100, 101).mayPassOn(100.9, 100));
    }
}
