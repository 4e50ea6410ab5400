package portrelay.model;

/**
 * How upstreams warm up after their start.
 *
 * @param initialShare the least share of its capacity that an upstream has when it starts, 0 to 1
 * @param warmUpTime seconds after which it has its full capacity at the latest
 * @param overloadFactor the load, as a multiple of its present capacity, that makes it fail
 * @param overloadWindow seconds for which that load has to last
 */
public record SlowStartRule(double initialShare, double warmUpTime, double overloadFactor, double overloadWindow) {

    /**
     * Returns the least share of its capacity that an upstream has, which grows linearly from its start; 1 once it is
     * warm. A start time of 0 or less means long ago.
     */
    public double capacityShare(double startedAt, double now) {
        if (startedAt <= 0 || now >= startedAt + warmUpTime || warmUpTime <= 0) {
            return 1;
        }
        return initialShare + (1 - initialShare) * Math.max(0, now - startedAt) / warmUpTime;
    }
}
