package portrelay.model;

/**
 * After how long idle connections to upstreams are dropped by something between, estimated from requests that were lost
 * on idle connections, here or at peers.
 */
public final class IdleConnectionAge {

    private static final int SAMPLES = 8;

    /** So long after the last lost request idle connections count as safe again. */
    private static final double MEMORY_SECONDS = 20;
    /** Share of the second smallest known age above which connections are replaced. */
    private static final double REPLACE_AGE_SHARE = 0.95;

    /** After so long a lost connection is reported again though its age is nothing new. */
    private static final double BROADCAST_INTERVAL_SECONDS = 1;

    /** How long the connections had been idle on which requests were lost. */
    private final Samples lostAges = new Samples(SAMPLES);

    private double droppingUntil = Double.NEGATIVE_INFINITY;
    private double broadcastAt = Double.NEGATIVE_INFINITY;

    /** Whether idle connections have been dropped recently. */
    public boolean hasRecentDrops(double now) {
        return now < droppingUntil;
    }

    /** Whether a connection that has been idle for so long is better replaced than used. */
    public boolean shouldReplace(double idleSeconds, double now) {
        return hasRecentDrops(now) && idleSeconds > lostAges.secondSmallest() * REPLACE_AGE_SHARE;
    }

    /** Whether fewer than two ages are known: one alone may be an accident and sets no limit. */
    public boolean hasFewSamples(double now) {
        return !hasRecentDrops(now) || lostAges.size() < 2;
    }

    /** Whether a connection lost here is to be reported to peers; if so, the message counts as sent. */
    public boolean shouldBroadcast(double idleSeconds, double now) {
        boolean isNews = hasFewSamples(now)
                || idleSeconds < lostAges.secondSmallest()
                || now > broadcastAt + BROADCAST_INTERVAL_SECONDS;
        broadcastAt = isNews ? now : broadcastAt;
        return isNews;
    }

    /** A request was lost on a connection that had been idle for so long, here or at a peer. */
    public void recordLostConnection(double idleSeconds, double now) {
        if (!hasRecentDrops(now)) {
            lostAges.clear();
        }
        lostAges.add(idleSeconds);
        droppingUntil = now + MEMORY_SECONDS;
    }
}
