package portrelay.faulttest;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * The plan of one shutdown, drawn from a seed. Times are in seconds.
 *
 * @param seed the seed from which the plan was drawn
 * @param maxDeadline the longest deadline of all request classes
 * @param clients the number of clients that send one request after the other
 * @param pipeliningClients the number of these that send two requests in one write
 * @param restingClients the number of further clients that send a request, pause, and send another one after SIGTERM
 * @param uploadingClients the number of further clients that send streamed bodies
 * @param hangingShare the share of requests that the upstreams never answer, from just before SIGTERM on
 * @param isBeforeReady whether SIGTERM is sent before the process is ready
 * @param runSeconds the time from readiness, or from the first accepted connection, to SIGTERM; not used if there is a
 *     successor
 * @param series the further signals around SIGTERM
 * @param pauses the intervals in which the process is stopped
 * @param stoppedShare the share of each 25 ms after SIGTERM for which the process is stopped; 0 for none
 * @param successorLeadSeconds the time before SIGTERM at which a second process of the same sidecar is started; 0 for
 *     none
 */
public record ShutdownPlan(
        long seed,
        double maxDeadline,
        int clients,
        int pipeliningClients,
        int restingClients,
        int uploadingClients,
        double hangingShare,
        boolean isBeforeReady,
        double runSeconds,
        Series series,
        List<ProcessPause> pauses,
        double stoppedShare,
        double successorLeadSeconds) {

    /**
     * The time in seconds between the longest deadline after SIGTERM and the earliest SIGKILL, by the platform's
     * protocol.
     */
    public static final double KILL_GRACE_SECONDS = 0.7;

    /** The duration of one pause, in seconds. */
    public static final double PAUSE_SECONDS = 0.15;

    /** The upper bound of the drawn times from readiness to SIGTERM, in seconds. */
    static final double MAX_RUN_SECONDS = 0.8;

    private static final int USUAL_CLIENTS = 24;
    private static final int MANY_CLIENTS = 150;
    private static final int MANY_RESTING = 250;
    private static final double USUAL_HANGING_SHARE = 0.4;
    private static final double STARVED_SHARE = 0.8;
    private static final double MIN_PAUSE_GAP_SECONDS = 0.02;

    /** The signals in addition to the first SIGTERM; {@link SignalTimeline} has their times. */
    public enum Series {
        /** No further signals. */
        NONE,
        /** SIGHUP before SIGTERM. */
        HANGUP_FIRST,
        /** A second SIGTERM. */
        TERM_TWICE,
        /** SIGHUP before SIGTERM, then SIGTERM, SIGHUP and SIGTERM again. */
        ALL
    }

    /** Returns the time of SIGKILL, in seconds after SIGTERM. */
    public double killAt() {
        return maxDeadline + KILL_GRACE_SECONDS;
    }

    /** Draws the plan of the given seed; the same seed always gives the same plan. */
    public static ShutdownPlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double deadline = random.nextDouble(0.4, 2);
        boolean isCrowded = random.nextInt(5) == 0;
        boolean isBeforeReady = random.nextInt(4) == 0;
        boolean isStarved = random.nextInt(6) == 0;
        double successorLeadSeconds = !isBeforeReady && random.nextInt(8) == 0 ? random.nextDouble(0.5, 4) : 0;
        return new ShutdownPlan(
                seed,
                deadline,
                isCrowded ? MANY_CLIENTS : USUAL_CLIENTS,
                random.nextInt(4) == 0 ? 4 : 0,
                isCrowded ? MANY_RESTING : random.nextInt(2) * USUAL_CLIENTS,
                random.nextInt(4) == 0 ? 2 : 0,
                USUAL_HANGING_SHARE,
                isBeforeReady,
                isBeforeReady ? random.nextDouble(0, 0.6) : random.nextDouble(0.3, MAX_RUN_SECONDS),
                Series.values()[random.nextInt(Series.values().length)],
                isStarved ? List.of() : pauses(random, deadline + KILL_GRACE_SECONDS),
                isStarved ? STARVED_SHARE : 0,
                successorLeadSeconds);
    }

    /** Returns a fixed plan whose only disturbance is one pause that ends at SIGKILL. */
    public static ShutdownPlan pauseThatEndsAtSigkill(double maxDeadline) {
        double from = maxDeadline + KILL_GRACE_SECONDS - PAUSE_SECONDS;
        return new ShutdownPlan(
                1,
                maxDeadline,
                USUAL_CLIENTS,
                0,
                0,
                0,
                USUAL_HANGING_SHARE,
                false,
                1,
                Series.NONE,
                List.of(new ProcessPause(from, PAUSE_SECONDS)),
                0,
                0);
    }

    private static List<ProcessPause> pauses(SplittableRandom random, double killAt) {
        List<ProcessPause> pauses = new ArrayList<>();
        if (random.nextInt(3) == 0) {
            // SIGTERM is sent while the process is stopped.
            pauses.add(new ProcessPause(-random.nextDouble(0, PAUSE_SECONDS), PAUSE_SECONDS));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            pauses.add(new ProcessPause(random.nextDouble(0, killAt - PAUSE_SECONDS), PAUSE_SECONDS));
        }
        if (random.nextInt(2) == 0) {
            pauses.add(new ProcessPause(killAt - PAUSE_SECONDS - random.nextInt(3) * 0.025, PAUSE_SECONDS));
        }
        pauses.sort((a, b) -> Double.compare(a.from(), b.from()));
        return withoutOverlaps(pauses);
    }

    /** Moves each pause that would overlap the preceding one to begin shortly after it. */
    private static List<ProcessPause> withoutOverlaps(List<ProcessPause> sorted) {
        List<ProcessPause> separated = new ArrayList<>();
        double earliest = Double.NEGATIVE_INFINITY;
        for (ProcessPause pause : sorted) {
            ProcessPause shifted = new ProcessPause(Math.max(pause.from(), earliest), pause.length());
            separated.add(shifted);
            earliest = shifted.until() + MIN_PAUSE_GAP_SECONDS;
        }
        return separated;
    }

    @Override
    public String toString() {
        StringBuilder pauseTexts = new StringBuilder();
        pauses.forEach(
                pause -> pauseTexts.append(String.format(Locale.ROOT, " %.3f..%.3f", pause.from(), pause.until())));
        return String.format(
                Locale.ROOT,
                "seed=%d deadline=%.3f kill=%.3f clients=%d pipelining=%d resting=%d uploads=%d"
                        + " early=%s runs-for=%.2f series=%s holds=[%s] stopped=%.1f successor=%.1f",
                seed,
                maxDeadline,
                killAt(),
                clients,
                pipeliningClients,
                restingClients,
                uploadingClients,
                isBeforeReady,
                runSeconds,
                series,
                pauseTexts.toString().trim(),
                stoppedShare,
                successorLeadSeconds);
    }
}
