package portrelay.drill;

/** The wire counts whole microseconds, the decisions seconds with fractions. */
final class Clock {

    private static final double NOISE = 1e-3;

    private Clock() {
    }

    static double seconds(long micros) {
        return micros / 1e6;
    }

    /** Never before the time that was asked for; rounding noise of a double is not taken for a fraction. */
    static long microsNotBefore(double seconds) {
        double micros = seconds * 1e6;
        long near = Math.round(micros);
        return micros - near < NOISE ? near : near + 1;
    }
}
