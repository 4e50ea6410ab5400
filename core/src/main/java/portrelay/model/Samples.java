package portrelay.model;

import java.util.Arrays;

/** A ring buffer of fixed capacity with the most recent samples of one measured value and their times. */
public final class Samples {
    private static final double[] NONE = {};

    private final int capacity;
    /** Allocated with the first sample, as most rings of a long endpoint list stay empty. */
    private double[] values = NONE;

    private double[] times = NONE;
    private int count;

    /** Creates an empty ring. */
    public Samples(int capacity) {
        this.capacity = capacity;
    }

    /** Adds a sample with time 0, for users that do not select samples by time. */
    public void add(double value) {
        add(0, value);
    }

    /** Adds a sample; replaces the oldest one if the ring is full. */
    public void add(double time, double value) {
        if (values.length == 0) {
            values = new double[capacity];
            times = new double[capacity];
        }
        values[count % values.length] = value;
        times[count % values.length] = time;
        count++;
    }

    /** Removes all samples. */
    public void clear() {
        count = 0;
    }

    /** Returns the number of samples, at most the capacity. */
    public int size() {
        return Math.min(count, values.length);
    }

    /** Returns the oldest sample; there must be at least one. */
    public double oldest() {
        return values[(count - size()) % values.length];
    }

    /** Returns the sum of all samples. */
    public double sum() {
        double sum = 0;
        for (int i = 0; i < size(); i++) {
            sum += values[i];
        }
        return sum;
    }

    /** Returns the mean of all samples, or the given value if there are none. */
    public double mean(double ifEmpty) {
        return size() == 0 ? ifEmpty : sum() / size();
    }

    /** Returns the second smallest sample, which ignores one outlier; infinity if there are fewer than two samples. */
    public double secondSmallest() {
        return size() < 2
                ? Double.POSITIVE_INFINITY
                : Arrays.stream(values, 0, size()).sorted().toArray()[1];
    }

    /** Whether the ring is full and all samples are above the value. */
    public boolean allAbove(double value) {
        return count >= capacity && Arrays.stream(values).allMatch(each -> each > value);
    }

    /** Returns the number of samples since the given time that are at least the given value. */
    public int countAtLeast(double value, double since) {
        int found = 0;
        for (int i = 0; i < size(); i++) {
            found += times[i] >= since && values[i] >= value ? 1 : 0;
        }
        return found;
    }

    /**
     * Returns the mean of the samples since the given time together with prior samples.
     *
     * @param priorSamples the number of prior samples
     * @param priorValue the value of each prior sample, and the result if there are no samples at all
     */
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
