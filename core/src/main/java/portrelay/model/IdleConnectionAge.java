package portrelay.model;

/**
 * Estimates after how long a middlebox between the sidecar and its upstreams drops idle connections, from requests that
 * were lost on idle connections here or at peers.
 */
public final class IdleConnectionAge {

    private static final int SAMPLES = 8;

    /** Idle connections count as safe again when no request has been lost for this long. */
    private static final double MEMORY_SECONDS = 20;
    /** Connections are replaced once their idle time is above this share of the second smallest known age. */
    private static final double REPLACE_AGE_SHARE = 0.95;

    /** A lost connection whose age adds no information is reported only if the last report is older than this. */
    private static final double BROADCAST_INTERVAL_SECONDS = 1;

    /** The idle times, in seconds, of the connections on which requests were lost. */
    private final Samples lostAges = new Samples(SAMPLES);

    private double droppingUntil = Double.NEGATIVE_INFINITY;
    private double broadcastAt = Double.NEGATIVE_INFINITY;

    /** Whether requests have been lost on idle connections recently. */
    public boolean hasRecentDrops(double now) {
        return now < droppingUntil;
    }

    /** Whether a connection with this idle time should be replaced rather than used. */
    public boolean shouldReplace(double idleSeconds, double now) {
        return hasRecentDrops(now) && idleSeconds > lostAges.secondSmallest() * REPLACE_AGE_SHARE;
    }

    /** Whether fewer than two ages are known; a single one may be a coincidence and sets no limit. */
    public boolean hasFewSamples(double now) {
        return !hasRecentDrops(now) || lostAges.size() < 2;
    }

    /** Whether a connection lost here is to be reported to peers; if so, the report counts as sent. */
    public boolean shouldBroadcast(double idleSeconds, double now) {
        boolean isNews = hasFewSamples(now)
                || idleSeconds < lostAges.secondSmallest()
                || now > broadcastAt + BROADCAST_INTERVAL_SECONDS;
        broadcastAt = isNews ? now : broadcastAt;
        return isNews;
    }

    /** Records that a request was lost, here or at a peer, on a connection with this idle time. */
    public void recordLostConnection(double idleSeconds, double now) {
        if (!hasRecentDrops(now)) {
            lostAges.clear();
        }
        lostAges.add(idleSeconds);
        droppingUntil = now + MEMORY_SECONDS;
    }
}
