package portrelay.faulttest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import portrelay.standin.Signals.Signal;

/** Lists the signals of a plan in the order of their times, which are seconds after SIGTERM. */
final class SignalTimeline {

    /** While the process is starved, it is stopped once in this time, for the stopped share of the plan. */
    private static final double STARVATION_PERIOD_SECONDS = 0.025;

    private static final double STARVATION_START_SECONDS = 0.001;
    /** The time between the signals of a series. */
    private static final double SERIES_INTERVAL_SECONDS = 0.03;

    private SignalTimeline() {}

    /**
     * A signal and its planned time.
     *
     * @param offsetSeconds seconds after SIGTERM; negative for a signal that precedes it
     */
    record TimedSignal(double offsetSeconds, Signal signal) {

        /** Whether this is the SIGTERM from which all times are counted; the plan may contain further ones. */
        boolean isReferenceTerm() {
            return signal == Signal.TERM && offsetSeconds == 0;
        }
    }

    /** Returns all signals of the plan, from the first one (which may precede SIGTERM) to SIGKILL. */
    static List<TimedSignal> of(ShutdownPlan plan) {
        List<TimedSignal> signals = new ArrayList<>();
        signals.add(new TimedSignal(0, Signal.TERM));
        addSeries(signals, plan.series());
        for (ProcessPause pause : plan.pauses()) {
            signals.add(new TimedSignal(pause.from(), Signal.STOP));
            if (pause.until() < plan.killAt()) {
                signals.add(new TimedSignal(pause.until(), Signal.CONT));
            }
        }
        for (double offsetSeconds = STARVATION_START_SECONDS;
                plan.stoppedShare() > 0 && offsetSeconds < plan.killAt();
                offsetSeconds += STARVATION_PERIOD_SECONDS) {
            signals.add(new TimedSignal(offsetSeconds, Signal.STOP));
            signals.add(new TimedSignal(offsetSeconds + STARVATION_PERIOD_SECONDS * plan.stoppedShare(), Signal.CONT));
        }
        signals.removeIf(signal -> signal.offsetSeconds >= plan.killAt());
        signals.add(new TimedSignal(plan.killAt(), Signal.KILL));
        signals.sort(Comparator.comparingDouble(TimedSignal::offsetSeconds));
        return signals;
    }

    private static void addSeries(List<TimedSignal> signals, ShutdownPlan.Series series) {
        switch (series) {
            case NONE -> {}
            case HANGUP_FIRST -> signals.add(new TimedSignal(-SERIES_INTERVAL_SECONDS, Signal.HUP));
            case TERM_TWICE -> signals.add(new TimedSignal(SERIES_INTERVAL_SECONDS, Signal.TERM));
            case ALL -> {
                signals.add(new TimedSignal(-SERIES_INTERVAL_SECONDS, Signal.HUP));
                signals.add(new TimedSignal(SERIES_INTERVAL_SECONDS, Signal.TERM));
                signals.add(new TimedSignal(2 * SERIES_INTERVAL_SECONDS, Signal.HUP));
                signals.add(new TimedSignal(3 * SERIES_INTERVAL_SECONDS, Signal.TERM));
            }
        }
    }
}
