package portrelay.standin;

import java.util.SplittableRandom;

/**
 * Draws how an upstream of {@link UpstreamFleet} treats each request: after which time it answers, how long its answer
 * is, and what goes wrong. Most times and lengths are small, some are large. Not thread-safe.
 */
final class ExchangeScript {

    /** What goes wrong with an exchange. */
    enum Trouble {
        NONE,
        /** The connection is reset instead of an answer. */
        RESET,
        /** There is no answer. */
        HANG,
        /** The connection ends within the answer. */
        CUT_SHORT,
        /** The connection is closed a moment after the answer, while it is idle. */
        CLOSE_IDLE
    }

    private static final Trouble[] TROUBLES = {Trouble.RESET, Trouble.HANG, Trouble.CUT_SHORT, Trouble.CLOSE_IDLE};

    private static final double MIN_DELAY_SECONDS = 0.002;
    private static final double MAX_DELAY_SECONDS = 0.08;
    /** Skews the random delays and lengths towards small ones. */
    private static final double SKEW = 3;

    private static final int MIN_ANSWER_BYTES = 64;
    private static final int MAX_ANSWER_BYTES = 70_000;

    private final SplittableRandom random;

    ExchangeScript(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Draws what goes wrong; nothing does but for the given share (0 to 1) of the exchanges. */
    Trouble drawTrouble(double troubledShare) {
        return random.nextDouble() < troubledShare ? TROUBLES[random.nextInt(TROUBLES.length)] : Trouble.NONE;
    }

    double drawDelaySeconds() {
        return MIN_DELAY_SECONDS + (MAX_DELAY_SECONDS - MIN_DELAY_SECONDS) * Math.pow(random.nextDouble(), SKEW);
    }

    int drawAnswerBytes() {
        return MIN_ANSWER_BYTES + (int) ((MAX_ANSWER_BYTES - MIN_ANSWER_BYTES) * Math.pow(random.nextDouble(), SKEW));
    }
}
