package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.faulttest.PlayedTimes.SentSignal;
import portrelay.faulttest.ShutdownReport.Validity;
import portrelay.standin.Signals.Signal;

/** Tests that a round whose plan was played late counts as not played, and that its violations are still printed. */
class PlayedTimesTest {

    private static final SentSignal TERM = new SentSignal(Signal.TERM, 0, 0.001);
    private static final RuleViolation VIOLATION =
            new RuleViolation(RuleViolation.Rule.READ_UNANSWERED, "r", "sent +0.1");

    private static ShutdownReport report(double maxStallSeconds, PlayedTimes times) {
        ShutdownRuleChecker.Verdict verdict = new ShutdownRuleChecker.Verdict(List.of(VIOLATION), 0, 0, 0);
        return new ShutdownReport(ShutdownPlan.draw(1), 9, 8, 0, 1, maxStallSeconds, times, verdict, List.of());
    }

    private static PlayedTimes times(double clientsStartSeconds, double stoppedShare, SentSignal... signals) {
        return new PlayedTimes(clientsStartSeconds, List.of(signals), stoppedShare, 0.8);
    }

    @Test
    void countsARoundThatWasPlayedAsPlanned() {
        ShutdownReport report = report(0.16, times(0.04, 0.78, TERM, new SentSignal(Signal.KILL, 1.1, 1.14)));
        assertEquals(Validity.COUNTED, report.validity());
        assertTrue(report.toString().contains("TERM+0.000/+0.001 KILL+1.100/+1.140"), report.toString());
    }

    @Test
    void aStallBeyondThePlanVoidsTheRound() {
        assertEquals(Validity.VOID, report(0.2, times(0.04, 0.78, TERM)).validity());
    }

    @Test
    void lateClientsLateSignalsOrALowStoppedShareCountAsNotPlayed() {
        for (PlayedTimes late : List.of(
                times(57, 0.8, TERM),
                times(0.01, 0.8, TERM, new SentSignal(Signal.KILL, 1.1, 1.16)),
                times(0.01, 0.8, new SentSignal(Signal.TERM, 0, 0.06)),
                times(0.01, 0.69, TERM))) {
            ShutdownReport report = report(0.3, late);
            assertEquals(Validity.NOT_PLAYED, report.validity());
            assertTrue(report.toString().contains("NOT-PLAYED ("), report.toString());
            assertTrue(report.toString().contains("breaks=1"), report.toString());
        }
    }

    @Test
    void totalsFailOnAnErrorAndNotOnVoidOrUnplayedRounds() {
        ShutdownTotals totals = new ShutdownTotals();
        totals.add(List.of(report(0.2, times(0.04, 0.8, TERM)), report(0.1, times(57, 0.8, TERM))));
        assertTrue(totals.hasPassed(), totals.toString());
        assertTrue(totals.toString().contains("not-played=1 errors=0 played-again=1"), totals.toString());
        totals.addError();
        assertTrue(!totals.hasPassed(), totals.toString());
    }
}
