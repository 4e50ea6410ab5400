package portrelay.lease;

/**
 * The durations that define a lease, in seconds. All replicas must use the same terms.
 *
 * @param duration how long a lease lasts before clock drift is taken into account; above 0
 * @param drift the maximum by which any process's clock may run fast or slow, as a share of at least 0 and below 1
 * @param roundTimeout the time after which a round without a majority is abandoned; above 0 and less than a lease lasts
 *     for its holder
 * @param backoff the mean wait before the next round, above 0; it doubles with each failure
 */
public record LeaseTerms(double duration, double drift, double roundTimeout, double backoff) {

    /** The share of its term after which a holder begins to renew; it leaves time for more than one round. */
    private static final double RENEW_AFTER_SHARE = 0.4;

    /**
     * Checks the values.
     *
     * @throws IllegalArgumentException if a value is out of range
     */
    public LeaseTerms {
        if (!(duration > 0) || !(drift >= 0 && drift < 1) || !(roundTimeout > 0) || !(backoff > 0)) {
            throw new IllegalArgumentException("lease terms out of range: duration " + duration + ", drift " + drift
                    + ", round timeout " + roundTimeout + ", backoff " + backoff);
        }
        if (roundTimeout >= duration * (1 - drift)) {
            throw new IllegalArgumentException(
                    "round timeout of " + roundTimeout + " s is not less than the lease's holder term");
        }
    }

    /** Returns how long the holder may act, on its own clock since before it sent the proposal. */
    double holderTerm() {
        return duration * (1 - drift);
    }

    /** Returns how long an acceptor keeps an accepted proposal, on its own clock since it accepted. */
    double acceptorTerm() {
        return duration * (1 + drift);
    }

    /** Returns after what time the holder begins to renew, on its own clock since before it sent the proposal. */
    double renewAfter() {
        return duration * (1 - drift) * RENEW_AFTER_SHARE;
    }
}
