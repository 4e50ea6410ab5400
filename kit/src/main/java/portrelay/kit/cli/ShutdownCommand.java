package portrelay.kit.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import portrelay.cli.Command;
import portrelay.faulttest.ShutdownPlan;
import portrelay.faulttest.ShutdownReport;
import portrelay.faulttest.ShutdownRound;
import portrelay.faulttest.ShutdownTotals;

/**
 * The command "shutdown": runs rounds of the shutdown fault test, each with its own seed, and fails if a round breaks a
 * rule or ends with an error.
 */
@Parameters(
        commandDescription = "shut down real sidecars under random disturbances and check the outcome of each request")
final class ShutdownCommand implements Command {

    private static final int INVALID_USAGE = 2;
    private static final int FAILURE = 1;
    private static final int MAX_ROUNDS = 10_000;
    private static final int MAX_PARALLEL_ROUNDS = 8;

    @Parameter(names = "--seed", description = "seed of the first round; each further round uses the next number")
    private long seed = 1;

    @Parameter(names = "--count", description = "number of rounds, 1 to 10000")
    private int count = 10;

    @Parameter(names = "--at-once", description = "number of rounds that run in parallel, 1 to 8")
    private int parallelRounds = 1;

    @Parameter(names = "--files", description = "folder for configurations and logs; a new temporary folder by default")
    private String filesFolder;

    @Override
    public int run() {
        String invalid = invalidOption();
        if (invalid != null) {
            System.err.println("portrelay-kit shutdown: " + invalid);
            return INVALID_USAGE;
        }
        try {
            return play();
        } catch (IOException e) {
            System.err.println("portrelay-kit shutdown: " + e.getMessage());
            return FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILURE;
        }
    }

    /** Returns a message about the first invalid option; null if all are valid. */
    private String invalidOption() {
        if (count < 1 || count > MAX_ROUNDS) {
            return "--count: 1 to " + MAX_ROUNDS;
        }
        if (parallelRounds < 1 || parallelRounds > MAX_PARALLEL_ROUNDS) {
            return "--at-once: 1 to " + MAX_PARALLEL_ROUNDS;
        }
        return null;
    }

    private int play() throws IOException, InterruptedException {
        Path folder = filesFolder == null ? Files.createTempDirectory("portrelay-shutdown") : Path.of(filesFolder);
        ExecutorService workers = Executors.newFixedThreadPool(parallelRounds);
        List<Future<List<ShutdownReport>>> rounds = new ArrayList<>();
        for (long roundSeed = seed; roundSeed < seed + count; roundSeed++) {
            ShutdownPlan plan = ShutdownPlan.draw(roundSeed);
            Path files = folder.resolve("seed-" + roundSeed);
            rounds.add(workers.submit(() -> ShutdownRound.playUntilValid(plan, files)));
        }
        workers.shutdown();
        return print(rounds, folder);
    }

    /**
     * Prints each play of each round, in the order of the seeds, and the totals; returns the exit code. A round that
     * ends with an error counts as such, and the others go on.
     */
    private int print(List<Future<List<ShutdownReport>>> rounds, Path folder) throws InterruptedException {
        ShutdownTotals totals = new ShutdownTotals();
        long roundSeed = seed;
        for (Future<List<ShutdownReport>> round : rounds) {
            try {
                List<ShutdownReport> plays = round.get();
                plays.forEach(ShutdownCommand::print);
                totals.add(plays);
            } catch (ExecutionException e) {
                System.out.println("seed=" + roundSeed + ": ERROR " + e.getCause());
                totals.addError();
            }
            roundSeed++;
        }
        System.out.println(count + " rounds from seed " + seed + ": " + totals + "; logs in " + folder);
        return totals.hasPassed() ? 0 : FAILURE;
    }

    private static void print(ShutdownReport report) {
        System.out.println(report);
        report.violations().forEach(violation -> System.out.println("  " + violation));
    }
}
