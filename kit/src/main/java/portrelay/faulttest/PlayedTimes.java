package portrelay.faulttest;

import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;
import portrelay.standin.Signals.Signal;

/**
 * The times at which the parts of a plan were actually played. On a busy machine clients start late and signals are
 * sent late; the sidecar's behaviour then proves nothing about the plan. Times are seconds after SIGTERM.
 *
 * @param clientsStartSeconds how long it took to start all clients, in seconds; by the plan they start at once
 * @param signals the signals that were sent, without those that starve the process
 * @param stoppedShare the share of the time from SIGTERM to SIGKILL for which the process was stopped to starve it
 * @param plannedStoppedShare the same share by the plan
 */
record PlayedTimes(
        double clientsStartSeconds, List<SentSignal> signals, double stoppedShare, double plannedStoppedShare) {

    /**
     * The tolerance in seconds: if a signal is sent later than planned by more than this, the plan counts as not
     * played; a pause may be longer than planned by this much.
     */
    static final double MAX_LATE_SECONDS = 0.05;

    /** If starting the clients takes longer than this, the process has run for longer than in any plan. */
    private static final double MAX_CLIENTS_START_SECONDS = ShutdownPlan.MAX_RUN_SECONDS;

    /** By how much signals that are sent late may lower the stopped share below the planned one. */
    private static final double MAX_SHARE_DIFFERENCE = 0.1;

    /** A signal with its planned time and the time at which it was sent, both in seconds after SIGTERM. */
    record SentSignal(Signal signal, double plannedAt, double sentAt) {

        double lateSeconds() {
            return sentAt - plannedAt;
        }

        @Override
        public String toString() {
            return String.format(Locale.ROOT, "%s%+.3f/%+.3f", signal, plannedAt, sentAt);
        }
    }

    /** Returns why the plan counts as not played, or an empty string if it was played. */
    String notPlayedReason() {
        if (clientsStartSeconds > MAX_CLIENTS_START_SECONDS) {
            return String.format(Locale.ROOT, "starting the clients took %.3f s", clientsStartSeconds);
        }
        if (plannedStoppedShare - stoppedShare > MAX_SHARE_DIFFERENCE) {
            return String.format(Locale.ROOT, "stopped for %.2f of the time", stoppedShare);
        }
        return signals.stream()
                .filter(signal -> signal.lateSeconds() > MAX_LATE_SECONDS)
                .findFirst()
                .map(signal -> "late signal: " + signal)
                .orElse("");
    }

    @Override
    public String toString() {
        String share = plannedStoppedShare > 0
                ? String.format(Locale.ROOT, " stopped-share=%.2f/%.2f", plannedStoppedShare, stoppedShare)
                : "";
        return String.format(Locale.ROOT, "planned/played: clients-started=0.000/%.3f%s ", clientsStartSeconds, share)
                + signals.stream().map(SentSignal::toString).collect(Collectors.joining(" "));
    }
}
