package portrelay.policy;

import java.util.List;
import portrelay.model.SlowStartRule;

/**
 * Limits the attempts at upstreams that are warming up: each sidecar earns slow start credit for such an upstream and
 * spends one credit per attempt. Keeps all sidecars together from overloading an upstream that is warming up.
 */
record SlowStart(SlowStartRule rule, int sidecarCount) {

    /** Credit that all sidecars together earn per overload window of the rule while no upstream is warm. */
    private static final double FLEET_CREDIT_WITHOUT_WARM = 4;

    /** Unspent credit that all sidecars together may keep. It is bounded as a burst could spend all of it at once. */
    private static final double MAX_FLEET_UNSPENT_CREDIT = 16;

    /** Returns the share of its full capacity that the upstream has now; 1 if it is warm. */
    double capacityShare(UpstreamState upstream, double nowSeconds) {
        return rule.capacityShare(Math.max(upstream.endpoint.startedAt(), upstream.enabledAt), nowSeconds);
    }

    boolean isWarm(UpstreamState upstream, double nowSeconds) {
        return capacityShare(upstream, nowSeconds) >= 1;
    }

    /** Earns credit for an answer. Attempts earn none, as only answers are bounded by what upstreams can serve. */
    void attemptServed(UpstreamState servedBy, List<UpstreamState> subset, double nowSeconds) {
        double warmCapacity = subset.stream()
                .filter(each -> each.isReady && isWarm(each, nowSeconds))
                .mapToDouble(each -> each.capacity)
                .sum();
        if (warmCapacity == 0 || isWarm(servedBy, nowSeconds)) {
            double earningCapacity = warmCapacity > 0
                    ? warmCapacity
                    : subset.stream()
                            .filter(each -> each.isReady)
                            .mapToDouble(each -> capacityShare(each, nowSeconds) * each.capacity)
                            .sum();
            // The geometric mean of 1, a load that the upstream can certainly serve, and the load that overloads it.
            double headroom = Math.sqrt(rule.overloadFactor());
            subset.forEach(each -> earn(
                    each, capacityShare(each, nowSeconds) * each.capacity / earningCapacity * headroom, nowSeconds));
        }
    }

    /** Earns credit for elapsed time while no upstream is warm: otherwise no upstream could get a first attempt. */
    void timeElapsed(double seconds, List<UpstreamState> subset, double nowSeconds) {
        if (subset.stream().noneMatch(each -> each.isReady && isWarm(each, nowSeconds))) {
            double windowShare = rule.overloadWindow() > 0 ? Math.min(1, seconds / rule.overloadWindow()) : 1;
            subset.forEach(each ->
                    earn(each, windowShare * FLEET_CREDIT_WITHOUT_WARM / sendingSidecarCount(each), nowSeconds));
        }
    }

    /**
     * Adds this sidecar's part of one credit, which all sidecars together get for an upstream that operators have
     * enabled. They enable it at all sidecars at about the same time.
     */
    void enabled(UpstreamState upstream) {
        upstream.slowStartCredit += 1.0 / sendingSidecarCount(upstream);
    }

    /** Whether the upstream is warming up and there is credit for an attempt. */
    boolean hasCredit(UpstreamState upstream, double nowSeconds) {
        return upstream.slowStartCredit >= 1 && !isWarm(upstream, nowSeconds);
    }

    /** Whether the upstream is warming up and there is no credit for an attempt. */
    boolean isCreditSpent(UpstreamState upstream, double nowSeconds) {
        return upstream.slowStartCredit < 1 && !isWarm(upstream, nowSeconds);
    }

    /** Spends a credit for an attempt, if the upstream is warming up. */
    void attemptSent(UpstreamState upstream, double nowSeconds) {
        upstream.slowStartCredit -= isWarm(upstream, nowSeconds) ? 0 : 1;
    }

    /**
     * Drops an unspent credit at random after another upstream was chosen. If many sidecars send to the upstream, only
     * a few of them keep their credit.
     *
     * @param draw a random number, uniformly distributed from 0 to 1
     */
    void notChosen(UpstreamState upstream, double draw) {
        upstream.slowStartCredit -= draw >= MAX_FLEET_UNSPENT_CREDIT / sendingSidecarCount(upstream) ? 1 : 0;
    }

    private void earn(UpstreamState upstream, double credit, double nowSeconds) {
        if (upstream.isReady && !isWarm(upstream, nowSeconds)) {
            double maxCredit = 1 + 1.0 / sendingSidecarCount(upstream);
            upstream.slowStartCredit = Math.min(maxCredit, upstream.slowStartCredit + credit);
        }
    }

    private int sendingSidecarCount(UpstreamState upstream) {
        return upstream.sharingSidecars == null ? sidecarCount : upstream.sharingSidecars.size();
    }
}
