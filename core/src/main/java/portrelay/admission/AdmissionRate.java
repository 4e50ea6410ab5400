package portrelay.admission;

import portrelay.model.Samples;

/**
 * Measures the rate at which queued work is admitted. Only admissions with a backlog are measured: without a backlog,
 * requests are admitted at the rate at which they arrive, which does not show the capacity.
 */
final class AdmissionRate {

    private static final int MAX_SAMPLES = 32;
    /** With fewer samples the rate is too imprecise for rejections. */
    private static final int MIN_SAMPLES = 8;

    private final Samples admittedAt = new Samples(MAX_SAMPLES);
    private final Samples admittedWork = new Samples(MAX_SAMPLES);

    /** Records the admission of queued work, in seconds, while more work is queued. */
    void admittedWithBacklog(double now, double work) {
        admittedAt.add(now);
        admittedWork.add(work);
    }

    /** Discards all samples as the queue is empty: the rate is unknown until there is a backlog again. */
    void queueEmptied() {
        admittedAt.clear();
        admittedWork.clear();
    }

    /** Returns the admitted work per second; 0 while there are too few samples. */
    double workPerSecond(double now) {
        if (admittedAt.size() < MIN_SAMPLES) {
            return 0;
        }
        double span = now - admittedAt.oldest();
        return span <= 0 ? 0 : admittedWork.sum() / span;
    }
}
