package portrelay.kit.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import portrelay.cli.Command;
import portrelay.faulttest.overload.OverloadReport;
import portrelay.faulttest.overload.OverloadRound;

/** The command "overload": plays rounds with clients and upstreams that hold what others share, each with its seed. */
@Parameters(commandDescription = "overload a real sidecar by clients and slow upstreams and check the outcome")
final class OverloadCommand implements Command {

    private static final int INVALID_USAGE = 2;
    private static final int FAILURE = 1;
    private static final int MAX_ROUNDS = 10_000;
    private static final int MAX_PRINTED_VIOLATIONS = 10;

    @Parameter(names = "--seed", description = "seed of the first round; each further round uses the next number")
    private long seed = 1;

    @Parameter(names = "--count", description = "number of rounds, 1 to 10000")
    private int count = 10;

    @Override
    public int run() {
        if (count < 1 || count > MAX_ROUNDS) {
            System.err.println("portrelay-kit overload: --count: 1 to " + MAX_ROUNDS);
            return INVALID_USAGE;
        }
        try {
            return play() ? 0 : FAILURE;
        } catch (IOException e) {
            System.err.println("portrelay-kit overload: " + e.getMessage());
            return FAILURE;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return FAILURE;
        }
    }

    /** Returns whether no rule was broken. */
    private boolean play() throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("portrelay-overload");
        int broken = 0;
        int starved = 0;
        for (long roundSeed = seed; roundSeed < seed + count; roundSeed++) {
            OverloadReport report = OverloadRound.play(roundSeed, folder.resolve("seed-" + roundSeed));
            System.out.println(report);
            report.violations().stream().limit(MAX_PRINTED_VIOLATIONS).forEach(each -> System.out.println("  " + each));
            broken += report.violations().isEmpty() ? 0 : 1;
            starved += report.isStarved() ? 1 : 0;
        }
        System.out.println(count + " rounds from seed " + seed + ": " + broken + " with broken rules, " + starved
                + " starved; logs in " + folder);
        return broken == 0;
    }
}
