package portrelay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/** The upstreams of the endpoint list, and the set of upstreams that operators have disabled. */
final class EndpointTable {

    private final Topology topology;
    private final double maxDeadlineSeconds;
    private final SplittableRandom random;
    private final Map<UpstreamId, UpstreamState> byId = new HashMap<>();
    /** In a random order that differs between sidecars, so that they do not all prefer the same upstream. */
    private final List<UpstreamState> upstreams = new ArrayList<>();

    private final Set<UpstreamId> disabled = new HashSet<>();
    /** The upstreams with attempts of this sidecar in flight. */
    private final Set<UpstreamState> busy = new HashSet<>();
    /** The upstreams of each cell; null until it is needed, and after each change. */
    private Map<CellId, List<UpstreamState>> byCell;

    private int readyCount;

    EndpointTable(Topology topology, double maxDeadlineSeconds, SplittableRandom random) {
        this.topology = topology;
        this.maxDeadlineSeconds = maxDeadlineSeconds;
        this.random = random;
    }

    /** Returns all upstreams. The list is a live view: it is the same object at each call. */
    List<UpstreamState> upstreams() {
        return upstreams;
    }

    /** Returns the upstream; null if the id is unknown. */
    UpstreamState get(UpstreamId id) {
        return byId.get(id);
    }

    Set<UpstreamId> ids() {
        return byId.keySet();
    }

    /** Returns the mean of a value over the ready upstreams; 0 if there are none. */
    double meanOfReady(ToDoubleFunction<UpstreamState> value) {
        return upstreams.stream()
                .filter(each -> each.isReady)
                .mapToDouble(value)
                .average()
                .orElse(0);
    }

    /** Returns the mean number of attempts in flight over the ready upstreams; 0 if there are none. */
    double meanInFlightOfReady() {
        int inFlight = 0;
        for (UpstreamState upstream : busy) {
            inFlight += upstream.isReady ? upstream.inFlight : 0;
        }
        return readyCount == 0 ? 0 : (double) inFlight / readyCount;
    }

    /** Returns the upstreams with attempts of this sidecar in flight. */
    Set<UpstreamState> busy() {
        return busy;
    }

    /** Returns the upstreams of a cell, in the order of the table. */
    List<UpstreamState> upstreamsOfCell(CellId cell) {
        if (byCell == null) {
            byCell = new HashMap<>();
            upstreams.forEach(each -> byCell.computeIfAbsent(each.endpoint.cell(), key -> new ArrayList<>())
                    .add(each));
        }
        return byCell.getOrDefault(cell, List.of());
    }

    int readyCount() {
        return readyCount;
    }

    /** Records that an attempt of this sidecar has been sent to the upstream. */
    void attemptStarted(UpstreamState upstream) {
        upstream.inFlight++;
        busy.add(upstream);
    }

    /** Records that an attempt of this sidecar at the upstream has ended. */
    void attemptEnded(UpstreamState upstream) {
        upstream.inFlight--;
        if (upstream.inFlight == 0) {
            busy.remove(upstream);
        }
    }

    /** Whether operators have disabled every listed upstream. */
    boolean areAllDisabled() {
        return !disabled.isEmpty()
                && disabled.size() >= upstreams.size()
                && upstreams.stream().allMatch(each -> disabled.contains(each.id));
    }

    /** Applies rows of the endpoint list. The update must not be {@link EndpointUpdate#FAILED}. */
    void update(EndpointUpdate update, List<Endpoint> rows, double nowSeconds) {
        if (update != EndpointUpdate.INCREMENTAL) {
            upstreams.forEach(each -> {
                each.isReady = false;
                each.isGone = true;
            });
        }
        rows.forEach(row -> updateRow(update, row, nowSeconds));
        updateCapacities();
        removeAllGone();
        byCell = null;
        updateReadyCount();
    }

    /**
     * Disables or enables an upstream on behalf of an operator. A disabled upstream is not ready, whatever health the
     * endpoint list gives for it.
     *
     * @return whether a known upstream was changed
     */
    boolean setDisabled(UpstreamId id, boolean isDisabled, double nowSeconds) {
        boolean hasChanged = isDisabled ? disabled.add(id) : disabled.remove(id);
        UpstreamState upstream = hasChanged ? byId.get(id) : null;
        if (upstream == null) {
            return false;
        }
        if (!isDisabled) {
            // Operators usually restart an upstream that they disable: it warms up again, and a trial request tests it.
            upstream.enabledAt = nowSeconds;
            upstream.reset(nowSeconds, random.nextDouble());
            upstream.latencyRatios.clear();
            upstream.promptSendTimes.clear();
            upstream.isUntriedSinceEnabled = true;
        }
        readyCount -= upstream.isReady ? 1 : 0;
        upstream.isReady = !isDisabled && upstream.endpoint.health() == Endpoint.Health.READY;
        readyCount += upstream.isReady ? 1 : 0;
        return true;
    }

    /** Removes the upstream if it is no longer listed and has nothing in flight, as {@link #update} does for all. */
    void removeIfGone(UpstreamState upstream) {
        if (isRemovable(upstream) && byId.remove(upstream.id, upstream)) {
            upstreams.remove(upstream);
            byCell = null;
        }
    }

    /**
     * Removes upstreams that are no longer listed and have nothing in flight. Prevents unbounded growth where upstreams
     * are replaced continually.
     */
    private void removeAllGone() {
        upstreams.removeIf(each -> isRemovable(each) && byId.remove(each.id, each));
    }

    private static boolean isRemovable(UpstreamState upstream) {
        return upstream.isGone && upstream.inFlight == 0;
    }

    private void updateReadyCount() {
        readyCount = (int) upstreams.stream().filter(each -> each.isReady).count();
    }

    private void updateRow(EndpointUpdate update, Endpoint row, double nowSeconds) {
        UpstreamState upstream = byId.get(row.id());
        if (upstream == null) {
            upstream = new UpstreamState(row.id(), maxDeadlineSeconds);
            upstream.observedSince = update == EndpointUpdate.CACHED ? Double.NEGATIVE_INFINITY : nowSeconds;
            upstream.slowStartCredit = random.nextDouble();
            byId.put(row.id(), upstream);
            upstreams.add(random.nextInt(upstreams.size() + 1), upstream);
        } else if (row.startedAt() > upstream.endpoint.startedAt()) {
            upstream.reset(nowSeconds, random.nextDouble());
        }
        upstream.endpoint = row;
        upstream.loadWeight.update(row.weight(), areWeightsLive());
        upstream.isReady = row.health() == Endpoint.Health.READY && !disabled.contains(upstream.id);
        upstream.isGone = row.health() == Endpoint.Health.GONE;
    }

    /**
     * Updates the capacities. All instances of a type have the same capacity. Live weights fall as load rises, so there
     * the weight of the least loaded instance shows the capacity of its type.
     */
    private void updateCapacities() {
        Map<InstanceTypeId, Double> capacityOfType = new HashMap<>();
        upstreams.forEach(
                each -> capacityOfType.merge(each.endpoint.instanceType(), each.loadWeight.capacity(), Math::max));
        upstreams.forEach(each -> each.capacity =
                areWeightsLive() ? capacityOfType.get(each.endpoint.instanceType()) : each.loadWeight.capacity());
    }

    private boolean areWeightsLive() {
        return topology.weights() == Topology.Weights.LIVE;
    }
}
