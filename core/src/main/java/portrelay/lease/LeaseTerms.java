package portrelay.lease;

/**
 * The times of a lease, in seconds. Drift is the most by which any process's clock may run fast or slow, as a share.
 *
 * @param duration how long a lease lasts, before drift is taken off
 * @param drift from 0 to below 1
 * @param roundTimeout after which a round without a majority is given up
 * @param backOff the mean wait before another round
 */
public record LeaseTerms(double duration, double drift, double roundTimeout, double backOff) {

    /** The part of a lease after which its holder begins to renew it. */
    private static final double RENEW_AFTER = 0.4;

    public LeaseTerms {
        if (!(duration > 0) || !(drift >= 0 && drift < 1) || !(roundTimeout > 0) || !(backOff > 0)) {
            throw new IllegalArgumentException(
                    "times of a lease: " + duration + ", " + drift + ", " + roundTimeout + ", " + backOff);
        }
        if (roundTimeout >= duration * (1 - drift)) {
            throw new IllegalArgumentException("a round of " + roundTimeout + " s outlasts its lease");
        }
    }

    /** For how long its holder may act, by the holder's clock from before it proposed. */
    double holderTerm() {
        return duration * (1 - drift);
    }

    /** For how long an acceptor stands by what it accepted, by its own clock from when it accepted. */
    double acceptorTerm() {
        return duration * (1 + drift);
    }

    /** When, by the holder's clock from before it proposed, the next round begins. */
    double renewAfter() {
        return duration * (1 - drift) * RENEW_AFTER;
    }
}
