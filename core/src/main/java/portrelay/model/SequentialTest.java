package portrelay.model;

/**
 * Wald's sequential probability ratio test of the hypothesis that a member of a group fails nearly always against the
 * hypothesis that it fails as often as the whole group. The evidence is the logarithm of the likelihood ratio, from 0
 * to the bound at which the test decides.
 *
 * @param bound the evidence at which the test decides, and its maximum
 * @param minFailureShare the lower bound of the group's failure share that the test assumes
 * @param maxFailureShare the upper bound of the group's failure share that the test assumes
 */
public record SequentialTest(double bound, double minFailureShare, double maxFailureShare) {

    /** A member that fails nearly always is assumed to succeed this many times less often than usual. */
    private static final double USUAL_OVER_BROKEN_SUCCESS = 10;

    /**
     * Returns the evidence after one more outcome.
     *
     * @param evidence the evidence before the outcome
     * @param failureShare the share of failures among all outcomes of the group
     */
    public double evidenceAfter(double evidence, double failureShare, boolean isFailed) {
        double usual = Math.min(maxFailureShare, Math.max(minFailureShare, failureShare));
        double broken = (USUAL_OVER_BROKEN_SUCCESS - 1 + usual) / USUAL_OVER_BROKEN_SUCCESS;
        double step = isFailed ? Math.log(broken / usual) : Math.log((1 - broken) / (1 - usual));
        return Math.max(0, Math.min(evidence + step, bound));
    }
}
