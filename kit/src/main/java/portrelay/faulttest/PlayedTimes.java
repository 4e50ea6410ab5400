package portrelay.faulttest;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import portrelay.standin.Signals.Signal;

/**
 * When the parts of a plan were played in fact. On a busy machine the clients and the signals come late; what the
 * sidecar does then says nothing of the plan. Times are seconds after SIGTERM.
 *
 * @param clientsStartedIn how long starting all clients took; the plan has them start at once
 * @param signals those that were sent, the ones that starve the process left out
 * @param stoppedShare of the time from SIGTERM to SIGKILL for which the process was stopped to starve it
 * @param plannedStoppedShare the same by the plan
 */
record PlayedTimes(double clientsStartedIn, List<SentSignal> signals, double stoppedShare, double plannedStoppedShare) {

    /**
     * A part of the plan that is played later than this was not played as planned; a pause may be longer by so much.
     */
    static final double MAX_LATE_SECONDS = 0.05;

    /** Once starting the clients takes longer, the process has run for longer than any plan says. */
    private static final double MAX_CLIENTS_START_SECONDS = ShutdownPlan.MAX_RUNS_FOR;

    /** Of the planned share, which signals that come late may lower by so much. */
    private static final double MAX_SHARE_DIFFERENCE = 0.1;

    /** One signal with its planned time and that at which it was sent. */
    record SentSignal(Signal signal, double plannedAt, double sentAt) {

        double late() {
            return sentAt - plannedAt;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s%+.3f/%+.3f", signal, plannedAt, sentAt);
        }
    }

    /** Why the plan was not played; empty where it was. */
    String notPlayedBecause() {
        if (clientsStartedIn > MAX_CLIENTS_START_SECONDS) {
            return String.format(Locale.ROOT, "starting the clients took %.3f s", clientsStartedIn);
        }
        if (plannedStoppedShare - stoppedShare > MAX_SHARE_DIFFERENCE) {
            return String.format(Locale.ROOT, "stopped for %.2f of the time", stoppedShare);
        }
        return signals.stream()
                .filter(each -> each.late() > MAX_LATE_SECONDS)
                .findFirst()
                .map(each -> "late signal: " + each)
                .orElse("");
    }

    @Override
    public String toString() {
        String share = plannedStoppedShare > 0
                ? String.format(Locale.ROOT, " stopped-share=%.2f/%.2f", plannedStoppedShare, stoppedShare)
                : "";
        return String.format(Locale.ROOT, "planned/played: clients-started=0.000/%.3f%s ", clientsStartedIn, share)
                + signals.stream().map(SentSignal::toString).collect(Collectors.joining(" "));
    }
}
