package portrelay.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

/** Checks the times of a shutdown against the platform's shutdown protocol. */
class ShutdownBudgetTest {

    private static final double MAX_PAUSE_SECONDS = 0.15;
    private static final double NEW_CONNECTIONS_SECONDS = 0.4;
    private static final double TOLERANCE = 1e-9;

    @Test
    void killTimeIsCountedFromEarliestSignalWithAtMostThreeSecondsOfDeadline() {
        assertEquals(10 + 1 + 0.7, ShutdownBudget.of(10, 10.2, 1).killAt(), TOLERANCE);
        assertEquals(10 + 3 + 0.7, ShutdownBudget.of(10, 10, 8).killAt(), TOLERANCE);
    }

    @Property(tries = 500, seed = "20261202")
    void timesAreInOrderForEveryDeadlineAndSignalDelay(
            @ForAll @DoubleRange(min = 0.05, max = 10) double deadline,
            @ForAll @DoubleRange(min = 0, max = 0.3) double delay) {
        double receivedAt = 100;
        double signalAt = receivedAt - delay;
        ShutdownBudget budget = ShutdownBudget.of(signalAt, receivedAt, deadline);
        double counted = Math.min(3, deadline);
        assertTrue(
                budget.forwardUntil() < budget.answerBy(),
                "a request may be forwarded with no time left for its answer");
        assertTrue(
                budget.answerBy() + 3 * MAX_PAUSE_SECONDS < budget.killAt(),
                "three pauses of the process last from the final answer until SIGKILL");
        assertTrue(
                budget.answerBy() > signalAt + counted,
                "a request accepted before the signal has less than its deadline");
        assertTrue(
                budget.answerBy() < budget.endBy() && budget.endBy() < budget.killAt(),
                "the last answer, the end and SIGKILL are not in this order");
        assertTrue(
                budget.listenUntil() > Math.min(signalAt + NEW_CONNECTIONS_SECONDS, budget.endBy() - TOLERANCE),
                "stops listening while the platform still routes new connections here");
        assertTrue(budget.stayUntil() <= budget.endBy(), "waits for clients beyond the end of the shutdown");
    }
}
