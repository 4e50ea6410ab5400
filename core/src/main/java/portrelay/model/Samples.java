package portrelay.model;

import java.util.Arrays;

/** The most recent samples of one measured value, with their times. A ring of fixed capacity. */
public final class Samples {
    private final double[] values;
    private final double[] times;
    private int count;

    public Samples(int capacity) {
        values = new double[capacity];
        times = new double[capacity];
    }

    /** Adds a sample whose time does not matter. */
    public void add(double value) {
        add(0, value);
    }

    public void add(double time, double value) {
        values[count % values.length] = value;
        times[count % values.length] = time;
        count++;
    }

    public void clear() {
        count = 0;
    }

    /** How many samples there are, at most the capacity. */
    public int size() {
        return Math.min(count, values.length);
    }

    /** The oldest sample; there has to be one. */
    public double oldest() {
        return values[(count - size()) % values.length];
    }

    public double sum() {
        double sum = 0;
        for (int i = 0; i < size(); i++) {
            sum += values[i];
        }
        return sum;
    }

    /** Mean of all samples. */
    public double mean(double ifEmpty) {
        return size() == 0 ? ifEmpty : sum() / size();
    }

    /** The second smallest, so that one outlier does not count; infinite where there are fewer than two. */
    public double secondSmallest() {
        return size() < 2
                ? Double.POSITIVE_INFINITY
                : Arrays.stream(values, 0, size()).sorted().toArray()[1];
    }

    /** Whether the ring is full and all its samples are above the value. */
    public boolean allAbove(double value) {
        return count >= values.length && Arrays.stream(values).allMatch(each -> each > value);
    }

    /** How many of the samples since a time are that large or larger. */
    public int countAtLeast(double value, double since) {
        int found = 0;
        for (int i = 0; i < size(); i++) {
            found += times[i] >= since && values[i] >= value ? 1 : 0;
        }
        return found;
    }

    /** Mean of the samples since a time, together with so many prior samples of the given value. */
    public double mean(double since, double priorSamples, double priorValue) {
        double sum = priorSamples * priorValue;
        double weight = priorSamples;
        for (int i = 0; i < size(); i++) {
            if (times[i] >= since) {
                sum += values[i];
                weight++;
            }
        }
        return weight == 0 ? priorValue : sum / weight;
    }
}
