package portrelay.fleet;

import java.util.SplittableRandom;

/**
 * Retry amplification along a call chain: computes or simulates the number of attempts that reach the lowest of several
 * levels for one request at the top, if the sidecar at each level retries and a share of the attempts at the lowest
 * level fails at random.
 */
public final class RetryAmplification {

    private final int levels;
    private final int maxAttempts;
    private final double failingShare;
    private final SplittableRandom random;
    private final long[] attemptsByLevel;

    private RetryAmplification(long seed, int levels, int maxAttempts, double failingShare) {
        this.levels = levels;
        this.maxAttempts = maxAttempts;
        this.failingShare = failingShare;
        this.random = new SplittableRandom(seed);
        this.attemptsByLevel = new long[levels];
    }

    /**
     * Simulates requests and returns the mean number of attempts at each level for one request at the top; the lowest
     * level comes last.
     *
     * @param levels the number of levels
     * @param maxAttempts the maximum number of attempts for one request at one level
     * @param failingShare the share of attempts that fail at the lowest level, from 0 to 1
     * @param requests the number of requests at the top
     */
    public static double[] simulateAttempts(long seed, int levels, int maxAttempts, double failingShare, int requests) {
        RetryAmplification simulation = new RetryAmplification(seed, levels, maxAttempts, failingShare);
        for (int i = 0; i < requests; i++) {
            simulation.simulateRequest(0);
        }
        double[] means = new double[levels];
        for (int i = 0; i < levels; i++) {
            means[i] = simulation.attemptsByLevel[i] / (double) requests;
        }
        return means;
    }

    private boolean simulateRequest(int level) {
        for (int i = 0; i < maxAttempts; i++) {
            attemptsByLevel[level]++;
            if (level == levels - 1 ? random.nextDouble() >= failingShare : simulateRequest(level + 1)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Computes the mean number of attempts at the lowest level for one request at the top. Each level makes 1 + f + f^2
     * + ... attempts, where f is the share of them that fail.
     */
    public static double expectedAttempts(int levels, int maxAttempts, double failingShare) {
        double attempts = 1;
        double failing = failingShare;
        for (int level = levels; level > 0; level--) {
            double attemptsOfLevel = 0;
            for (int i = 0; i < maxAttempts; i++) {
                attemptsOfLevel += Math.pow(failing, i);
            }
            attempts *= attemptsOfLevel;
            failing = Math.pow(failing, maxAttempts);
        }
        return attempts;
    }
}
