package portrelay.model;

/**
 * How many attempts one process may have in flight over all upstreams: additive increase while few outcomes are late
 * and the limit was reached, multiplicative decrease while many are late. Each process adapts its own, so that the
 * fleet stays within what all upstreams can do together.
 */
public final class AdaptiveLimit {

    /** Attempts in flight that a sidecar starts with at most, and has until the first endpoint list. */
    private static final double MAX_INITIAL_LIMIT = 3;

    /** Attempts an upstream that all sidecars together start with. */
    private static final double INITIAL_LIMIT_PER_UPSTREAM = 2.5;
    /**
     * Outcomes that are judged together. A round is as long as the limit, but no longer than this and at least half.
     */
    private static final int OUTCOMES_PER_ROUND = 16;
    /** Above this share of late outcomes the limit is lowered. */
    private static final double DECREASE_LATE_SHARE = 0.25;
    /** Below this share of late outcomes the limit is raised. */
    private static final double INCREASE_LATE_SHARE = 0.15;

    private static final double DECREASE_FACTOR = 0.8;

    private final Samples lateOutcomes = new Samples(OUTCOMES_PER_ROUND);
    private double limit = MAX_INITIAL_LIMIT;
    private double increment;
    private boolean isStarting = true;
    private double decreasedAt = Double.NEGATIVE_INFINITY;
    private int roundOutcomes;
    private boolean wasReachedInRound;
    private int inFlight;

    /** So many attempts have been sent. */
    public void attemptsStarted(int attempts) {
        inFlight += attempts;
    }

    /** Whether so many recent outcomes were late that the limit is lowered. */
    public boolean isOverloaded() {
        return lateOutcomes.mean(0) > DECREASE_LATE_SHARE;
    }

    /**
     * Sets the initial limit, once: all sidecars may start at the same time, so each begins with its share.
     *
     * @param upstreamsPerSidecar ready upstreams over sidecars; 0 leaves the limit as it is
     */
    public void initialize(double upstreamsPerSidecar) {
        if (upstreamsPerSidecar == 0 || increment > 0) {
            return;
        }
        increment = Math.min(1, upstreamsPerSidecar);
        limit = Math.max(1, Math.min(MAX_INITIAL_LIMIT, INITIAL_LIMIT_PER_UPSTREAM * upstreamsPerSidecar));
    }

    /**
     * Whether one more attempt may be sent; so many of those in flight are at unresponsive upstreams and not counted.
     */
    public boolean hasCapacity(int unresponsive) {
        return inFlight - unresponsive < limit;
    }

    /**
     * An attempt has ended.
     *
     * @param countsForFleet whether its lateness, if any, is not the fault of its upstream alone
     */
    public void attemptEnded(double now, double sentAt, boolean isLate, boolean countsForFleet) {
        boolean wasReached = inFlight-- + 1 > limit;
        wasReachedInRound |= wasReached;
        // At first nothing is known of the fleet: each prompt outcome raises the limit until a round is late.
        if (isStarting && wasReached && !isLate) {
            limit += increment;
        }
        // What was sent before the last decrease tells nothing of the lower limit, nor one slow upstream of the fleet.
        if (sentAt < decreasedAt || isLate && !countsForFleet && limit > 1) {
            return;
        }
        lateOutcomes.add(now, isLate ? 1 : 0);
        if (++roundOutcomes >= Math.max(OUTCOMES_PER_ROUND / 2, Math.min(OUTCOMES_PER_ROUND, limit))) {
            endRound(now);
        }
    }

    private void endRound(double now) {
        double lateShare = lateOutcomes.mean(0);
        if (lateShare > DECREASE_LATE_SHARE) {
            limit = Math.max(1, limit * DECREASE_FACTOR);
            isStarting = false;
            decreasedAt = now;
        } else if (lateShare < INCREASE_LATE_SHARE && wasReachedInRound) {
            limit += increment;
        }
        roundOutcomes = 0;
        wasReachedInRound = false;
    }
}
