package portrelay.kit.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import portrelay.cli.Command;
import portrelay.faulttest.scale.ScalePlan;
import portrelay.faulttest.scale.ScaleReport;
import portrelay.faulttest.scale.ScaleRound;

/**
 * The command "soak": runs rounds of the fault test with up to thousands of upstreams, one after the other, and fails
 * if a round breaks a rule or ends with an error.
 */
@Parameters(
        commandDescription = "run real sidecars with up to thousands of upstreams under random, overlapping faults and"
                + " check each request")
final class SoakCommand implements Command {

    private static final int INVALID_USAGE = 2;
    private static final int FAILURE = 1;
    private static final int MAX_ROUNDS = 10_000;
    private static final int MAX_ROWS = 20_000;
    private static final int EXAMPLES_PER_RULE = 3;

    @Parameter(names = "--seed", description = "seed of the first round; each further round uses the next number")
    private long seed = 1;

    @Parameter(names = "--count", description = "number of rounds, 1 to 10000")
    private int count = 1;

    @Parameter(names = "--rows", description = "number of rows of each list, 4 to 20000; drawn by default")
    private int rows;

    @Parameter(names = "--memory-mb", description = "memory limit of each process; drawn by default")
    private int memoryMb;

    @Parameter(names = "--clients", description = "clients of each sidecar; drawn by default")
    private int clients;

    @Parameter(names = "--sidecars", description = "number of sidecars; drawn by default")
    private int sidecars;

    @Parameter(names = "--change", description = "how each list differs from the one before; drawn by default")
    private ScalePlan.ListChange change;

    @Parameter(names = "--name-length", description = "further characters of each name; drawn by default")
    private int nameLength = -1;

    @Parameter(names = "--trouble", description = "share of the exchanges that go wrong; drawn by default")
    private double trouble = -1;

    @Parameter(names = "--refuse", description = "share of the upstreams that refuse connections; drawn by default")
    private double refuse = -1;

    @Parameter(names = "--configured", description = "configure the list, too: 1 or 0; drawn by default")
    private int configured = -1;

    @Parameter(names = "--peers", description = "let sidecars exchange messages: 1 or 0; drawn by default")
    private int peers = -1;

    @Parameter(names = "--cold", description = "let new upstreams start cold: 1 or 0; drawn by default")
    private int cold = -1;

    @Parameter(names = "--leaving", description = "share of the requests whose client leaves; drawn by default")
    private double leaving = -1;

    @Override
    public int run() {
        if (count < 1 || count > MAX_ROUNDS || rows < 0 || rows > MAX_ROWS) {
            System.err.println("portrelay-kit soak: --count: 1 to " + MAX_ROUNDS + ", --rows: up to " + MAX_ROWS);
            return INVALID_USAGE;
        }
        try {
            return play(Files.createTempDirectory("portrelay-soak"));
        } catch (IOException e) {
            System.err.println("portrelay-kit soak: " + e.getMessage());
            return FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILURE;
        }
    }

    private int play(Path folder) throws IOException, InterruptedException {
        int broken = 0;
        int inconclusive = 0;
        for (long each = seed; each < seed + count; each++) {
            ScaleReport report = ScaleRound.playUntilValid(plan(each), folder.resolve("seed-" + each));
            System.out.println(report);
            report.processes().forEach(process -> System.out.println("  " + process));
            report.examples(EXAMPLES_PER_RULE).forEach(violation -> System.out.println("  " + violation));
            broken += report.countedViolations().isEmpty() ? 0 : 1;
            inconclusive += report.isInconclusive() ? 1 : 0;
        }
        System.out.println(count + " rounds from seed " + seed + ": broken=" + broken + " inconclusive=" + inconclusive
                + "; logs in " + folder);
        return broken == 0 ? 0 : FAILURE;
    }

    private ScalePlan plan(long roundSeed) {
        ScalePlan drawn = ScalePlan.draw(roundSeed);
        return new ScalePlan(
                roundSeed,
                rows > 0 ? rows : drawn.rows(),
                sidecars > 0 ? sidecars : drawn.sidecars(),
                memoryMb > 0 ? memoryMb : drawn.memoryMb(),
                clients > 0 ? clients : drawn.clients(),
                drawn.runSeconds(),
                change != null ? change : drawn.listChange(),
                drawn.listIntervalSeconds(),
                nameLength >= 0 ? nameLength : drawn.extraNameLength(),
                trouble >= 0 ? trouble : drawn.troubledShare(),
                refuse >= 0 ? refuse : drawn.refusingShare(),
                configured >= 0 ? configured == 1 : drawn.isListConfigured(),
                cold >= 0 ? cold == 1 : drawn.startsCold(),
                peers >= 0 ? peers == 1 : drawn.hasPeers(),
                drawn.hangups(),
                drawn.heldShare(),
                drawn.refusedCallsShare(),
                leaving >= 0 ? leaving : drawn.leavingShare());
    }
}
