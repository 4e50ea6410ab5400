package portrelay.net.client;

import java.util.EnumMap;
import java.util.Map;
import portrelay.admission.ConnectionCapacity;

/** Counts the client connections accepted, evicted and closed since the last {@link #summaryLine}. */
public final class ConnectionCounters {

    private int accepted;
    private int notNeeded;
    private int rejectedForCapacity;
    private int rejectedForMemory;
    private int rejectedForStreams;
    private final Map<ConnectionCapacity.Phase, Integer> evicted = new EnumMap<>(ConnectionCapacity.Phase.class);
    private final Map<ConnectionCapacity.Phase, Integer> timedOut = new EnumMap<>(ConnectionCapacity.Phase.class);

    void countAccepted() {
        accepted++;
    }

    /** Counts a request rejected because more requests wait for responses than connections are allowed. */
    void countRejectedForCapacity() {
        rejectedForCapacity++;
    }

    /** Counts a request that was not read to its end because the process holds too many bytes for its clients. */
    void countRejectedForMemory() {
        rejectedForMemory++;
    }

    /** Counts a request with a long body that was rejected because too many are open. */
    void countRejectedForStreams() {
        rejectedForStreams++;
    }

    void countEvicted(ConnectionCapacity.Eviction eviction) {
        switch (eviction.cause()) {
            case MADE_WAY -> evicted.merge(eviction.phase(), 1, Integer::sum);
            case TOO_LONG -> timedOut.merge(eviction.phase(), 1, Integer::sum);
            default -> notNeeded++;
        }
    }

    /** Returns a log line, or null if connections were only accepted, and resets the counts to 0. */
    public String summaryLine() {
        String line = null;
        int rejected = rejectedForCapacity + rejectedForMemory + rejectedForStreams;
        if (rejected > 0 || notNeeded > 0 || !evicted.isEmpty() || !timedOut.isEmpty()) {
            line = "client connections: accepted=" + accepted + " evicted=" + evicted + " timed-out=" + timedOut
                    + " idle-not-needed=" + notNeeded + " rejected-no-capacity=" + rejectedForCapacity
                    + " rejected-no-memory=" + rejectedForMemory + " rejected-long-bodies=" + rejectedForStreams;
        }
        accepted = 0;
        rejectedForCapacity = 0;
        rejectedForMemory = 0;
        rejectedForStreams = 0;
        notNeeded = 0;
        evicted.clear();
        timedOut.clear();
        return line;
    }
}
