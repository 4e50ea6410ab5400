package portrelay.admission;

import java.util.HashMap;
import java.util.Map;
import portrelay.model.RequestClassId;
import portrelay.model.Samples;

/** Measures the mean time from admission to answer of the last requests of each class, in seconds. */
final class ServiceTimes {

    private static final int MAX_SAMPLES = 64;
    /** Assumed for a class until its first answer. */
    private static final double DEFAULT_SECONDS = 0.1;

    /** Lower bound of the mean, as {@link AdmissionRequest#work} has to be over 0. */
    private static final double MIN_SECONDS = 1e-6;

    private final Map<RequestClassId, Samples> samplesByClass = new HashMap<>();

    void add(RequestClassId requestClass, double seconds) {
        samplesByClass
                .computeIfAbsent(requestClass, id -> new Samples(MAX_SAMPLES))
                .add(seconds);
    }

    /** Returns the mean of the class, always over 0; a default for a class without samples. */
    double mean(RequestClassId requestClass) {
        Samples samples = samplesByClass.get(requestClass);
        return Math.max(MIN_SECONDS, samples == null ? DEFAULT_SECONDS : samples.mean(DEFAULT_SECONDS));
    }
}
