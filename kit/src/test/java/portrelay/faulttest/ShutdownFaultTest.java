package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Shuts down real processes with real signals; see docs/incidents/797f51-shutdown.md. */
@Timeout(300)
class ShutdownFaultTest {

    private static final int PAUSE_ROUNDS = 3;
    private static final int DRAWN_ROUNDS = 36;
    private static final int PARALLEL_ROUNDS = 3;
    private static final int MAX_PRINTED_VIOLATIONS = 5;
    private static final long FIRST_SEED = 797_051;
    private static final long COLD_CROWD_SEED = 2312;

    @TempDir
    private Path files;

    /**
     * Guards against incident 797f51: answers were due 0.1 s before SIGKILL while the process was paused for longer
     * than that, so that they were lost.
     */
    @Test
    void aPauseThatEndsAtSigkillLosesNoAnswer() throws Exception {
        for (int round = 0; round < PAUSE_ROUNDS; round++) {
            ShutdownPlan plan = ShutdownPlan.pauseThatEndsAtSigkill(0.5 + 0.5 * round);
            ShutdownReport report = new ShutdownRound(plan, files.resolve("round-" + round)).play();
            assertTrue(report.answered() > 0, "no request was answered: " + report);
            assertEquals(List.of(), report.violations(), report.toString());
        }
    }

    /**
     * Guards against reading more requests than can be answered before SIGKILL: 400 clients that do not wait for
     * {@code /up} connect to a cold process that gets a fifth of a core and receives SIGTERM as soon as it listens.
     */
    @Test
    void aCrowdOnAColdProcessWithAFifthOfACoreLosesNothing() throws Exception {
        for (int round = 0; round < PAUSE_ROUNDS; round++) {
            ShutdownPlan plan = ShutdownPlan.draw(COLD_CROWD_SEED);
            assertTrue(plan.isBeforeReady() && plan.stoppedShare() > 0, plan.toString());
            List<ShutdownReport> plays = ShutdownRound.playUntilValid(plan, files.resolve("cold-" + round));
            ShutdownReport report = plays.get(plays.size() - 1);
            assertTrue(report.isValid(), plays.toString());
            assertEquals(List.of(), report.violations(), report.toString());
        }
    }

    /**
     * Plays plans drawn from fixed seeds, with pauses, series of signals, many clients, long bodies, pipelining,
     * successors, and processes that get a share of a core.
     */
    @Test
    void drawnShutdownsLoseNothing() throws Exception {
        ExecutorService workers = Executors.newFixedThreadPool(PARALLEL_ROUNDS);
        List<Future<List<ShutdownReport>>> rounds = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + DRAWN_ROUNDS; seed++) {
            ShutdownPlan plan = ShutdownPlan.draw(seed);
            Path roundFiles = files.resolve("seed-" + seed);
            rounds.add(workers.submit(() -> ShutdownRound.playUntilValid(plan, roundFiles)));
        }
        workers.shutdown();
        List<String> broken = new ArrayList<>();
        int requests = 0;
        int valid = 0;
        for (Future<List<ShutdownReport>> round : rounds) {
            List<ShutdownReport> plays = round.get();
            plays.stream().filter(play -> !play.isValid()).forEach(System.out::println);
            ShutdownReport report = plays.get(plays.size() - 1);
            requests += report.requests();
            valid += report.isValid() ? 1 : 0;
            if (report.isValid() && !report.violations().isEmpty()) {
                broken.add(report + " "
                        + report.violations().stream()
                                .limit(MAX_PRINTED_VIOLATIONS)
                                .toList());
            }
        }
        System.out.println("drawn shutdowns: rounds=" + DRAWN_ROUNDS + " counted=" + valid + " requests=" + requests
                + " broken=" + broken.size());
        assertTrue(valid > DRAWN_ROUNDS / 2, "the machine is too busy for a result; rounds that count: " + valid);
        assertTrue(requests > 100 * DRAWN_ROUNDS, "too few requests for a result: " + requests);
        assertEquals(List.of(), broken);
    }
}
