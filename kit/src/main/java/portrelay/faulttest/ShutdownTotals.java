package portrelay.faulttest;

import java.util.List;

/** Sums up the rounds of a soak. Of each round the last play is evaluated, the only one that may count. */
public final class ShutdownTotals {

    private int requests;
    private int violations;
    private int brokenRounds;
    private int voidRounds;
    private int notPlayedRounds;
    private int replayed;
    private int crossedCloseInShutdown;
    private int errors;

    /** Adds all plays of one round. */
    public void add(List<ShutdownReport> plays) {
        ShutdownReport last = plays.get(plays.size() - 1);
        replayed += plays.size() - 1;
        switch (last.validity()) {
            case COUNTED -> addCounted(last);
            case VOID -> voidRounds++;
            case NOT_PLAYED -> notPlayedRounds++;
        }
    }

    private void addCounted(ShutdownReport report) {
        requests += report.requests();
        violations += report.violations().size();
        brokenRounds += report.violations().isEmpty() ? 0 : 1;
        crossedCloseInShutdown += report.verdict().crossedCloseInShutdown();
    }

    /** Counts a round that failed with an exception. */
    public void addError() {
        errors++;
    }

    /** Whether no round that counts violated a rule, and no round failed with an exception. */
    public boolean hasPassed() {
        return brokenRounds == 0 && errors == 0;
    }

    @Override
    public String toString() {
        return "requests=" + requests + " breaks=" + violations + " in rounds=" + brokenRounds + " void=" + voidRounds
                + " not-played=" + notPlayedRounds + " errors=" + errors + " played-again=" + replayed
                + " crossed-close-in-shutdown=" + crossedCloseInShutdown;
    }
}
