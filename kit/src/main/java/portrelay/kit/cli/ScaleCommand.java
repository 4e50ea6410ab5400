package portrelay.kit.cli;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;
import portrelay.cli.Command;
import portrelay.fleet.FleetRun;
import portrelay.fleet.FleetSize;
import portrelay.fleet.PowerLawFit;
import portrelay.fleet.RetryAmplification;
import portrelay.fleet.ScalingBenchmark;
import portrelay.fleet.Scenario;
import portrelay.json.JsonTree;

/**
 * The command "scale": runs simulated fleets of several sizes, prints and reports their figures, and fails if a rule is
 * broken or, with {@code --budget}, a cost is over its budget. With {@code --slopes}, measures the load balancer of a
 * single sidecar instead.
 */
@Parameters(
        commandDescription =
                "simulate fleets of sidecars in one process to measure how costs grow with the size of the fleet")
final class ScaleCommand implements Command {

    private static final int INVALID_USAGE = 2;
    private static final int FAILURE = 1;
    private static final int MIN_SIDECARS = 2;
    private static final int MAX_SIDECARS = 5000;
    private static final int MAX_SERVICES_CALLED = 50;
    private static final double MAX_REQUESTS_PER_SECOND = 1000;
    /** The minimum number of sizes to which a power law can be fitted. */
    private static final int MIN_SIZES_FOR_GROWTH = 3;
    /** The version of the report's format. */
    private static final double REPORT_VERSION = 1;

    /** The depth of call chains between the operators' services; each level may retry. */
    private static final int CALL_LEVELS = 7;

    private static final int MAX_ATTEMPTS = 4;
    private static final int MAX_ATTEMPTS_WITH_HEDGES_ONLY = 2;
    private static final double[] FAILING_SHARES = {0.01, 0.1, 0.5, 1};

    @Parameter(
            names = "--sidecars",
            description =
                    "numbers of sidecars, 2 to 5000, separated by commas; one fleet for each, with as many upstreams "
                            + "unless --small is given")
    private List<Integer> sidecars = new ArrayList<>(List.of(14, 100, 450, 1800));

    @Parameter(
            names = "--scenario",
            description = "events after the warm-up: ordinary, deploy, restarts, rack, zone, regions, change, or all")
    private String scenario = "ordinary";

    @Parameter(
            names = "--small",
            description = "number of upstreams of a single service that all sidecars call; 0 for many services")
    private int upstreamsOfOneService = 0;

    @Parameter(
            names = "--calls",
            description = "number of services that each sidecar calls, with a load balancer for each; 1 to 50")
    private int servicesCalled = 1;

    @Parameter(
            names = "--rate",
            description = "requests per second of each sidecar, over all services that it calls; at most 1000")
    private double requestsPerSecond = 20;

    @Parameter(names = "--seed", description = "seed of all random numbers")
    private long seed = 1;

    @Parameter(
            names = "--slopes",
            description =
                    "instead of fleets, measure the load balancer of one sidecar for each size of its endpoint list")
    private boolean measuresOneSidecar = false;

    @Parameter(names = "--no-messages", description = "run without messages between sidecars")
    private boolean withoutMessages = false;

    @Parameter(names = "--budget", description = "also fail if a cost is over the budget for control")
    private boolean failsOverBudget = false;

    @Parameter(names = "--report", description = "file to which the figures are written as JSON")
    private String reportFile = null;

    @Override
    public int run() {
        List<Scenario> scenarios = scenarios();
        String invalid = invalidOption(scenarios);
        if (invalid != null) {
            System.err.println("portrelay-kit scale: " + invalid);
            return INVALID_USAGE;
        }
        return measuresOneSidecar ? measureOneSidecar() : playFleets(scenarios);
    }

    private List<Scenario> scenarios() {
        return Stream.of(Scenario.values())
                .filter(each -> scenario.equals("all") || scenario.equals(nameOf(each)))
                .toList();
    }

    private static String nameOf(Scenario scenario) {
        return scenario.name().toLowerCase(Locale.ROOT);
    }

    /** Returns a message about the first invalid option; null if all are valid. */
    private String invalidOption(List<Scenario> scenarios) {
        if (scenarios.isEmpty()) {
            return "--scenario: no " + scenario;
        }
        if (sidecars.isEmpty() || sidecars.stream().anyMatch(each -> each < MIN_SIDECARS || each > MAX_SIDECARS)) {
            return "--sidecars: 2 to 5000 each";
        }
        if (upstreamsOfOneService < 0 || upstreamsOfOneService > MAX_SIDECARS) {
            return "--small: 0 to 5000";
        }
        if (servicesCalled < 1 || servicesCalled > MAX_SERVICES_CALLED) {
            return "--calls: 1 to 50";
        }
        if (!(requestsPerSecond > 0 && requestsPerSecond <= MAX_REQUESTS_PER_SECOND)) {
            return "--rate: above 0, 1000 at most";
        }
        return null;
    }

    private int playFleets(List<Scenario> scenarios) {
        List<Object> runs = new ArrayList<>();
        boolean hasPassed = true;
        System.out.println("scenario  sidecars upstreams  served in-time refused  attempts  cold-over"
                + "  datagrams/s  sent B/s (most)  heard B/s (most)  request us  control core  KB/sidecar");
        for (int size : sidecars) {
            for (Scenario nextScenario : scenarios) {
                System.err.println("playing " + nameOf(nextScenario) + " with " + size + " ...");
                FleetRun run = FleetRun.play(nextScenario, seed, fleetSize(size));
                runs.add(run.figures());
                printFleet(run.figures());
                run.brokenRules().forEach(rule -> System.out.println("  BROKEN " + rule));
                run.brokenBudgets().forEach(budget -> System.out.println("  over budget: " + budget));
                hasPassed &= run.brokenRules().isEmpty()
                        && (!failsOverBudget || run.brokenBudgets().isEmpty());
            }
        }
        printGrowth(runs, "request_us", "control_core", "bytes_s_mean", "heard_bytes_s_most", "memory_kb");
        return writeReport(runs) && hasPassed ? 0 : FAILURE;
    }

    private FleetSize fleetSize(int size) {
        return upstreamsOfOneService > 0
                ? FleetSize.ofOneService(size, upstreamsOfOneService, requestsPerSecond, !withoutMessages)
                : FleetSize.ofManyServices(size, servicesCalled, requestsPerSecond, !withoutMessages);
    }

    /**
     * Measures one sidecar's load balancer for several lengths of its endpoint list, and prints the retry
     * amplification.
     */
    private int measureOneSidecar() {
        List<Object> runs = new ArrayList<>();
        System.out.println("upstreams sidecars  first list us  changed row us  request us  word us" + "  memory bytes");
        for (int size : sidecars) {
            Map<String, Object> figures = ScalingBenchmark.measure(
                    upstreamsOfOneService > 0 ? upstreamsOfOneService : size, size, !withoutMessages);
            runs.add(figures);
            System.out.printf(
                    Locale.ROOT,
                    "%9.0f %8.0f  %13.0f  %14.1f  %10.1f  %7.2f  %12.0f%n",
                    valuesOf(
                            figures,
                            "upstreams",
                            "sidecars",
                            "first_list_us",
                            "changed_row_us",
                            "request_us",
                            "word_us",
                            "memory_bytes"));
        }
        printGrowth(runs, "first_list_us", "changed_row_us", "request_us", "word_us", "memory_bytes");
        for (double failing : FAILING_SHARES) {
            System.out.printf(
                    Locale.ROOT,
                    "7 deep, %.2f of the lowest fail: %.3f attempts there with up to 4 each, %.3f with up to 2%n",
                    failing,
                    RetryAmplification.expectedAttempts(CALL_LEVELS, MAX_ATTEMPTS, failing),
                    RetryAmplification.expectedAttempts(CALL_LEVELS, MAX_ATTEMPTS_WITH_HEDGES_ONLY, failing));
        }
        return writeReport(runs) ? 0 : FAILURE;
    }

    /** Prints how each figure grows with the number of sidecars, if there are enough sizes and no figure is 0. */
    private static void printGrowth(List<Object> runs, String... names) {
        for (String name : names) {
            double[] sizes = new double[runs.size()];
            double[] costs = new double[runs.size()];
            for (int i = 0; i < sizes.length; i++) {
                Map<?, ?> figures = (Map<?, ?>) runs.get(i);
                sizes[i] = (double) figures.get("sidecars");
                costs[i] = (double) figures.get(name);
            }
            if (Arrays.stream(sizes).distinct().count() >= MIN_SIZES_FOR_GROWTH
                    && Arrays.stream(costs).allMatch(each -> each > 0)) {
                PowerLawFit growth = PowerLawFit.of(sizes, costs);
                System.out.printf(
                        Locale.ROOT,
                        "%s grows with sidecars ^ %.2f, off by %.2f at most%n",
                        name,
                        growth.exponent(),
                        growth.residual());
            }
        }
    }

    /** Writes the report, if one is requested; returns false if that failed. */
    private boolean writeReport(List<Object> runs) {
        if (reportFile == null) {
            return true;
        }
        Map<String, Object> report = new LinkedHashMap<>();
        report.put("version", REPORT_VERSION);
        report.put("seed", (double) seed);
        report.put("runs", runs);
        try {
            Files.write(Path.of(reportFile), JsonTree.write(report));
            return true;
        } catch (IOException e) {
            System.err.println("portrelay-kit scale: --report: " + e.getMessage());
            return false;
        }
    }

    private static void printFleet(Map<String, Object> figures) {
        System.out.printf(
                Locale.ROOT,
                "%-9s %8.0f %9.0f  %6.3f  %6.3f  %6.3f  %8.2f  %9.1f  %11.0f"
                        + "  %8.0f (%.0f)  %8.0f (%.0f)  %10.1f  %12.4f  %10.0f%n",
                valuesOf(
                        figures,
                        "scenario",
                        "sidecars",
                        "upstreams",
                        "served",
                        "in_time",
                        "refused",
                        "attempts_a_request",
                        "cold_over",
                        "datagrams_s_mean",
                        "bytes_s_mean",
                        "bytes_s_most",
                        "heard_bytes_s_mean",
                        "heard_bytes_s_most",
                        "request_us",
                        "control_core",
                        "memory_kb"));
    }

    private static Object[] valuesOf(Map<String, Object> figures, String... names) {
        return Stream.of(names).map(figures::get).toArray();
    }
}
