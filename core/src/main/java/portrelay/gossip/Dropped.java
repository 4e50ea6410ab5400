package portrelay.gossip;

import portrelay.model.Samples;

/** What is known of connections that are dropped unseen: how long those had rested that lost a query. */
public final class Dropped {

    private static final int SAMPLES = 8;
    private static final double FOR = 20;
    private static final double SPARE = 0.95;
    private static final double TOLD_EVERY = 1;

    private final Samples rested = new Samples(SAMPLES);
    private double until = Double.NEGATIVE_INFINITY;
    private double toldAt = Double.NEGATIVE_INFINITY;

    /** Whether connections are being dropped these days. */
    public boolean on(double now) {
        return now < until;
    }

    /** Whether a connection that rested so long, in seconds, is better not used. */
    public boolean tooOld(double seconds, double now) {
        return on(now) && seconds > rested.secondLeast() * SPARE;
    }

    /** One was lost after so long a rest; a single odd one sets no age. */
    public void lost(double seconds, double now) {
        if (!on(now)) {
            rested.clear();
        }
        rested.add(seconds);
        until = now + FOR;
    }

    /** The same, seen by ourselves; those that have to hear of it are told: the first two go to all. */
    public void lost(double seconds, double now, Gossip gossip) {
        // Nobody acts on one alone: until two are known, whoever loses one tells all.
        boolean few = !on(now) || rested.kept() < 2;
        if (few || seconds < rested.secondLeast() || now > toldAt + TOLD_EVERY) {
            toldAt = now;
            gossip.tellLost(seconds, few);
        }
        lost(seconds, now);
    }
}
