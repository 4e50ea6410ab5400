package portrelay.faulttest;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import portrelay.standin.Signals.Signal;

/** The signals of a plan in the order of their times, which are seconds after SIGTERM. */
final class SignalTimeline {

    private static final double STARVATION_PERIOD = 0.025;
    private static final double STARVATION_BEGINS = 0.001;
    private static final double SERIES_INTERVAL = 0.03;

    private SignalTimeline() {}

    /** A signal and its time in seconds after SIGTERM. */
    record TimedSignal(double at, Signal signal) {

        /** Whether it is the SIGTERM that all times count from. */
        boolean isTerm() {
            return signal == Signal.TERM && at == 0;
        }
    }

    /** From the first one before SIGTERM to SIGKILL. */
    static List<TimedSignal> of(ShutdownPlan plan) {
        List<TimedSignal> signals = new ArrayList<>();
        signals.add(new TimedSignal(0, Signal.TERM));
        addSeries(signals, plan.series());
        for (ProcessPause each : plan.pauses()) {
            signals.add(new TimedSignal(each.from(), Signal.STOP));
            if (each.until() < plan.killAt()) {
                signals.add(new TimedSignal(each.until(), Signal.CONT));
            }
        }
        for (double at = STARVATION_BEGINS; plan.stoppedShare() > 0 && at < plan.killAt(); at += STARVATION_PERIOD) {
            signals.add(new TimedSignal(at, Signal.STOP));
            signals.add(new TimedSignal(at + STARVATION_PERIOD * plan.stoppedShare(), Signal.CONT));
        }
        signals.removeIf(each -> each.at >= plan.killAt());
        signals.add(new TimedSignal(plan.killAt(), Signal.KILL));
        signals.sort(Comparator.comparingDouble(TimedSignal::at));
        return signals;
    }

    private static void addSeries(List<TimedSignal> signals, ShutdownPlan.Series series) {
        switch (series) {
            case NONE -> {}
            case HANGUP_FIRST -> signals.add(new TimedSignal(-SERIES_INTERVAL, Signal.HUP));
            case TERM_TWICE -> signals.add(new TimedSignal(SERIES_INTERVAL, Signal.TERM));
            case ALL -> {
                signals.add(new TimedSignal(-SERIES_INTERVAL, Signal.HUP));
                signals.add(new TimedSignal(SERIES_INTERVAL, Signal.TERM));
                signals.add(new TimedSignal(2 * SERIES_INTERVAL, Signal.HUP));
                signals.add(new TimedSignal(3 * SERIES_INTERVAL, Signal.TERM));
            }
        }
    }
}
