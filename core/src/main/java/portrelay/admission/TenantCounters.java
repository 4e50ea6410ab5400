package portrelay.admission;

/**
 * Admission counters of one tenant since the process started. Not thread-safe: used on the thread of the
 * {@link AdmissionController} only.
 */
public final class TenantCounters {

    private long admitted;
    private long rejected;
    private long clientsLeft;
    private long retryAfterGiven;
    private long retryAfterHonoured;
    private long retryAfterMissed;
    private int queued;

    void queuedChanged(int difference) {
        queued += difference;
    }

    /** Counts an admitted request. The parameter says whether the request came at a reserved Retry-After time. */
    void admitted(boolean honoursRetryAfter) {
        admitted++;
        retryAfterHonoured += honoursRetryAfter ? 1 : 0;
    }

    /**
     * Counts a rejected request.
     *
     * @param honoursRetryAfter whether the request came at a reserved Retry-After time
     * @param givesRetryAfter whether the rejection has a Retry-After
     */
    void rejected(boolean honoursRetryAfter, boolean givesRetryAfter) {
        rejected++;
        retryAfterMissed += honoursRetryAfter ? 1 : 0;
        retryAfterGiven += givesRetryAfter ? 1 : 0;
    }

    void clientLeft() {
        clientsLeft++;
    }

    /** Returns the number of admitted requests. */
    public long admitted() {
        return admitted;
    }

    /** Returns the number of rejected requests. */
    public long rejected() {
        return rejected;
    }

    /** Returns the number of rejections with a Retry-After. */
    public long retryAfterGiven() {
        return retryAfterGiven;
    }

    /** Returns the number of requests that came at their Retry-After and were admitted. */
    public long retryAfterHonoured() {
        return retryAfterHonoured;
    }

    /** Returns the number of requests that came at their Retry-After and were rejected again. */
    public long retryAfterMissed() {
        return retryAfterMissed;
    }

    /** Returns the number of requests that are currently queued. */
    public int queued() {
        return queued;
    }

    /** Returns the counters as {@code key=value} pairs for a log line. */
    @Override
    public String toString() {
        return "admitted=" + admitted + " rejected=" + rejected + " client-left=" + clientsLeft + " queued=" + queued
                + " retry-after-given=" + retryAfterGiven + " retry-after-honoured=" + retryAfterHonoured
                + " retry-after-missed=" + retryAfterMissed;
    }
}
