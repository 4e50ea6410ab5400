package portrelay.fleet;

/**
 * The growth of a cost with size, as the power law cost = factor * size ^ exponent; fitted by least squares on the
 * logarithms.
 *
 * @param factor the cost at size 1
 * @param exponent the exponent of the size
 * @param residual the largest relative deviation of a measured cost from the fitted one
 */
public record PowerLawFit(double factor, double exponent, double residual) {

    private static final int MIN_SIZES = 3;

    /**
     * Fits a power law to the costs at the given sizes; the arrays have equal lengths and positive values.
     *
     * @throws IllegalArgumentException if there are fewer than three sizes, if the lengths differ, or if a value is not
     *     above 0
     */
    public static PowerLawFit of(double[] sizes, double[] costs) {
        int count = sizes.length;
        if (count < MIN_SIZES || costs.length != count) {
            throw new IllegalArgumentException("expected at least three sizes, and one cost for each");
        }
        double meanLogSize = 0;
        double meanLogCost = 0;
        for (int i = 0; i < count; i++) {
            if (!(sizes[i] > 0) || !(costs[i] > 0)) {
                throw new IllegalArgumentException(
                        "sizes and costs must be above 0: size " + sizes[i] + ", cost " + costs[i]);
            }
            meanLogSize += Math.log(sizes[i]) / count;
            meanLogCost += Math.log(costs[i]) / count;
        }
        double sizeVariance = 0;
        double covariance = 0;
        for (int i = 0; i < count; i++) {
            sizeVariance += (Math.log(sizes[i]) - meanLogSize) * (Math.log(sizes[i]) - meanLogSize);
            covariance += (Math.log(sizes[i]) - meanLogSize) * (Math.log(costs[i]) - meanLogCost);
        }
        double exponent = covariance / sizeVariance;
        double factor = Math.exp(meanLogCost - exponent * meanLogSize);
        double residual = 0;
        for (int i = 0; i < count; i++) {
            residual = Math.max(residual, Math.abs(costs[i] / (factor * Math.pow(sizes[i], exponent)) - 1));
        }
        return new PowerLawFit(factor, exponent, residual);
    }

    /** Returns the fitted cost at the given size, which may lie outside the measured range. */
    public double costAt(double size) {
        return factor * Math.pow(size, exponent);
    }
}
