package portrelay.model;

/**
 * Derives capacity, cores and load of one upstream from its listed weights. A live weight is capacity / (1 + attempts
 * in flight per core): its largest value is the capacity, its smallest step shows the number of cores, and recent
 * values show how many attempts are in flight.
 */
public final class LoadWeight {

    /** Smaller steps are rounding errors. */
    private static final double MIN_STEP = 0.02;

    private final Samples inFlightPerCore;
    private double capacity;
    private double step = 1;

    /** Creates an instance that averages the attempts in flight over this number of weights. */
    public LoadWeight(int samples) {
        inFlightPerCore = new Samples(samples);
    }

    /** Applies a listed weight; a weight that is not live is the capacity. */
    public void update(double weight, boolean isLive) {
        capacity = isLive ? Math.max(capacity, weight) : weight;
        double perCore = isLive && weight > 0 ? capacity / weight - 1 : 0;
        if (isLive) {
            inFlightPerCore.add(perCore);
        }
        step = perCore > MIN_STEP ? Math.min(step, perCore) : step;
    }

    /** Returns the capacity, which is relative to that of other upstreams. */
    public double capacity() {
        return capacity;
    }

    /** Returns the number of cores: at least 1, and 1 until a smaller step has shown more. */
    public double cores() {
        return Math.rint(1 / step);
    }

    /** Returns the mean number of attempts in flight over the recent weights; 0 if weights are not live. */
    public double inFlight() {
        return cores() * inFlightPerCore.mean(0);
    }
}
