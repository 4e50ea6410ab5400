package portrelay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;

/** Tests the fit of a power law on exact and inexact costs, and its argument checks. */
class PowerLawFitTest {

    @Test
    void anExactPowerLawIsFittedExactly() {
        for (double exponent : new double[] {0, 0.5, 1, 2}) {
            double[] sizes = {14, 100, 450, 1800};
            double[] costs = new double[4];
            for (int i = 0; i < 4; i++) {
                costs[i] = 3 * Math.pow(sizes[i], exponent);
            }
            PowerLawFit fit = PowerLawFit.of(sizes, costs);
            assertEquals(exponent, fit.exponent(), 1e-9);
            assertEquals(3 * Math.pow(7200, exponent), fit.costAt(7200), 1e-6);
            assertEquals(0, fit.residual(), 1e-9);
        }
    }

    @Test
    void theResidualIsTheLargestDeviation() {
        // The fit is 2 ^ (1/3) * size; the cost in the middle is 2 ^ (2/3) times the fitted one.
        PowerLawFit fit = PowerLawFit.of(new double[] {1, 2, 4}, new double[] {1, 4, 4});
        assertEquals(1, fit.exponent(), 1e-9);
        assertEquals(Math.cbrt(4) - 1, fit.residual(), 1e-9);
    }

    @Test
    void tooFewSizesOrAZeroCostAreRejected() {
        assertThrows(IllegalArgumentException.class, () -> PowerLawFit.of(new double[] {1, 2}, new double[] {1, 2}));
        assertThrows(
                IllegalArgumentException.class, () -> PowerLawFit.of(new double[] {1, 2, 3}, new double[] {1, 0, 3}));
    }
}
