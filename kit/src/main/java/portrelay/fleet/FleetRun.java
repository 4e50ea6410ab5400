package portrelay.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToLongFunction;

/**
 * One scenario at one fleet size, run for ten seconds of virtual time: its figures, and the rules and budgets that it
 * broke.
 */
public final class FleetRun {

    /** The operators' budget for the control traffic of one sidecar, in bytes per second for each direction. */
    public static final double MAX_CONTROL_BYTES_PER_SECOND = 8192;

    /** The operators' budget for the control decisions of one sidecar, as a share of one core. */
    public static final double MAX_CONTROL_CORE_SHARE = 0.025;

    private static final int ZONES = 12;
    /** Virtual time before the scenario begins, which is not measured. */
    private static final double WARM_UP_SECONDS = 3;

    private static final double MEASURED_SECONDS = 7;
    private static final double MIN_SERVED_SHARE = 0.5;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NANOS_PER_MICRO = 1e3;

    private final SimulatedFleet fleet;
    private final Map<String, Object> figures = new LinkedHashMap<>();
    private final List<String> brokenRules = new ArrayList<>();
    private final List<String> brokenBudgets = new ArrayList<>();

    private FleetRun(SimulatedFleet fleet) {
        this.fleet = fleet;
    }

    /**
     * Runs a scenario. The same seed gives the same counts; processor times and memory are measured and differ from run
     * to run.
     */
    public static FleetRun play(Scenario scenario, long seed, FleetSize size) {
        long memoryBefore = usedMemory();
        long startedAt = System.nanoTime();
        FleetRun run = new FleetRun(new SimulatedFleet(seed, size, ZONES));
        run.fleet.events.runUntil(WARM_UP_SECONDS);
        long memory = usedMemory() - memoryBefore;
        Snapshot afterWarmUp = new Snapshot(run.fleet);
        scenario.begin(run.fleet);
        // Requests still open at the end count neither as served nor as unanswered: their time to answer is not over.
        run.fleet.events.runUntil(WARM_UP_SECONDS + MEASURED_SECONDS);
        double seconds = (System.nanoTime() - startedAt) / NANOS_PER_SECOND;
        run.evaluate(scenario, size, afterWarmUp, memory, seconds);
        return run;
    }

    /** The values of the counters at the end of the warm-up. */
    private static final class Snapshot {
        private final long requests;
        private final long requestNanos;
        private final long controlNanos;
        private final long[] datagramsSent;
        private final long[] bytesSent;
        private final long[] bytesReceived;

        Snapshot(SimulatedFleet fleet) {
            requests = fleet.counters.requests;
            requestNanos = fleet.counters.requestNanos;
            controlNanos = fleet.counters.controlNanos;
            datagramsSent = valuesPerSidecar(fleet, sidecar -> sidecar.datagramsSent);
            bytesSent = valuesPerSidecar(fleet, sidecar -> sidecar.bytesSent);
            bytesReceived = valuesPerSidecar(fleet, sidecar -> sidecar.bytesReceived);
        }
    }

    private static long[] valuesPerSidecar(SimulatedFleet fleet, ToLongFunction<SimulatedSidecar> counter) {
        return fleet.sidecars.stream().mapToLong(counter).toArray();
    }

    /**
     * Returns the growth per second of a counter since the warm-up, for each sidecar process; the counters of its load
     * balancers for all services are added up.
     */
    private double[] perSecond(FleetSize size, long[] before, ToLongFunction<SimulatedSidecar> counter) {
        double[] rates = new double[size.sidecars()];
        for (int i = 0; i < fleet.sidecars.size(); i++) {
            SimulatedSidecar sidecar = fleet.sidecars.get(i);
            rates[sidecar.process] += (counter.applyAsLong(sidecar) - before[i]) / MEASURED_SECONDS;
        }
        return rates;
    }

    private void evaluate(Scenario scenario, FleetSize size, Snapshot afterWarmUp, long memory, double seconds) {
        double[] datagrams = perSecond(size, afterWarmUp.datagramsSent, sidecar -> sidecar.datagramsSent);
        double[] sent = perSecond(size, afterWarmUp.bytesSent, sidecar -> sidecar.bytesSent);
        double[] received = perSecond(size, afterWarmUp.bytesReceived, sidecar -> sidecar.bytesReceived);
        double slowStartExcess = fleet.upstreams.stream()
                .mapToDouble(each -> each.slowStartExcess)
                .max()
                .orElse(Double.NEGATIVE_INFINITY);
        putSize(scenario, size);
        putOutcomes(slowStartExcess);
        figures.put("datagrams_s_mean", mean(datagrams));
        figures.put("bytes_s_mean", mean(sent));
        figures.put("bytes_s_p99", quantile(sent, 0.99));
        figures.put("bytes_s_most", quantile(sent, 1));
        figures.put("heard_bytes_s_mean", mean(received));
        figures.put("heard_bytes_s_most", quantile(received, 1));
        putCosts(size, afterWarmUp, memory, seconds);
        checkRules(slowStartExcess);
        checkBudgets(Math.max(quantile(sent, 1), quantile(received, 1)));
        figures.put("broken", List.copyOf(brokenRules));
        figures.put("over_budget", List.copyOf(brokenBudgets));
    }

    private void putSize(Scenario scenario, FleetSize size) {
        figures.put("scenario", scenario.name().toLowerCase(Locale.ROOT));
        figures.put("sidecars", (double) size.sidecars());
        figures.put("upstreams", (double) size.upstreams());
        figures.put("services", (double) size.services());
        figures.put("rate", size.requestsPerSecond());
        figures.put("messages", size.hasMessages());
    }

    private void putOutcomes(double slowStartExcess) {
        FleetCounters counters = fleet.counters;
        double requests = counters.requests;
        figures.put("asked", requests);
        figures.put("served", counters.served / requests);
        figures.put("in_time", counters.servedInTime / requests);
        figures.put("refused", counters.rejected / requests);
        figures.put("failed", counters.failed / requests);
        figures.put("attempts_a_request", counters.attempts / requests);
        figures.put("lost", (double) counters.unanswered);
        figures.put("twice", (double) counters.duplicates);
        figures.put("drains", (double) counters.drainViolations);
        figures.put("cold_over", slowStartExcess == Double.NEGATIVE_INFINITY ? 0 : slowStartExcess);
    }

    private void putCosts(FleetSize size, Snapshot afterWarmUp, long memory, double seconds) {
        FleetCounters counters = fleet.counters;
        double requests = Math.max(1, (double) (counters.requests - afterWarmUp.requests));
        figures.put("request_us", (counters.requestNanos - afterWarmUp.requestNanos) / NANOS_PER_MICRO / requests);
        figures.put(
                "control_core",
                (counters.controlNanos - afterWarmUp.controlNanos)
                        / NANOS_PER_SECOND
                        / MEASURED_SECONDS
                        / size.sidecars());
        figures.put("memory_kb", Math.max(0, memory) / 1024.0 / size.sidecars());
        figures.put("virtual_a_second", (WARM_UP_SECONDS + MEASURED_SECONDS) / seconds);
    }

    private void checkRules(double slowStartExcess) {
        FleetCounters counters = fleet.counters;
        addIfBroken(
                counters.unanswered == 0,
                brokenRules,
                "rule 1: " + counters.unanswered + " requests without an answer");
        addIfBroken(
                counters.duplicates == 0,
                brokenRules,
                "rule 2: " + counters.duplicates + " unsafe requests sent twice");
        addIfBroken(
                counters.drainViolations == 0,
                brokenRules,
                "rule 3: " + counters.drainViolations + " attempts at one that drains");
        addIfBroken(
                slowStartExcess <= 0,
                brokenRules,
                String.format("rule 4: a cold upstream was sent %.1f over its bound", slowStartExcess));
        addIfBroken(counters.served >= MIN_SERVED_SHARE * counters.requests, brokenRules, "less than half is served");
        brokenRules.addAll(counters.violations);
    }

    private void checkBudgets(double bytesPerSecond) {
        addIfBroken(
                bytesPerSecond <= MAX_CONTROL_BYTES_PER_SECOND,
                brokenBudgets,
                String.format("messages: %.0f bytes/s of %.0f", bytesPerSecond, MAX_CONTROL_BYTES_PER_SECOND));
        double core = (double) figures.get("control_core");
        addIfBroken(
                core <= MAX_CONTROL_CORE_SHARE,
                brokenBudgets,
                String.format("control: %.4f of a core of %.4f", core, MAX_CONTROL_CORE_SHARE));
    }

    private static void addIfBroken(boolean holds, List<String> broken, String text) {
        if (!holds) {
            broken.add(text);
        }
    }

    private static double mean(double[] values) {
        return Arrays.stream(values).average().orElse(0);
    }

    private static double quantile(double[] values, double share) {
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        return sorted[(int) Math.max(0, Math.ceil(share * sorted.length) - 1)];
    }

    private static long usedMemory() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /**
     * Returns the figures by name, in display order; the values are numbers, booleans, strings and lists of strings.
     */
    public Map<String, Object> figures() {
        return figures;
    }

    /** Returns descriptions of the rules that were broken; empty if none was. */
    public List<String> brokenRules() {
        return brokenRules;
    }

    /** Returns descriptions of the costs over the operators' budgets for control; empty if there are none. */
    public List<String> brokenBudgets() {
        return brokenBudgets;
    }
}
