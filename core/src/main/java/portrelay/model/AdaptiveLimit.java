package portrelay.model;

/**
 * An adaptive concurrency limit: how many attempts one process may have in flight over all upstreams. The limit is
 * increased additively while it is reached and few outcomes are late, and decreased multiplicatively while many
 * outcomes are late (AIMD). Each process adapts its own limit, so that the fleet together stays within the capacity of
 * all upstreams.
 */
public final class AdaptiveLimit {

    /** The largest initial limit of a sidecar, and its limit until the first endpoint list arrives. */
    private static final double MAX_INITIAL_LIMIT = 3;

    /** The initial limits of all sidecars together, in attempts per upstream. */
    private static final double INITIAL_LIMIT_PER_UPSTREAM = 2.5;
    /**
     * The maximum number of outcomes in a round, after which the limit is adjusted. A round has as many outcomes as the
     * limit allows attempts, but at most this number and at least half of it.
     */
    private static final int OUTCOMES_PER_ROUND = 16;
    /** The limit is decreased when the share of late outcomes is above this value. */
    private static final double DECREASE_LATE_SHARE = 0.25;
    /** The limit is increased when the share of late outcomes is below this value. */
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

    /** Records that this number of attempts has been sent. */
    public void attemptsStarted(int attempts) {
        inFlight += attempts;
    }

    /** Whether the share of late outcomes among the recent ones is high enough to decrease the limit. */
    public boolean isOverloaded() {
        return lateOutcomes.mean(0) > DECREASE_LATE_SHARE;
    }

    /**
     * Sets the initial limit; later calls have no effect. Each sidecar starts with its share of the fleet's limit, as
     * all sidecars may start at the same time.
     *
     * @param upstreamsPerSidecar the number of ready upstreams divided by the number of sidecars; 0 leaves the limit
     *     unchanged
     */
    public void initialize(double upstreamsPerSidecar) {
        if (upstreamsPerSidecar == 0 || increment > 0) {
            return;
        }
        increment = Math.min(1, upstreamsPerSidecar);
        limit = Math.max(1, Math.min(MAX_INITIAL_LIMIT, INITIAL_LIMIT_PER_UPSTREAM * upstreamsPerSidecar));
    }

    /**
     * Whether one more attempt may be sent.
     *
     * @param unresponsive the number of attempts in flight at unresponsive upstreams, which are not counted
     */
    public boolean hasCapacity(int unresponsive) {
        return inFlight - unresponsive < limit;
    }

    /**
     * Records the end of an attempt and adjusts the limit at the end of a round.
     *
     * @param sentAt when the attempt was sent
     * @param isLate whether its outcome was late
     * @param countsForFleet whether a late outcome shows overload of the fleet rather than of this upstream alone
     */
    public void attemptEnded(double now, double sentAt, boolean isLate, boolean countsForFleet) {
        boolean wasReached = inFlight-- + 1 > limit;
        wasReachedInRound |= wasReached;
        // Initially the fleet's capacity is unknown: each prompt outcome while the limit is reached increases the
        // limit, until the first decrease.
        if (isStarting && wasReached && !isLate) {
            limit += increment;
        }
        // Attempts sent before the last decrease show nothing about the decreased limit, and one slow upstream shows
        // nothing about the fleet.
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
