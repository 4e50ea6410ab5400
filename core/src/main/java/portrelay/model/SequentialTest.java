package portrelay.model;

/**
 * Wald's sequential probability ratio test of "fails nearly always" against "fails as often as all". Evidence is the
 * logarithm of the likelihood ratio, from 0 to the bound at which the test decides.
 *
 * @param minFailureShare the least failure share of all that is assumed
 * @param maxFailureShare the largest failure share of all that is assumed
 */
public record SequentialTest(double bound, double minFailureShare, double maxFailureShare) {

    /** What fails nearly always succeeds so many times less often than usual. */
    private static final double USUAL_OVER_BROKEN_SUCCESS = 10;

    /** The evidence after one more outcome, where the given share of all outcomes fails. */
    public double evidenceAfter(double evidence, double failureShare, boolean isFailed) {
        double usual = Math.min(maxFailureShare, Math.max(minFailureShare, failureShare));
        double broken = (USUAL_OVER_BROKEN_SUCCESS - 1 + usual) / USUAL_OVER_BROKEN_SUCCESS;
        double step = isFailed ? Math.log(broken / usual) : Math.log((1 - broken) / (1 - usual));
        return Math.max(0, Math.min(evidence + step, bound));
    }
}
