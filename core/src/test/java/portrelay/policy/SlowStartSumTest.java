package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import portrelay.model.SlowStartRule;
import portrelay.model.UpstreamId;

/**
 * Tests slow start summed over all sidecars, from one to a thousand. Within the overload window a warming-up upstream
 * gets at most N + 2 * sqrt(N) + 2 attempts, where N is the number that overloads it; and it gets enough of them that
 * its capacity is used.
 */
class SlowStartSumTest {

    private static final int UPSTREAMS = 30;
    /** The share that is used of the sixty requests a second that each upstream can serve. */
    private static final double LOAD_SHARE = 0.6;

    private static final double REQUESTS_PER_SECOND = LOAD_SHARE * 60 * UPSTREAMS;
    private static final SlowStartRule RULE = LoadBalancerHarness.SLOW_START;
    private static final double RUN_SECONDS = 5;

    /** What happens two seconds after the restart of one upstream, or of more if a scenario says so. */
    private enum Scenario {
        /** Nothing. */
        CALM,
        /** The rate rises to 2.5 times its value. */
        BURST,
        /** A third of all upstreams become unresponsive, all of them warm ones. */
        WARM_LOST,
        /** All cores of the warm upstreams are busy for half a second. */
        WARM_FULL,
        /** All sidecars are restarted. */
        RESTARTS,
        /** Nothing, and six upstreams in ten are warming up. */
        SIX_IN_TEN,
        /** Nothing, and all upstreams are warming up. */
        NO_WARM,
        /** Nothing, and one sidecar in ten gets half of all requests. */
        UNEVEN,
        /** The rate rises from a tenth to 2.5 times its value. */
        SUDDEN
    }

    /**
     * The result of one run.
     *
     * @param excess attempts above the bound; at most 0 if it held
     * @param capacityUsed the share that is used of the capacity of a warming-up upstream
     * @param servedShare the share of the requests that were served
     */
    private record Result(String description, double excess, double capacityUsed, double servedShare) {}

    private static Result run(Scenario scenario, int sidecars, boolean hasMessages, int configuredSidecars) {
        FleetSimulation fleet = new FleetSimulation(7, sidecars, UPSTREAMS, hasMessages, configuredSidecars);
        double rate = REQUESTS_PER_SECOND / sidecars;
        if (scenario == Scenario.UNEVEN) {
            fleet.relativeRates = new double[sidecars];
            for (int i = 0; i < sidecars; i++) {
                // One sidecar in ten gets half of all requests, the others share the other half.
                fleet.relativeRates[i] = sidecars == 1 ? 1 : i % 10 == 0 ? 5 : 5.0 / 9;
            }
        }
        fleet.publishEndpoints();
        fleet.run(3, rate);
        int coldCount =
                scenario == Scenario.NO_WARM ? UPSTREAMS : scenario == Scenario.SIX_IN_TEN ? UPSTREAMS * 6 / 10 : 1;
        List<FleetSimulation.Server> coldServers = new ArrayList<>();
        List<FleetSimulation.Server> warmServers = new ArrayList<>();
        fleet.servers
                .values()
                .forEach(server -> (server.id.value() < coldCount ? coldServers : warmServers).add(server));
        coldServers.forEach(server -> server.restart(true));
        fleet.publishEndpoints();
        fleet.resetCounts();
        fleet.run(2, scenario == Scenario.SUDDEN ? rate / 10 : rate);
        switch (scenario) {
            case WARM_LOST -> warmServers.subList(0, UPSTREAMS / 3).forEach(server -> server.isUnresponsive = true);
            case WARM_FULL -> warmServers.forEach(server -> server.occupy(0.5));
            case RESTARTS -> {
                for (int i = 0; i < sidecars; i++) {
                    fleet.restart(i);
                }
            }
            default -> {}
        }
        fleet.run(RUN_SECONDS - 2, scenario == Scenario.BURST || scenario == Scenario.SUDDEN ? 2.5 * rate : rate);
        double excess = coldServers.stream()
                .mapToDouble(server -> server.overloadExcess(RULE))
                .max()
                .orElseThrow();
        double capacityUsed = coldServers.stream()
                        .mapToDouble(server -> server.sentCount)
                        .average()
                        .orElseThrow()
                / (RUN_SECONDS
                        * 60
                        * (RULE.initialShare() + (1 - RULE.initialShare()) * RUN_SECONDS / 2 / RULE.warmUpTime()));
        String description = String.format(
                "%s, %d sidecars%s, configured %d: excess %.1f, capacity used %.2f, served %.2f",
                scenario,
                sidecars,
                hasMessages ? " with messages" : "",
                configuredSidecars,
                excess,
                capacityUsed,
                fleet.servedCount / (double) fleet.arrivalCount());
        return new Result(description, excess, capacityUsed, fleet.servedCount / (double) fleet.arrivalCount());
    }

    private static void assertWithinBounds(Result result) {
        assertTrue(result.excess <= 0, result.description);
        // Guards against a use of the capacity that falls with the number of sidecars.
        assertTrue(result.capacityUsed >= 0.15, result.description);
    }

    @ParameterizedTest
    @EnumSource
    void attemptsOfAllSidecarsStayWithinTheBoundAndUseTheWarmingUpUpstream(Scenario scenario) {
        for (int sidecars : new int[] {1, 20, 30, 100, 1000}) {
            assertWithinBounds(run(scenario, sidecars, false, sidecars));
        }
        for (int sidecars : new int[] {30, 100}) {
            assertWithinBounds(run(scenario, sidecars, true, sidecars));
        }
    }

    /** Guards against an overload where the number of sidecars in the settings is outdated or wrong. */
    @ParameterizedTest
    @EnumSource
    void boundHoldsWhereTheConfiguredNumberOfSidecarsIsWrongByAFactorOfTwo(Scenario scenario) {
        for (int sidecars : new int[] {30, 100}) {
            assertWithinBounds(run(scenario, sidecars, false, sidecars / 2));
            assertWithinBounds(run(scenario, sidecars, false, sidecars * 2));
        }
    }

    /**
     * Guards against credit that each sidecar gets for an operator's call, however many sidecars there are: operators
     * disable an upstream at all sidecars, restart it and enable it at all sidecars, and do so twice.
     */
    @Test
    void anUpstreamThatOperatorsEnableAtAllSidecarsIsNotOverloaded() {
        for (int sidecars : new int[] {1, 20, 54, 100, 1000}) {
            FleetSimulation fleet = new FleetSimulation(7, sidecars, UPSTREAMS, false, sidecars);
            double rate = REQUESTS_PER_SECOND / sidecars;
            fleet.publishEndpoints();
            fleet.run(3, rate);
            FleetSimulation.Server restarted = fleet.servers.get(new UpstreamId(0));
            for (int round = 1; round <= 2; round++) {
                fleet.setDisabled(restarted.id, true);
                fleet.run(1.5, rate);
                restarted.restart(true);
                fleet.publishEndpoints();
                fleet.resetCounts();
                fleet.setDisabled(restarted.id, false);
                fleet.run(2, rate);
                String description = sidecars + " sidecars, round " + round + ": attempts " + restarted.sentCount;
                assertTrue(restarted.overloadExcess(RULE) <= 0, description);
                assertTrue(restarted.sentCount > 0, description);
            }
        }
    }
}
