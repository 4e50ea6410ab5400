package portrelay.fleet;

import java.util.List;
import java.util.function.Consumer;

/** The events that a simulated fleet goes through after its warm-up. */
public enum Scenario {

    /** No event: only ordinary traffic. */
    ORDINARY(fleet -> {}),

    /**
     * A rolling deployment: one by one, each upstream of the largest service drains and is replaced by a new one, which
     * has to warm up.
     */
    DEPLOY(Scenario::deploy),

    /** One in ten sidecars restarts, each at a random time within one second. */
    RESTARTS(fleet -> fleet.sidecars.forEach(each -> {
        if (each.process % 10 == 0) {
            fleet.events.schedule(fleet.random().nextDouble(), each::start);
        }
    })),

    /** One upstream in forty stops answering for good; the endpoint list shows it as gone 3 s later. */
    RACK(fleet -> failUpstreams(fleet, 40, 3, Double.NaN)),

    /**
     * One upstream in twelve stops answering; the endpoint list shows it as gone after 3 s, and it is back, warming up,
     * after 5 s.
     */
    ZONE(fleet -> failUpstreams(fleet, 12, 3, 5)),

    /** Three regions are partitioned from each other for 5 s: requests, messages and endpoint lists are affected. */
    REGIONS(fleet -> {
        fleet.setRegionsPartitioned(true);
        fleet.events.schedule(1, fleet::announceChangeOfAllServices);
        fleet.events.schedule(5, () -> {
            fleet.setRegionsPartitioned(false);
            fleet.announceChangeOfAllServices();
        });
    }),

    /** Every sidecar receives its complete endpoint list again. */
    CHANGE(SimulatedFleet::announceChangeOfAllServices);

    private static final double DEPLOY_SECONDS = 4;
    private static final double DRAIN_SECONDS = 1.5;

    // The functions have no state.
    @SuppressWarnings("ImmutableEnumChecker")
    private final Consumer<SimulatedFleet> action;

    Scenario(Consumer<SimulatedFleet> action) {
        this.action = action;
    }

    void begin(SimulatedFleet fleet) {
        action.accept(fleet);
    }

    private static void deploy(SimulatedFleet fleet) {
        List<SimulatedUpstream> old = fleet.upstreamsOf(0);
        for (int i = 0; i < old.size(); i++) {
            SimulatedUpstream upstream = old.get(i);
            fleet.events.schedule(DEPLOY_SECONDS * i / old.size(), () -> {
                upstream.isDraining = true;
                fleet.addUpstream(upstream.service).startWarmingUp(fleet.events.now());
                fleet.announceChange(upstream.service);
                fleet.events.schedule(DRAIN_SECONDS, () -> {
                    upstream.isGone = true;
                    fleet.announceChange(upstream.service);
                });
            });
        }
    }

    /**
     * Makes a share of the upstreams silent, all of them in one zone, as happens to machines that share a switch.
     *
     * @param upstreamsPerFailure the share is 1 / {@code upstreamsPerFailure}, at least one upstream
     * @param updateDelay seconds until the endpoint list shows them as gone
     * @param returnDelay seconds until they are back, warming up; NaN for never
     */
    private static void failUpstreams(
            SimulatedFleet fleet, int upstreamsPerFailure, double updateDelay, double returnDelay) {
        List<SimulatedUpstream> failed = fleet.upstreams.stream()
                .filter(each -> each.zone == 0)
                .limit(Math.max(1, fleet.upstreams.size() / upstreamsPerFailure))
                .toList();
        failed.forEach(each -> each.isSilent = true);
        fleet.events.schedule(updateDelay, () -> {
            failed.forEach(each -> each.isGone = true);
            announceChange(fleet, failed);
        });
        if (!Double.isNaN(returnDelay)) {
            fleet.events.schedule(returnDelay, () -> {
                failed.forEach(each -> each.startWarmingUp(fleet.events.now()));
                announceChange(fleet, failed);
            });
        }
    }

    private static void announceChange(SimulatedFleet fleet, List<SimulatedUpstream> changed) {
        changed.stream().map(each -> each.service).distinct().forEach(fleet::announceChange);
    }
}
