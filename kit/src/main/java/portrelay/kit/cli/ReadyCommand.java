package portrelay.kit.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import portrelay.cli.Command;
import portrelay.standin.Discovery;
import portrelay.standin.Sidecars;

/**
 * The command "ready": starts several sidecars at once while discovery refuses most calls, and measures the time until
 * each is ready. Exits with 0 if nine in ten are ready in time.
 */
@Parameters(
        commandDescription =
                "measure how soon real sidecars that start at once are ready while discovery refuses most calls")
final class ReadyCommand implements Command {

    private static final int INVALID_USAGE = 2;
    private static final int FAILURE = 1;
    private static final int MAX_PROCESSES = 200;
    private static final int MAX_UPSTREAMS = 10_000;
    /** The share of calls that discovery refuses at the beginning. */
    private static final double REFUSED_SHARE = 0.9;

    private static final long POLL_MILLIS = 20;

    @Parameter(names = "--root", description = "root folder of the checkout, which has to be built")
    private String root = ".";

    @Parameter(names = "--processes", description = "number of sidecars that start at once, 1 to 200")
    private int processes = 10;

    @Parameter(names = "--per-core", description = "number of sidecars that share one core, at least 1")
    private int processesPerCore = 10;

    @Parameter(names = "--upstreams", description = "number of rows in the endpoint list, 0 to 10000")
    private int upstreams = 200;

    @Parameter(
            names = "--refuse-s",
            description = "seconds from the start for which discovery refuses nine in ten of its calls")
    private double refusingSeconds = 5;

    @Parameter(names = "--within-s", description = "seconds within which nine in ten sidecars have to be ready")
    private double readyWithinSeconds = 10;

    @Parameter(
            names = "--give-up-s",
            description = "seconds after which to stop waiting for sidecars that are not ready")
    private double giveUpSeconds = 60;

    @Override
    public int run() {
        String invalid = invalidOption();
        if (invalid != null) {
            System.err.println("portrelay-kit ready: " + invalid);
            return INVALID_USAGE;
        }
        try {
            return timeStarts();
        } catch (IOException e) {
            System.err.println("portrelay-kit ready: " + e.getMessage());
            return FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILURE;
        }
    }

    /** Returns a message about the first invalid option; null if all are valid. */
    private String invalidOption() {
        if (processes < 1 || processes > MAX_PROCESSES) {
            return "--processes: 1 to 200";
        }
        if (processesPerCore < 1) {
            return "--per-core: 1 at least";
        }
        if (upstreams < 0 || upstreams > MAX_UPSTREAMS) {
            return "--upstreams: 0 to 10000";
        }
        if (refusingSeconds < 0 || readyWithinSeconds <= 0 || giveUpSeconds <= 0) {
            return "--refuse-s, --within-s, --give-up-s: seconds";
        }
        return Files.exists(Path.of(root, "deploy", "run.sh")) ? null : "--root: no deploy/run.sh in " + root;
    }

    private int timeStarts() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("portrelay-ready");
        double[] readyAfter = new double[processes];
        Arrays.fill(readyAfter, Double.POSITIVE_INFINITY);
        try (Discovery discovery = new Discovery(1);
                Sidecars sidecars = new Sidecars(Path.of(root), folder)) {
            String rows = Sidecars.endpointRows(0, upstreams, "SERVING");
            discovery.publish(rows, "");
            discovery.refuse(REFUSED_SHARE, refusingSeconds);
            long startedAt = System.nanoTime();
            for (int i = 0; i < processes; i++) {
                sidecars.start(processes, i / processesPerCore, discovery.address(), rows);
            }
            awaitAll(sidecars, startedAt, readyAfter);
            System.err.println("discovery: " + discovery.calls() + " calls, " + discovery.refused() + " refused");
        }
        return print(readyAfter);
    }

    /** Polls each process on a thread of its own until it is ready. */
    private void awaitAll(Sidecars sidecars, long startedAt, double[] readyAfter) throws InterruptedException {
        List<Thread> watchers = new ArrayList<>();
        for (int i = 0; i < processes; i++) {
            int index = i;
            Thread watcher = new Thread(() ->
                    readyAfter[index] = secondsUntilReady(sidecars.instances().get(index), startedAt));
            watchers.add(watcher);
            watcher.start();
        }
        for (Thread watcher : watchers) {
            watcher.join();
        }
    }

    /**
     * Returns the time from the start until the process was ready; infinity if it ended or did not become ready in
     * time.
     */
    private double secondsUntilReady(Sidecars.Instance sidecar, long startedAt) {
        while (secondsSince(startedAt) < giveUpSeconds && sidecar.process().isAlive()) {
            if (Sidecars.isReady(sidecar)) {
                return secondsSince(startedAt);
            }
            try {
                Thread.sleep(POLL_MILLIS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                break;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    private static double secondsSince(long nanoTime) {
        return (System.nanoTime() - nanoTime) / 1e9;
    }

    private int print(double[] readyAfter) {
        for (int i = 0; i < processes; i++) {
            System.out.printf(Locale.ROOT, "n%d ready after %.2f s%n", i, readyAfter[i]);
        }
        Arrays.sort(readyAfter);
        double p90Seconds = readyAfter[(int) Math.ceil(0.9 * processes) - 1];
        System.out.printf(
                Locale.ROOT,
                "%d processes, %d a core: half %.2f s, nine in ten %.2f s, last %.2f s%n",
                processes,
                processesPerCore,
                readyAfter[(processes - 1) / 2],
                p90Seconds,
                readyAfter[processes - 1]);
        return p90Seconds <= readyWithinSeconds ? 0 : FAILURE;
    }
}
