package portrelay.model;

/** Schedules the polls of discovery; none is due while a poll is outstanding or none is needed. */
public final class WatchSchedule {

    private final DiscoveryRules rules;
    private double nextAt = Double.POSITIVE_INFINITY;
    private int failures;

    /** Creates a schedule on which no poll is due before {@link #start}. */
    public WatchSchedule(DiscoveryRules rules) {
        this.rules = rules;
    }

    /** Starts the schedule: the first poll is due at once if changes are delivered only in answer to polls. */
    public void start(double now) {
        nextAt = rules.polled() ? now : nextAt;
    }

    /** Whether a poll is due; if so, it counts as outstanding from now on. */
    public boolean beginPollIfDue(double now) {
        if (now < nextAt) {
            return false;
        }
        nextAt = Double.POSITIVE_INFINITY;
        return true;
    }

    /**
     * Records that the poll failed; the next one is due after a backoff.
     *
     * @param draw a random number, uniformly distributed from 0 to 1
     */
    public void failed(double now, double draw) {
        nextAt = now + rules.backoff(failures++, draw);
    }

    /** Records the arrival of an endpoint list; a cached list does not answer a poll. */
    public void answered(EndpointUpdate update) {
        if (update == EndpointUpdate.CACHED) {
            return;
        }
        failures = 0;
        nextAt = Double.POSITIVE_INFINITY;
    }

    /** Returns when the next poll is due; infinity if none is due before another event. */
    public double nextAt() {
        return nextAt;
    }
}
