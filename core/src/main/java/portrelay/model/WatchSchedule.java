package portrelay.model;

/** When discovery is to be polled next: never while a poll is outstanding or none is needed. */
public final class WatchSchedule {

    private final DiscoveryRules rules;
    private double nextAt = Double.POSITIVE_INFINITY;
    private int failures;

    public WatchSchedule(DiscoveryRules rules) {
        this.rules = rules;
    }

    /** The first poll is due at once where changes come only in answer to polls. */
    public void start(double now) {
        nextAt = rules.polled() ? now : nextAt;
    }

    /** Whether a poll is due; it then counts as outstanding. */
    public boolean beginPollIfDue(double now) {
        if (now < nextAt) {
            return false;
        }
        nextAt = Double.POSITIVE_INFINITY;
        return true;
    }

    /** The poll failed: the next one follows after a backoff; the draw is from 0 to 1. */
    public void failed(double now, double draw) {
        nextAt = now + rules.backoff(failures++, draw);
    }

    /** An endpoint list has come; a cached one answers no poll. */
    public void answered(EndpointUpdate update) {
        if (update == EndpointUpdate.CACHED) {
            return;
        }
        failures = 0;
        nextAt = Double.POSITIVE_INFINITY;
    }

    /** Infinite where no poll is due without another event. */
    public double nextAt() {
        return nextAt;
    }
}
