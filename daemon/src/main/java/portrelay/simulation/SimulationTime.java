package portrelay.simulation;

/** Converts between the protocol's whole microseconds and the load balancer's seconds. */
final class SimulationTime {

    private static final double MICROS_PER_SECOND = 1e6;

    private SimulationTime() {}

    static double seconds(long micros) {
        return micros / MICROS_PER_SECOND;
    }

    /**
     * Returns the first microsecond that reads back as the given time or a later one, as no timer and no retry may be
     * early.
     */
    static long microsNotBefore(double seconds) {
        long nearest = Math.round(seconds * MICROS_PER_SECOND);
        return seconds(nearest) >= seconds ? nearest : nearest + 1;
    }
}
