package portrelay.policy;

import portrelay.model.Outcome;

/** One execution of a query; its outcome is null while it is out. */
final class Execution {
    final int index;
    final Upstream at;
    final double sentAt;
    final boolean trial;
    Outcome outcome;

    Execution(int index, Upstream at, double sentAt, boolean trial) {
        this.index = index;
        this.at = at;
        this.sentAt = sentAt;
        this.trial = trial;
    }

    /** Out and unknown counts as run: only an outcome can prove the contrary. */
    boolean mayHaveRun() {
        return outcome == null || !outcome.neverRan;
    }
}
