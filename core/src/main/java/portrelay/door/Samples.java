package portrelay.door;

/** The last few samples of one thing measured. */
final class Samples {

    private final double[] values;
    private int count;

    Samples(int most) {
        values = new double[most];
    }

    void add(double value) {
        values[count++ % values.length] = value;
    }

    void clear() {
        count = 0;
    }

    int kept() {
        return Math.min(count, values.length);
    }

    /** The oldest of those that are kept; there has to be one. */
    double oldest() {
        return values[(count - kept()) % values.length];
    }

    double sum() {
        double sum = 0;
        for (int i = 0; i < kept(); i++) {
            sum += values[i];
        }
        return sum;
    }

    double mean(double absent) {
        return kept() == 0 ? absent : sum() / kept();
    }
}
