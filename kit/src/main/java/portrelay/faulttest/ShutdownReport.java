package portrelay.faulttest;

import java.util.List;
import java.util.Locale;

/**
 * The outcome of one round.
 *
 * @param plan the plan that was played
 * @param requests the number of requests that were sent completely
 * @param answered the number of them that got a final answer
 * @param rejected the number of those answers that were rejections
 * @param endedAfterSeconds seconds from SIGTERM to the end of the process; infinite if SIGKILL ended it
 * @param maxStallSeconds the longest measured time, in seconds, for which the process was stopped or waited for a core
 * @param times the times at which the parts of the plan were actually played
 * @param verdict the rule violations, and the unanswered requests that violate no rule
 * @param log the lines written by the process that was shut down, not those of a successor
 */
public record ShutdownReport(
        ShutdownPlan plan,
        int requests,
        int answered,
        int rejected,
        double endedAfterSeconds,
        double maxStallSeconds,
        PlayedTimes times,
        ShutdownRuleChecker.Verdict verdict,
        List<String> log) {

    /** Whether a round counts. */
    public enum Validity {
        /** The plan was played as drawn. */
        COUNTED,
        /** The process was stopped, or waited for a core, for longer than planned. */
        VOID,
        /** The clients started, or the signals were sent, later than planned. */
        NOT_PLAYED
    }

    /**
     * Returns whether the round counts, or why it does not: if a busy machine kept the plan from being played as drawn,
     * the outcome proves nothing.
     */
    public Validity validity() {
        if (!times.notPlayedReason().isEmpty()) {
            return Validity.NOT_PLAYED;
        }
        return maxStallSeconds < ShutdownPlan.PAUSE_SECONDS + PlayedTimes.MAX_LATE_SECONDS
                ? Validity.COUNTED
                : Validity.VOID;
    }

    /** Whether the round counts. */
    public boolean isValid() {
        return validity() == Validity.COUNTED;
    }

    /** Returns all rule violations of the round. */
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
                endedAfterSeconds,
                maxStallSeconds,
                verdict.writtenAfterEnd(),
                verdict.crossedCloseInService(),
                verdict.crossedCloseInShutdown(),
                violations().size(),
                invalidityText(),
                times);
    }

    private String invalidityText() {
        return switch (validity()) {
            case COUNTED -> "";
            case VOID -> String.format(Locale.ROOT, " VOID (held for %.3f s)", maxStallSeconds);
            case NOT_PLAYED -> " NOT-PLAYED (" + times.notPlayedReason() + ")";
        };
    }
}
