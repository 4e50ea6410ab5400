package portrelay.faulttest;

import java.util.List;
import java.util.Locale;

/**
 * The outcome of one shutdown.
 *
 * @param requests how many were sent whole
 * @param answered how many of them got a final answer
 * @param rejected how many of these were rejections
 * @param endedAfter seconds from SIGTERM to the end of the process, infinite where SIGKILL ended it
 * @param maxHold how long the process got no core at most, in seconds, as measured: stopped, or waiting for one
 * @param times when the plan's parts were played in fact
 * @param verdict what became of the requests that were not answered, and the rules that were broken
 * @param log the lines that the sidecar wrote
 */
public record ShutdownReport(
        ShutdownPlan plan,
        int requests,
        int answered,
        int rejected,
        double endedAfter,
        double maxHold,
        PlayedTimes times,
        ShutdownRuleChecker.Verdict verdict,
        List<String> log) {

    /** Whether a round counts. */
    public enum Validity {
        COUNTED,
        /** The machine held the process for longer than the plan. */
        VOID,
        /** The clients or the signals came later than planned. */
        NOT_PLAYED
    }

    /** Whether the machine let the round be what its plan says: else its outcome says nothing. */
    public Validity validity() {
        if (!times.notPlayedBecause().isEmpty()) {
            return Validity.NOT_PLAYED;
        }
        return maxHold < ShutdownPlan.PAUSE + PlayedTimes.MAX_LATE_SECONDS ? Validity.COUNTED : Validity.VOID;
    }

    /** Whether it counts. */
    public boolean isValid() {
        return validity() == Validity.COUNTED;
    }

    /** The rules that were broken. */
    public List<RuleViolation> violations() {
        return verdict.violations();
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s: requests=%d answered=%d refused=%d ended=%.3f longest-hold=%.3f written-after-end=%d"
                        + " crossed-close-in-service=%d crossed-close-in-shutdown=%d breaks=%d%s\n  %s",
                plan,
                requests,
                answered,
                rejected,
                endedAfter,
                maxHold,
                verdict.writtenAfterEnd(),
                verdict.crossedCloseInService(),
                verdict.crossedCloseInShutdown(),
                violations().size(),
                invalidity(),
                times);
    }

    private String invalidity() {
        return switch (validity()) {
            case COUNTED -> "";
            case VOID -> String.format(Locale.ROOT, " VOID (held for %.3f s)", maxHold);
            case NOT_PLAYED -> " NOT-PLAYED (" + times.notPlayedBecause() + ")";
        };
    }
}
