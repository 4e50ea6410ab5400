package portrelay.model;

import java.util.ArrayList;
import java.util.List;

/** The mean latency of recently served requests of each class. */
public final class TypicalLatencies {

    /** The number of recent requests of each class that the mean is taken over. */
    private static final int SAMPLES = 64;

    private final List<Samples> secondsByClass = new ArrayList<>();

    /** Creates an instance for this number of classes, whose ids are the indexes from 0. */
    public TypicalLatencies(int classes) {
        for (int i = 0; i < classes; i++) {
            secondsByClass.add(new Samples(SAMPLES));
        }
    }

    /** Records the latency of a served request. */
    public void record(RequestClassId requestClass, double now, double seconds) {
        secondsByClass.get(requestClass.value()).add(now, seconds);
    }

    /**
     * Returns the mean latency of a class in seconds.
     *
     * @param priorSamples the number of samples that the prior counts as
     * @param prior the assumed latency, and the result if there are no samples at all
     */
    public double mean(RequestClassId requestClass, double priorSamples, double prior) {
        return secondsByClass.get(requestClass.value()).mean(Double.NEGATIVE_INFINITY, priorSamples, prior);
    }
}
