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
 * Decides which client connections are closed. A connection with an open request is never selected, unless its client
 * reads the response too slowly. There is capacity for a new connection as long as any other connection neither awaits
 * nor reads a response. This class has no clock and no access to sockets: its owner reports the phase of each
 * connection on one thread, and closes the connections that are returned as {@link Eviction}. Not thread-safe. The
 * rules are in docs/design/door.md.
 */
public final class ConnectionCapacity {

    /** The phase of a connection. */
    public enum Phase {
        /** No byte has been received yet. */
        SILENT,
        /** The client is sending a request. */
        SENDING,
        /** A request is open and awaits its response or a further part of it. */
        ASKED,
        /** The client has yet to read a part of the response. */
        ANSWERING,
        /** No request is open after at least one earlier request. */
        IDLE
    }

    /** The reason for closing a connection. */
    public enum Cause {
        /** The connection was in its phase for longer than the timeout of the phase. */
        TOO_LONG,
        /** There were more connections than the limit. */
        MADE_WAY,
        /** The connection was idle, and more were idle than the recent peak of concurrent requests requires. */
        NOT_NEEDED,
        /** The connection was idle and the process is shutting down: a new request on it would be rejected. */
        SHUTDOWN
    }

    /** A connection that the owner has to close, with its phase and the reason. */
    public record Eviction(ClientId id, Phase phase, Cause cause) {}

    /**
     * Allows, while there are too many connections, to close the oldest connection of the phase if it is older than the
     * minimum age, or while the phase has more than this share of all connections.
     */
    private record EvictionRule(Phase phase, double minAge, double share) {}

    private static final class Connection {
        private Phase phase = Phase.SILENT;
        /** When the connection entered its phase. */
        private double phaseSince;
        /** Maximum seconds in the phase ANSWERING. */
        private double readTimeout;
    }

    /** The share in a rule that depends on the age of a connection alone. */
    private static final double NO_SHARE_LIMIT = Double.POSITIVE_INFINITY;
    /** The rule for the phase ANSWERING, in which each connection has a time of its own. */
    private static final EvictionRule UNREADING = new EvictionRule(Phase.ANSWERING, 0, NO_SHARE_LIMIT);
    /** The part of its time in the phase ANSWERING after which a connection may be closed under pressure. */
    private static final double UNREADING_SHARE_UNDER_PRESSURE = 0.5;
    /** The peak of connections that await a response covers the last second, in windows of this length. */
    private static final double PEAK_WINDOW_SECONDS = 0.25;

    private static final int PEAK_WINDOWS = 4;

    private final int minIdle;
    private final double idlePerAwaiting;
    private final double minIdleTime;
    /** Rules for too many connections; the first that applies is used. There is none for ASKED. */
    private final List<EvictionRule> evictionRules;
    /** Maximum seconds in the phase SENDING, whether or not there are too many connections. */
    private final double sendTimeout;
    /** Minimum of the seconds in the phase ANSWERING that each connection is given. */
    private final double minReadTimeout;

    private final Map<ClientId, Connection> connections = new HashMap<>();
    /** Connections by phase, in the order in which they entered it. */
    private final Map<Phase, Set<ClientId>> byPhase = new EnumMap<>(Phase.class);
    /** The connection that was opened last; null before the first. */
    private ClientId newest;
    /** Peak of connections that awaited a response in each of the last windows; a ring buffer by window number. */
    private final int[] awaitingPeaks = new int[PEAK_WINDOWS];

    private long currentWindow;

    /** Creates an instance without connections. */
    public ConnectionCapacity(ConnectionCapacityConfig config) {
        for (Phase each : Phase.values()) {
            byPhase.put(each, new LinkedHashSet<>());
        }
        minIdle = config.minIdle();
        idlePerAwaiting = config.idlePerAwaiting();
        minIdleTime = config.minIdleTime();
        sendTimeout = config.sendTimeout();
        minReadTimeout = config.readTimeout();
        evictionRules = List.of(
                new EvictionRule(Phase.SILENT, config.firstByteTimeout(), NO_SHARE_LIMIT),
                new EvictionRule(Phase.SENDING, config.sendTimeout() / 2, NO_SHARE_LIMIT),
                UNREADING,
                new EvictionRule(Phase.IDLE, config.idleTimeout(), NO_SHARE_LIMIT),
                new EvictionRule(Phase.SILENT, 0, config.silentShare()),
                new EvictionRule(Phase.SENDING, 0, config.sendingShare()),
                new EvictionRule(Phase.IDLE, 0, 0),
                new EvictionRule(Phase.SILENT, 0, 0),
                new EvictionRule(Phase.SENDING, 0, 0));
    }

    /**
     * Adds an accepted connection, in the phase SILENT.
     *
     * @throws IllegalStateException if a connection of this id is open
     */
    public void opened(double now, ClientId id) {
        Connection connection = new Connection();
        connection.phaseSince = now;
        if (connections.put(id, connection) != null) {
            throw new IllegalStateException("a connection of this id is open: " + id);
        }
        byPhase.get(Phase.SILENT).add(id);
        newest = id;
    }

    /** Sets the phase of a connection. Does nothing for a connection that has been closed. */
    public void phaseChanged(double now, ClientId id, Phase phase) {
        Connection connection = connections.get(id);
        if (connection == null) {
            return;
        }
        byPhase.get(connection.phase).remove(id);
        connection.phase = phase;
        connection.phaseSince = now;
        connection.readTimeout = minReadTimeout;
        byPhase.get(phase).add(id);
        if (phase == Phase.ASKED) {
            recordAwaitingPeak(now);
        }
    }

    /**
     * Sets the phase of a connection to ANSWERING, or renews it after progress. Does nothing for a connection that has
     * been closed.
     *
     * @param timeout maximum seconds in the phase until further progress, where that is more than the configured
     *     timeout
     */
    public void awaitsReader(double now, ClientId id, double timeout) {
        phaseChanged(now, id, Phase.ANSWERING);
        Connection connection = connections.get(id);
        if (connection != null) {
            connection.readTimeout = Math.max(minReadTimeout, timeout);
        }
    }

    /** Sets the phase of a silent or idle connection to SENDING; does nothing for other phases. */
    public void bytesReceived(double now, ClientId id) {
        Connection connection = connections.get(id);
        if (connection != null && (connection.phase == Phase.SILENT || connection.phase == Phase.IDLE)) {
            phaseChanged(now, id, Phase.SENDING);
        }
    }

    /** Removes a connection that has been closed. Does nothing if it is not open. */
    public void closed(ClientId id) {
        Connection connection = connections.remove(id);
        if (connection != null) {
            byPhase.get(connection.phase).remove(id);
        }
    }

    /** Returns the phase of the connection; null if the connection is not open. */
    public Phase phase(ClientId id) {
        Connection connection = connections.get(id);
        return connection == null ? null : connection.phase;
    }

    /** Returns the number of open connections. */
    public int count() {
        return connections.size();
    }

    /** Returns the number of open connections in the phase. */
    public int count(Phase phase) {
        return byPhase.get(phase).size();
    }

    /**
     * Returns the eviction of the connection that has been sending a request for the longest time, to make way for what
     * others send; null if none is sending.
     */
    public Eviction longestSending() {
        ClientId oldest = oldest(Phase.SENDING);
        return oldest == null ? null : new Eviction(oldest, Phase.SENDING, Cause.MADE_WAY);
    }

    /** Returns the connections in the phases, phase by phase, the longest in a phase first. */
    public List<ClientId> connectionsIn(Phase... phases) {
        return Stream.of(phases).flatMap(each -> byPhase.get(each).stream()).toList();
    }

    /** Returns the connections that have been silent or idle for at least {@code minAge} seconds. */
    public List<ClientId> inactiveFor(double now, double minAge) {
        return connectionsIn(Phase.SILENT, Phase.IDLE).stream()
                .filter(each -> age(now, each) >= minAge)
                .toList();
    }

    /**
     * Returns a connection that has been in its phase for longer than the timeout of the phase; null if there is none.
     */
    public Eviction overdue(double now) {
        ClientId sending = oldest(Phase.SENDING);
        if (sending != null && age(now, sending) > sendTimeout) {
            return new Eviction(sending, Phase.SENDING, Cause.TOO_LONG);
        }
        ClientId unreading = unreadingFor(now, 1);
        return unreading == null ? null : new Eviction(unreading, Phase.ANSWERING, Cause.TOO_LONG);
    }

    /**
     * Returns the longest idle connection if more are idle than the recent peak of concurrent requests requires; null
     * otherwise. Guards callers that limit their connections: a connection that one of their clients keeps idle is not
     * available to another.
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
     * Returns the first connection to close if more are open than the limit; null if not, or if none may be closed. The
     * newest connection is returned only if no other may be closed, as its first bytes are probably in transit.
     */
    public Eviction overLimit(double now, int limit) {
        if (connections.size() <= limit) {
            return null;
        }
        Eviction lastResort = null;
        for (EvictionRule rule : evictionRules) {
            boolean isUnreading = rule.phase == Phase.ANSWERING;
            ClientId oldest = isUnreading ? unreadingFor(now, UNREADING_SHARE_UNDER_PRESSURE) : oldest(rule.phase);
            boolean isOld = isUnreading || oldest != null && rule.minAge > 0 && age(now, oldest) > rule.minAge;
            boolean isOverShare = rule.share < NO_SHARE_LIMIT && count(rule.phase) > rule.share * limit;
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

    private void recordAwaitingPeak(double now) {
        long window = (long) (now / PEAK_WINDOW_SECONDS);
        for (long i = Math.max(currentWindow + 1, window - PEAK_WINDOWS + 1); i <= window; i++) {
            awaitingPeaks[(int) (i % PEAK_WINDOWS)] = 0;
        }
        currentWindow = window;
        int index = (int) (window % PEAK_WINDOWS);
        awaitingPeaks[index] = Math.max(awaitingPeaks[index], count(Phase.ASKED));
    }

    /**
     * Returns the first connection that has been ANSWERING for more than this share of its time; null if there is none.
     */
    private ClientId unreadingFor(double now, double share) {
        return byPhase.get(Phase.ANSWERING).stream()
                .filter(each -> age(now, each) > share * connections.get(each).readTimeout)
                .findFirst()
                .orElse(null);
    }

    private ClientId oldest(Phase phase) {
        Iterator<ClientId> iterator = byPhase.get(phase).iterator();
        return iterator.hasNext() ? iterator.next() : null;
    }

    private double age(double now, ClientId id) {
        return now - connections.get(id).phaseSince;
    }
}
