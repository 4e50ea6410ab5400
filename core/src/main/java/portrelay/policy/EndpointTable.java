package portrelay.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.ToDoubleFunction;
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

    int readyCount() {
        return (int) upstreams.stream().filter(each -> each.isReady).count();
    }

    /** Whether operators have disabled every listed upstream. */
    boolean areAllDisabled() {
        return !disabled.isEmpty() && upstreams.stream().allMatch(each -> disabled.contains(each.id));
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
        removeGone();
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
            upstream.reset(nowSeconds, 1);
            upstream.latencyRatios.clear();
            upstream.promptSendTimes.clear();
            upstream.isUntriedSinceEnabled = true;
        }
        upstream.isReady = !isDisabled && upstream.endpoint.health() == Endpoint.Health.READY;
        return true;
    }

    /**
     * Removes upstreams that are no longer listed and have nothing in flight. Prevents unbounded growth where upstreams
     * are replaced continually.
     */
    void removeGone() {
        if (upstreams.removeIf(each -> each.isGone && each.inFlight == 0)) {
            byId.values().retainAll(upstreams);
        }
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
