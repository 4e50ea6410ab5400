package portrelay.budget;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class TellingTest {

    private static final int CHARACTERS = 9;

    /** Whatever is asked for: many requests, many receivers, or both. */
    @Test
    void noMoreThanTheBudgetGoesOutHoweverMuchThereIsToTell() {
        for (int receivers : new int[] {1, 13, 45, 1542}) {
            for (double rate : new double[] {1, 20, 361, 36_100}) {
                Telling telling = new Telling();
                double bytes = 0;
                for (int i = 1; i <= 20 * rate; i++) {
                    boolean told = telling.takes(i / rate, CHARACTERS, receivers);
                    bytes += told ? receivers * (56 + CHARACTERS) : 0;
                }
                assertTrue(bytes <= Telling.BYTES_A_SECOND * 20.5 + 1e-6,
                        receivers + ", " + rate + ": " + bytes);
                boolean fits = receivers * (56.0 + CHARACTERS) * rate <= Telling.BYTES_A_SECOND
                        && receivers * (56 + CHARACTERS) <= Telling.BYTES_A_SECOND / 2;
                // And what fits is told whole.
                assertEquals(fits, bytes == Math.floor(20 * rate) * receivers * (56 + CHARACTERS));
            }
        }
    }

    /**
     * After a burst of ten times as much the words come again with the time that has passed, and no sooner.
     */
    @Test
    void aBurstIsPaidForByWhatComesAfterIt() {
        Telling telling = new Telling();
        int told = 0;
        while (telling.takes(1, CHARACTERS, 1)) {
            told++;
        }
        assertTrue(told > 40, told + " told in one moment");
        assertFalse(telling.takes(1.001, CHARACTERS, 1));
        assertTrue(telling.takes(1.02, CHARACTERS, 1));
    }
}
