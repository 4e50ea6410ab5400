package portrelay.policy;

import java.util.Arrays;

/** The last few samples of one thing measured, with their times. */
final class Samples {
    private final double[] values;
    private final double[] times;
    private int count;

    Samples(int most) {
        values = new double[most];
        times = new double[most];
    }

    void add(double time, double value) {
        values[count % values.length] = value;
        times[count % values.length] = time;
        count++;
    }

    /** Mean time between the last samples up to now; 0 while there are none. */
    double spacing(double now) {
        int kept = Math.min(count, values.length);
        return kept == 0 ? 0 : (now - times[(count - kept) % values.length]) / kept;
    }

    boolean allAbove(double value) {
        return count >= values.length && Arrays.stream(values).allMatch(each -> each > value);
    }

    /** Mean of what came after the time, as if prior samples of the given value had come before. */
    double mean(double after, double prior, double value) {
        double sum = prior * value;
        double weight = prior;
        for (int i = 0; i < Math.min(count, values.length); i++) {
            if (times[i] >= after) {
                sum += values[i];
                weight++;
            }
        }
        return weight == 0 ? value : sum / weight;
    }
}
