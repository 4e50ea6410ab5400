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
        ShutdownRuleChecker.Verdict verdict,
        List<String> log) {

    /** A hold may be longer than a planned pause by so much, in seconds. */
    private static final double MAX_OVERRUN = 0.05;

    /** Whether the round kept to its plan: else the machine was too busy, and its outcome says nothing. */
    public boolean isValid() {
        return maxHold < ShutdownPlan.PAUSE + MAX_OVERRUN;
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
                        + " crossed-close-in-service=%d crossed-close-in-shutdown=%d breaks=%d%s",
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
                isValid() ? "" : String.format(Locale.ROOT, " VOID (held for %.3f s)", maxHold));
    }
}
