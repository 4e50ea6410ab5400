package portrelay.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.SlowStartRule;
import portrelay.model.UpstreamId;

/** Tests a small run of each scenario, and that violations of the rules are detected. */
class FleetRunTest {

    /** Figures that depend on measured times or memory, and so differ from run to run. */
    private static final List<String> MEASURED_FIGURES =
            List.of("request_us", "control_core", "memory_kb", "virtual_a_second", "over_budget");

    private static Map<String, Object> deterministicFigures(FleetRun run) {
        Map<String, Object> figures = new LinkedHashMap<>(run.figures());
        figures.keySet().removeAll(MEASURED_FIGURES);
        return figures;
    }

    private static FleetRun zoneFailure(long seed) {
        return FleetRun.play(Scenario.ZONE, seed, FleetSize.ofManyServices(20, 4, 10, true));
    }

    @ParameterizedTest
    @EnumSource
    void theRulesHoldInEachScenarioWithMessagesAndWithout(Scenario scenario) {
        for (boolean hasMessages : new boolean[] {true, false}) {
            FleetRun run = FleetRun.play(scenario, 5, FleetSize.ofManyServices(30, 4, 10, hasMessages));
            assertEquals(List.of(), run.brokenRules(), scenario + ", hasMessages=" + hasMessages);
            assertTrue(
                    (double) run.figures().get("served") > 0.85, run.figures().toString());
        }
    }

    @Test
    void theSameSeedGivesTheSameCounts() {
        assertEquals(deterministicFigures(zoneFailure(6)), deterministicFigures(zoneFailure(6)));
        assertFalse(deterministicFigures(zoneFailure(6)).equals(deterministicFigures(zoneFailure(7))));
    }

    /** With a single service that all sidecars call, each attempt is reported to all sidecars. */
    @Test
    void costsOverTheBudgetAreReported() {
        FleetRun run = FleetRun.play(Scenario.ORDINARY, 5, FleetSize.ofOneService(40, 7, 100, true));
        assertEquals(List.of(), run.brokenRules());
        assertTrue(
                run.brokenBudgets().stream().anyMatch(each -> each.startsWith("messages")),
                run.figures().toString());
        FleetRun withoutMessages = FleetRun.play(Scenario.ORDINARY, 5, FleetSize.ofOneService(40, 7, 100, false));
        assertEquals(0.0, withoutMessages.figures().get("bytes_s_most"));
        assertTrue(withoutMessages.brokenBudgets().stream().noneMatch(each -> each.startsWith("messages")));
    }

    // ---- Provoked violations ----------------------------------------------------------------------------

    private static SimulatedFleet smallFleet() {
        return new SimulatedFleet(1, FleetSize.ofOneService(2, 4, 0.001, false), 12);
    }

    private static final RequestClass UNSAFE = new RequestClass(
            new RequestClassId(2),
            RequestClass.Idempotency.UNSAFE,
            RequestClass.DeduplicationScope.ALL,
            0.4,
            2,
            1,
            1,
            0.2,
            false);

    @Test
    void anUnsafeRequestThatIsSentTwiceIsDetected() {
        SimulatedFleet fleet = smallFleet();
        SimulatedSidecar sidecar = fleet.sidecars.get(0);
        sidecar.requestArrived(UNSAFE, 2);
        assertEquals(1, fleet.counters.attempts);
        sidecar.sendAttempt(new RequestId(sidecar.process + "-0-0"), fleet.upstreams.get(0).id);
        assertEquals(1, fleet.counters.duplicates);
    }

    @Test
    void anAttemptAtADrainingUpstreamIsDetected() {
        SimulatedFleet fleet = smallFleet();
        SimulatedSidecar sidecar = fleet.sidecars.get(0);
        UpstreamId id = fleet.upstreams.get(0).id;
        fleet.upstreams.forEach(each -> each.isSilent = true);
        fleet.upstreams.get(0).isDraining = true;
        fleet.sendEndpoints(sidecar);
        sidecar.requestArrived(UNSAFE, 2);
        fleet.events.runUntil(SimulatedFleet.DRAIN_GRACE_SECONDS + 0.01);
        sidecar.sendAttempt(new RequestId(sidecar.process + "-0-0"), id);
        assertEquals(1, fleet.counters.drainViolations);
    }

    @Test
    void aRequestWithoutAnAnswerIsDetected() {
        SimulatedFleet fleet = smallFleet();
        fleet.upstreams.forEach(each -> each.isSilent = true);
        SimulatedSidecar sidecar = fleet.sidecars.get(0);
        sidecar.requestArrived(UNSAFE, 2);
        fleet.events.runUntil(1);
        assertEquals(0, fleet.counters.unanswered);
        sidecar.ignoreAnswers();
        fleet.events.runUntil(3);
        assertEquals(1, fleet.counters.unanswered);
    }

    @Test
    void anOverloadedColdUpstreamIsDetected() {
        SlowStartRule rule = SimulatedFleet.SLOW_START;
        SimulatedUpstream upstream = new SimulatedUpstream(1, 0, 0, 2, 0.05, rule);
        upstream.startWarmingUp(100);
        double allowed = rule.overloadFactor() * 2 / 0.05 * rule.overloadWindow() * rule.capacityShare(100, 101.5);
        int bound = (int) (allowed + 2 * Math.sqrt(allowed) + 2);
        for (int i = 0; i < bound; i++) {
            upstream.accept(100.1, 1);
        }
        assertTrue(upstream.slowStartExcess <= 0, upstream.slowStartExcess + " over its bound");
        upstream.accept(100.2, 1);
        upstream.accept(100.2, 1);
        assertTrue(upstream.slowStartExcess > 0, upstream.slowStartExcess + " over its bound");
    }
}
