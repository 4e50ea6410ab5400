package portrelay.model;

/**
 * Wald's sequential probability ratio test of "this one fails nearly always" against "it fails as often as all".
 * Evidence is the logarithm of the likelihood ratio, kept from 0 to the bound at which the test decides.
 */
public record SequentialTest(double bound, double leastFailing, double mostFailing) {

    /** The evidence after one more outcome, where so large a share of all outcomes fails. */
    public double after(double evidence, double failingShare, boolean failed) {
        double usual = Math.min(mostFailing, Math.max(leastFailing, failingShare));
        double broken = (9 + usual) / 10;
        double step = failed ? Math.log(broken / usual) : Math.log((1 - broken) / (1 - usual));
        return Math.max(0, Math.min(evidence + step, bound));
    }
}
