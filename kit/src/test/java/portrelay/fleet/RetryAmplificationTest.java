package portrelay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the simulated against the computed amplification, and the case in which every attempt fails. */
class RetryAmplificationTest {

    @Test
    void simulationAgreesWithTheFormula() {
        for (double failing : new double[] {0, 0.01, 0.1, 0.5}) {
            double expected = RetryAmplification.expectedAttempts(7, 4, failing);
            double[] simulated = RetryAmplification.simulateAttempts(1, 7, 4, failing, 20_000);
            assertEquals(expected, simulated[6], 0.02 * expected);
            assertEquals(1, simulated[0], 0.05);
        }
    }

    @Test
    void attemptsMultiplyWhereAllFail() {
        assertEquals(16_384, RetryAmplification.expectedAttempts(7, 4, 1));
        assertEquals(128, RetryAmplification.simulateAttempts(1, 7, 2, 1, 1)[6]);
    }
}
