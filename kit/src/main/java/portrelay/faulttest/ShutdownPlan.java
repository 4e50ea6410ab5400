package portrelay.faulttest;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;

/**
 * One shutdown to be played, drawn from a seed. Times are seconds.
 *
 * @param seed what it was drawn from
 * @param maxDeadline of all request classes
 * @param clients how many send one request after the other
 * @param pipelining how many of them send two requests in one write
 * @param resting further connections that send a request, rest, and send another one after SIGTERM
 * @param uploads how many more send bodies that are streamed
 * @param hangingShare of the answers that never come, from just before SIGTERM on
 * @param isBeforeReady whether SIGTERM comes before the process is ready
 * @param runsFor from ready, or from the first sign that it listens, to SIGTERM
 * @param series the signals of a series around SIGTERM
 * @param pauses when the process is stopped
 * @param stoppedShare of each 25 ms from SIGTERM on for which the process is stopped, 0 for none
 * @param successor how long before SIGTERM another process of the same sidecar is started, 0 for none
 */
public record ShutdownPlan(
        long seed,
        double maxDeadline,
        int clients,
        int pipelining,
        int resting,
        int uploads,
        double hangingShare,
        boolean isBeforeReady,
        double runsFor,
        Series series,
        List<ProcessPause> pauses,
        double stoppedShare,
        double successor) {

    /**
     * By the platform's protocol SIGKILL comes no sooner than this and the longest deadline after SIGTERM, in seconds.
     */
    public static final double KILL_GRACE = 0.7;

    /** How long one pause lasts. */
    public static final double PAUSE = 0.15;

    /** The longest time from ready to SIGTERM that is drawn. */
    static final double MAX_RUNS_FOR = 0.8;

    private static final int USUAL_CLIENTS = 24;
    private static final int MANY_CLIENTS = 150;
    private static final int MANY_RESTING = 250;
    private static final double USUAL_HANGING_SHARE = 0.4;
    private static final double STARVED_SHARE = 0.8;
    private static final double PAUSE_DISTANCE = 0.02;

    /** Signals beside the first SIGTERM, some milliseconds apart. */
    public enum Series {
        NONE,
        HANGUP_FIRST,
        TERM_TWICE,
        ALL
    }

    /** When SIGKILL comes, in seconds after SIGTERM. */
    public double killAt() {
        return maxDeadline + KILL_GRACE;
    }

    /** The plan of that seed. */
    public static ShutdownPlan draw(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        double deadline = random.nextDouble(0.4, 2);
        boolean isCrowded = random.nextInt(5) == 0;
        boolean isBeforeReady = random.nextInt(4) == 0;
        boolean isStarved = random.nextInt(6) == 0;
        double successor = !isBeforeReady && random.nextInt(8) == 0 ? random.nextDouble(0.5, 4) : 0;
        return new ShutdownPlan(
                seed,
                deadline,
                isCrowded ? MANY_CLIENTS : USUAL_CLIENTS,
                random.nextInt(4) == 0 ? 4 : 0,
                isCrowded ? MANY_RESTING : random.nextInt(2) * USUAL_CLIENTS,
                random.nextInt(4) == 0 ? 2 : 0,
                USUAL_HANGING_SHARE,
                isBeforeReady,
                isBeforeReady ? random.nextDouble(0, 0.6) : random.nextDouble(0.3, MAX_RUNS_FOR),
                Series.values()[random.nextInt(Series.values().length)],
                isStarved ? List.of() : pauses(random, deadline + KILL_GRACE),
                isStarved ? STARVED_SHARE : 0,
                successor);
    }

    /** A plan that is not drawn: one pause that ends with the kill, and nothing else. */
    public static ShutdownPlan pauseThatEndsWithTheKill(double maxDeadline) {
        double from = maxDeadline + KILL_GRACE - PAUSE;
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
                List.of(new ProcessPause(from, PAUSE)),
                0,
                0);
    }

    private static List<ProcessPause> pauses(SplittableRandom random, double killAt) {
        List<ProcessPause> pauses = new ArrayList<>();
        if (random.nextInt(3) == 0) {
            // SIGTERM comes while it is stopped.
            pauses.add(new ProcessPause(-random.nextDouble(0, PAUSE), PAUSE));
        }
        for (int i = random.nextInt(4); i > 0; i--) {
            pauses.add(new ProcessPause(random.nextDouble(0, killAt - PAUSE), PAUSE));
        }
        if (random.nextInt(2) == 0) {
            pauses.add(new ProcessPause(killAt - PAUSE - random.nextInt(3) * 0.025, PAUSE));
        }
        pauses.sort((a, b) -> Double.compare(a.from(), b.from()));
        return withoutOverlaps(pauses);
    }

    /** A pause that would begin before another one ends begins some time behind it. */
    private static List<ProcessPause> withoutOverlaps(List<ProcessPause> sorted) {
        List<ProcessPause> apart = new ArrayList<>();
        double earliest = Double.NEGATIVE_INFINITY;
        for (ProcessPause each : sorted) {
            ProcessPause moved = new ProcessPause(Math.max(each.from(), earliest), each.length());
            apart.add(moved);
            earliest = moved.until() + PAUSE_DISTANCE;
        }
        return apart;
    }

    @Override
    public String toString() {
        StringBuilder holds = new StringBuilder();
        pauses.forEach(each -> holds.append(String.format(Locale.ROOT, " %.3f..%.3f", each.from(), each.until())));
        return String.format(
                Locale.ROOT,
                "seed=%d deadline=%.3f kill=%.3f clients=%d pipelining=%d resting=%d uploads=%d"
                        + " early=%s runs-for=%.2f series=%s holds=[%s] stopped=%.1f successor=%.1f",
                seed,
                maxDeadline,
                killAt(),
                clients,
                pipelining,
                resting,
                uploads,
                isBeforeReady,
                runsFor,
                series,
                holds.toString().trim(),
                stoppedShare,
                successor);
    }
}
