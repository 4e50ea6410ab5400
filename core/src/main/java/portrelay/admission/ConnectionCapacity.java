package portrelay.admission;

import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Decides which client connections are closed. A connection with an open request is never closed here, except that of a
 * client that reads its response too slowly; there is capacity for a new connection as long as any other one neither
 * awaits nor reads a response. Knows no socket and has no clock: its owner reports each connection's phase on one
 * thread, and closes the connections that it names. The rules are in docs/design/door.md.
 */
public final class ConnectionCapacity {

    /** What a connection is doing. */
    public enum Phase {
        /** No byte has been received yet. */
        SILENT,
        /** The client sends a request. */
        SENDING,
        /** A request is open and awaits its response, or a further part of it. */
        ASKED,
        /** The response has bytes that the client has not read. */
        ANSWERING,
        /** No request is open, and one was before. */
        IDLE
    }

    /** Why a connection is closed. */
    public enum Cause {
        /** It was in its phase for longer than its timeout. */
        TOO_LONG,
        /** There were too many connections. */
        MADE_WAY,
        /** It was idle and more were idle than were lately used at once. */
        NOT_NEEDED,
        /** It was idle and the process shuts down: what comes on it would be rejected. */
        SHUTDOWN
    }

    /** A connection to be closed now. */
    public record Eviction(ClientId id, Phase phase, Cause cause) {}

    /** Under pressure the oldest of the phase may be closed above this age, or while the phase is above this share. */
    private record EvictionRule(Phase phase, double minAge, double share) {}

    private static final class Connection {
        private Phase phase = Phase.SILENT;
        private double since;
    }

    private static final double NO_SHARE = Double.POSITIVE_INFINITY;
    /** The peak of connections that await a response is taken over the last second, in windows. */
    private static final double PEAK_WINDOW_SECONDS = 0.25;

    private static final int PEAK_WINDOWS = 4;

    private final int minIdle;
    private final double idlePerAwaiting;
    private final double minIdleTime;
    /** Rules under pressure, the first that applies wins. ASKED has none. */
    private final List<EvictionRule> evictionRules;
    /** Seconds that a connection may be in the phase without any pressure; unlimited for others. */
    private final Map<Phase, Double> timeouts = new EnumMap<>(Phase.class);

    private final Map<ClientId, Connection> connections = new HashMap<>();
    /** Of each phase, the longest in it first. */
    private final Map<Phase, Set<ClientId>> byPhase = new EnumMap<>(Phase.class);
    /** The one that was opened last; null before the first. */
    private ClientId newest;
    /** The most that awaited a response at once, in each of the last windows; a ring by window number. */
    private final int[] awaitingPeaks = new int[PEAK_WINDOWS];

    private long currentWindow;

    public ConnectionCapacity(ConnectionCapacityConfig config) {
        for (Phase each : Phase.values()) {
            byPhase.put(each, new LinkedHashSet<>());
        }
        minIdle = config.minIdle();
        idlePerAwaiting = config.idlePerAwaiting();
        minIdleTime = config.minIdleTime();
        timeouts.put(Phase.SENDING, config.sendTimeout());
        timeouts.put(Phase.ANSWERING, config.readTimeout());
        evictionRules = List.of(
                new EvictionRule(Phase.SILENT, config.firstByteTimeout(), NO_SHARE),
                new EvictionRule(Phase.SENDING, config.sendTimeout() / 2, NO_SHARE),
                new EvictionRule(Phase.ANSWERING, config.readTimeout() / 2, NO_SHARE),
                new EvictionRule(Phase.IDLE, config.idleTimeout(), NO_SHARE),
                new EvictionRule(Phase.SILENT, 0, config.silentShare()),
                new EvictionRule(Phase.SENDING, 0, config.sendingShare()),
                new EvictionRule(Phase.IDLE, 0, 0),
                new EvictionRule(Phase.SILENT, 0, 0),
                new EvictionRule(Phase.SENDING, 0, 0));
    }

    /**
     * A connection was accepted.
     *
     * @throws IllegalStateException if one of this id is open
     */
    public void opened(double now, ClientId id) {
        Connection connection = new Connection();
        connection.since = now;
        if (connections.put(id, connection) != null) {
            throw new IllegalStateException("opened twice: " + id);
        }
        byPhase.get(Phase.SILENT).add(id);
        newest = id;
    }

    /** Does nothing for a connection that has been closed. */
    public void phaseChanged(double now, ClientId id, Phase phase) {
        Connection connection = connections.get(id);
        if (connection == null) {
            return;
        }
        byPhase.get(connection.phase).remove(id);
        connection.phase = phase;
        connection.since = now;
        byPhase.get(phase).add(id);
        if (phase == Phase.ASKED) {
            recordAwaiting(now);
        }
    }

    /** A silent or idle connection is now sending; for others nothing changes. */
    public void bytesReceived(double now, ClientId id) {
        Connection connection = connections.get(id);
        if (connection != null && (connection.phase == Phase.SILENT || connection.phase == Phase.IDLE)) {
            phaseChanged(now, id, Phase.SENDING);
        }
    }

    public void closed(ClientId id) {
        Connection connection = connections.remove(id);
        if (connection != null) {
            byPhase.get(connection.phase).remove(id);
        }
    }

    /** Null for a connection that is not open. */
    public Phase phase(ClientId id) {
        Connection connection = connections.get(id);
        return connection == null ? null : connection.phase;
    }

    public int count() {
        return connections.size();
    }

    public int count(Phase phase) {
        return byPhase.get(phase).size();
    }

    /** The connections in one of these phases. */
    public List<ClientId> in(Phase... phases) {
        return Stream.of(phases).flatMap(each -> byPhase.get(each).stream()).toList();
    }

    /** The connections that have been silent or idle for at least that many seconds. */
    public List<ClientId> silentFor(double now, double minAge) {
        return in(Phase.SILENT, Phase.IDLE).stream()
                .filter(each -> age(now, each) >= minAge)
                .toList();
    }

    /** One that has been in its phase for longer than its timeout; null if there is none. */
    public Eviction overdue(double now) {
        for (Map.Entry<Phase, Double> each : timeouts.entrySet()) {
            ClientId oldest = oldest(each.getKey());
            if (oldest != null && age(now, oldest) > each.getValue()) {
                return new Eviction(oldest, each.getKey(), Cause.TOO_LONG);
            }
        }
        return null;
    }

    /**
     * The longest idle connection while too many are idle for what was lately used at once; null if not. Guards callers
     * with a connection limit of their own: one that is idle with one client is not free for another.
     */
    public Eviction surplus(double now) {
        double peak = Arrays.stream(awaitingPeaks).max().orElse(0);
        double wanted = idlePerAwaiting * peak - count(Phase.ASKED);
        ClientId oldest = oldest(Phase.IDLE);
        boolean isWithinLimit = count(Phase.IDLE) <= Math.max(minIdle, wanted);
        return isWithinLimit || oldest == null || age(now, oldest) <= minIdleTime
                ? null
                : new Eviction(oldest, Phase.IDLE, Cause.NOT_NEEDED);
    }

    /**
     * The first connection to close while more are open than the limit; null if not, or if none may be closed. The
     * newest one only if no other may: its first bytes are on their way.
     */
    public Eviction underPressure(double now, int limit) {
        if (connections.size() <= limit) {
            return null;
        }
        Eviction lastResort = null;
        for (EvictionRule rule : evictionRules) {
            ClientId oldest = oldest(rule.phase);
            boolean isOld = oldest != null && rule.minAge > 0 && age(now, oldest) > rule.minAge;
            boolean isOverShare = rule.share < NO_SHARE && count(rule.phase) > rule.share * limit;
            if (oldest != null && (isOld || isOverShare)) {
                Eviction eviction = new Eviction(oldest, rule.phase, Cause.MADE_WAY);
                if (!oldest.equals(newest)) {
                    return eviction;
                }
                lastResort = lastResort == null ? eviction : lastResort;
            }
        }
        return lastResort;
    }

    private void recordAwaiting(double now) {
        long window = (long) (now / PEAK_WINDOW_SECONDS);
        for (long i = Math.max(currentWindow + 1, window - PEAK_WINDOWS + 1); i <= window; i++) {
            awaitingPeaks[(int) (i % PEAK_WINDOWS)] = 0;
        }
        currentWindow = window;
        int index = (int) (window % PEAK_WINDOWS);
        awaitingPeaks[index] = Math.max(awaitingPeaks[index], count(Phase.ASKED));
    }

    private ClientId oldest(Phase phase) {
        Iterator<ClientId> each = byPhase.get(phase).iterator();
        return each.hasNext() ? each.next() : null;
    }

    private double age(double now, ClientId id) {
        return now - connections.get(id).since;
    }
}
