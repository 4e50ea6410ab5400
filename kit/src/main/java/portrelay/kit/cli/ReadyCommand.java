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

@Parameters(commandDescription = "time real sidecars that start at once before a discovery that refuses")
final class ReadyCommand implements Command {

    private static final int BAD_USE = 2;

    @Parameter(names = "--root", description = "the built checkout")
    private String root = ".";

    @Parameter(names = "--processes", description = "how many start at once")
    private int processes = 10;

    @Parameter(names = "--per-core", description = "how many share one core")
    private int perCore = 10;

    @Parameter(names = "--upstreams", description = "rows of the list that each one knows")
    private int upstreams = 200;

    @Parameter(names = "--refuse-s", description = "seconds in which discovery refuses nine calls of ten")
    private double refuseFor = 5;

    @Parameter(names = "--within-s", description = "nine of ten have to be ready by then")
    private double within = 10;

    @Parameter(names = "--give-up-s", description = "when to stop waiting for the last one")
    private double giveUp = 60;

    @Override
    public int run() {
        String bad = processes < 1 || processes > 200
                ? "--processes: 1 to 200"
                : perCore < 1
                        ? "--per-core: 1 at least"
                        : upstreams < 0 || upstreams > 10_000
                                ? "--upstreams: 0 to 10000"
                                : refuseFor < 0 || within <= 0 || giveUp <= 0
                                        ? "--refuse-s, --within-s, --give-up-s: seconds"
                                        : !Files.exists(Path.of(root, "deploy", "run.sh"))
                                                ? "--root: no deploy/run.sh in " + root
                                                : null;
        if (bad != null) {
            System.err.println("portrelay-kit ready: " + bad);
            return BAD_USE;
        }
        try {
            return time();
        } catch (IOException e) {
            System.err.println("portrelay-kit ready: " + e.getMessage());
            return 1;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    private int time() throws IOException, InterruptedException {
        Path dir = Files.createTempDirectory("portrelay-ready");
        double[] ready = new double[processes];
        Arrays.fill(ready, Double.POSITIVE_INFINITY);
        try (Discovery discovery = new Discovery(1);
                Sidecars sidecars = new Sidecars(Path.of(root), dir)) {
            String rows = Sidecars.rows(0, upstreams, "SERVING");
            discovery.list(rows, "");
            discovery.refuse(0.9, refuseFor);
            long start = System.nanoTime();
            for (int i = 0; i < processes; i++) {
                sidecars.start(processes, i / perCore, discovery.address(), rows);
            }
            List<Thread> watchers = new ArrayList<>();
            for (int i = 0; i < processes; i++) {
                int one = i;
                Thread watcher =
                        new Thread(() -> ready[one] = untilReady(sidecars.all().get(one), start));
                watchers.add(watcher);
                watcher.start();
            }
            for (Thread each : watchers) {
                each.join();
            }
            System.err.println("discovery: " + discovery.calls() + " calls, " + discovery.refused() + " refused");
        }
        for (int i = 0; i < processes; i++) {
            System.out.printf(Locale.ROOT, "n%d ready after %.2f s%n", i, ready[i]);
        }
        Arrays.sort(ready);
        double nineInTen = ready[(int) Math.ceil(0.9 * processes) - 1];
        System.out.printf(
                Locale.ROOT,
                "%d processes, %d a core: half %.2f s, nine in ten %.2f s, last %.2f s%n",
                processes,
                perCore,
                ready[(processes - 1) / 2],
                nineInTen,
                ready[processes - 1]);
        return nineInTen <= within ? 0 : 1;
    }

    private double untilReady(Sidecars.One one, long start) {
        while ((System.nanoTime() - start) / 1e9 < giveUp && one.process().isAlive()) {
            if (Sidecars.ready(one)) {
                return (System.nanoTime() - start) / 1e9;
            }
            try {
                Thread.sleep(20);
            } catch (InterruptedException e) {
                break;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
