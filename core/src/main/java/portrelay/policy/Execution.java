package portrelay.policy;

import portrelay.model.Outcome;

/** One execution of a query; its outcome is null while it is out. */
final class Execution {
    final Upstream at;
    final double sentAt;
    final boolean trial;
    /** The work's multiple that we expected it to take, 1 where nothing is known of the load. */
    final double expected;
    /** How long the connection it went on had rested, 0 for a new one or one in use. */
    final double rested;
    /** What had to be handled there after it for it to be lost. */
    final int overtakenAt;
    Outcome outcome;

    Execution(Upstream at, double sentAt, boolean trial, double expected, double rested, int overtakenAt) {
        this.at = at;
        this.sentAt = sentAt;
        this.trial = trial;
        this.expected = expected;
        this.rested = rested;
        this.overtakenAt = overtakenAt;
    }

    /** Out and unknown counts as run: only an outcome can prove the contrary. */
    boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan;
    }
}
