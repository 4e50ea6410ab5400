package portrelay.net.client;

import io.undertow.server.protocol.http.HttpServerConnection;
import java.net.SocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.DoubleFunction;
import java.util.function.LongSupplier;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import portrelay.admission.ClientId;
import portrelay.admission.ConnectionCapacity;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;

/**
 * Owns the clients' sockets: tells {@link ConnectionCapacity} what phase each is in and closes those that it evicts.
 * Each connection is entered at {@code opened} and given back at {@code forget}, once. A connection that is not known,
 * as one that closed meanwhile, is passed over by every method here.
 */
public final class ClientConnections {

    /** How often connections are checked for timeouts, each of which may be noticed so much late. */
    private static final double SWEEP_INTERVAL_SECONDS = 0.05;

    private final EventLoop loop;
    private final Log log;
    private final ConnectionCapacity capacity;
    private final ConnectionCounters counters;
    private final double maxIdleSeconds;
    private final Map<StreamConnection, ClientId> ids = new HashMap<>();
    private final Map<ClientId, ClientConnection> connections = new HashMap<>();
    private long nextId;
    private int maxConnections = Integer.MAX_VALUE;
    private boolean isSweepScheduled;
    /** Whether idle connections stay open although fewer were lately used at once. */
    private boolean isKeepingSurplus;

    public ClientConnections(EventLoop loop, Log log, ConnectionCapacityConfig config, ConnectionCounters counters) {
        this.loop = loop;
        this.log = log;
        this.capacity = new ConnectionCapacity(config);
        this.maxIdleSeconds = config.idleTimeout();
        this.counters = counters;
    }

    /** From here on at most so many may be open; those past the limit are evicted at once. */
    public void setMaxConnections(int connections) {
        maxConnections = connections;
        evictOverLimit();
    }

    /** Takes over a socket that was accepted; its reads go through the filter. */
    public void opened(StreamConnection socket, RequestFramingFilter filter) {
        ClientId id = new ClientId(nextId++);
        ids.put(socket, id);
        connections.put(id, new ClientConnection(socket, filter));
        capacity.opened(loop.now(), id);
        counters.countAccepted();
        evictOverLimit();
        scheduleSweep();
    }

    /** Bytes have come. */
    public void bytesReceived(StreamConnection socket) {
        ClientId id = ids.get(socket);
        if (id != null) {
            capacity.bytesReceived(loop.now(), id);
            connections.get(id).bytesReceived(loop.now());
        }
    }

    /** From here on Undertow owns the channel's callbacks, and tells when it closes. Called once. */
    public void trackClose(HttpServerConnection connection) {
        StreamConnection socket = connection.getChannel();
        connection.addCloseListener(closed -> forget(socket));
    }

    /** The connection is in this phase from now on. */
    public void phaseChanged(HttpServerConnection connection, ConnectionCapacity.Phase phase) {
        ClientId id = ids.get(connection.getChannel());
        if (id != null) {
            capacity.phaseChanged(loop.now(), id, phase);
            evictNotNeeded();
        }
    }

    /**
     * A request is open from here until {@link #responseCompleted}.
     *
     * @param bytesOut how many bytes of its response's body have been written
     */
    void requestBegan(HttpServerConnection connection, String requestId, LongSupplier bytesOut) {
        ClientConnection known = find(connection);
        if (known != null) {
            known.request = new RequestProgress(requestId, bytesOut, loop.now());
        }
    }

    /** Bytes of the response have been written. */
    void responseBytesSent(HttpServerConnection connection) {
        ifKnown(connection, known -> known.bytesSent(loop.now()));
    }

    /** The response to the open request is written, to its last byte. */
    void responseCompleted(HttpServerConnection connection) {
        ifKnown(connection, known -> known.request = null);
    }

    /** Closes the connection, also where a request is open on it. */
    void close(HttpServerConnection connection, RequestProgress.EndCause cause) {
        ifKnown(connection, known -> known.requestEndsBy(cause));
        IoUtils.safeClose(connection);
    }

    /** Whether no request is open on it and nothing of the next one has been read. */
    boolean awaitsRequest(StreamConnection socket) {
        ConnectionCapacity.Phase phase = capacity.phase(ids.get(socket));
        return phase == ConnectionCapacity.Phase.SILENT || phase == ConnectionCapacity.Phase.IDLE;
    }

    /** Closes a connection whose last response is written. */
    void closeAnswered(StreamConnection socket) {
        IoUtils.safeClose(socket);
        forget(socket);
    }

    /** Whether the last head that was read can be read in more than one way. */
    boolean hasAmbiguousHead(HttpServerConnection connection) {
        ClientConnection known = find(connection);
        return known != null && known.filter.isHeadAmbiguous();
    }

    /** The next request on it is handled from here on. */
    void nextRequestStarted(HttpServerConnection connection) {
        ifKnown(connection, known -> known.filter.nextRequestStarted());
    }

    /**
     * The earliest moment at which the request that is handled may have come: when its last byte was read, which for
     * one that was sent behind another is before that one's response, less what the loop was late by then.
     */
    double earliestArrival(HttpServerConnection connection) {
        ClientConnection known = find(connection);
        double completedAt = known == null ? Double.NaN : known.filter.completedAt();
        return Double.isNaN(completedAt) ? loop.earliestArrival() : completedAt;
    }

    /** Whether the client's end has come; in doubt, as when the connection is broken or closed, it has. */
    boolean hasEnded(HttpServerConnection connection) {
        ClientConnection known = find(connection);
        return known == null || known.hasEnded();
    }

    /** What comes from here on is no request: it is read up to its end and thrown away. */
    void stopParsing(HttpServerConnection connection) {
        ifKnown(connection, known -> known.filter.stopParsing());
    }

    /** Whether more requests wait for responses than there may be connections. */
    boolean isFullOfRequests() {
        return capacity.count(ConnectionCapacity.Phase.ASKED) > maxConnections;
    }

    int count() {
        forgetClosed();
        return capacity.count();
    }

    /** Closes connections that have been idle, or silent since they were accepted, for so long; at most so many. */
    void closeIdle(ConnectionCapacity.Cause cause, double minIdleSeconds, int maxClosed) {
        capacity.inactiveFor(loop.now(), minIdleSeconds).stream()
                .limit(maxClosed)
                .forEach(id -> evict(new ConnectionCapacity.Eviction(id, ConnectionCapacity.Phase.IDLE, cause)));
        forgetClosed();
    }

    private void ifKnown(HttpServerConnection connection, Consumer<ClientConnection> action) {
        ClientConnection known = find(connection);
        if (known != null) {
            action.accept(known);
        }
    }

    private ClientConnection find(HttpServerConnection connection) {
        ClientId id = ids.get(connection.getChannel());
        return id == null ? null : connections.get(id);
    }

    /** From here on no idle connection is closed for being surplus: its client may be unable to open another. */
    void keepSurplus() {
        isKeepingSurplus = true;
    }

    /** Without any limit reached: more are idle than were lately used at once. */
    private void evictNotNeeded() {
        if (isKeepingSurplus) {
            return;
        }
        evictAll(capacity::surplus);
    }

    /** Evicts what the rule names at the time, until it names none. */
    private void evictAll(DoubleFunction<ConnectionCapacity.Eviction> rule) {
        for (ConnectionCapacity.Eviction e = rule.apply(loop.now()); e != null; e = rule.apply(loop.now())) {
            evict(e);
        }
    }

    private void evictOverLimit() {
        if (capacity.count() <= maxConnections) {
            return;
        }
        forgetClosed();
        // Each is tried once: those with unread bytes stay, even where that leaves too many for a moment.
        for (int tries = capacity.count(); tries > 0 && capacity.count() > maxConnections; tries--) {
            ConnectionCapacity.Eviction eviction = capacity.overLimit(loop.now(), maxConnections);
            if (eviction == null) {
                return;
            }
            evict(eviction);
        }
    }

    /** Closes it, unless bytes lie unread in it: a request that has come would be lost with it. */
    private void evict(ConnectionCapacity.Eviction eviction) {
        ClientConnection connection = connections.get(eviction.id());
        StreamConnection socket = connection.socket;
        boolean isOverdue = eviction.cause() == ConnectionCapacity.Cause.TOO_LONG;
        boolean isUnreadingClient = isOverdue && eviction.phase() == ConnectionCapacity.Phase.ANSWERING;
        long lookedAt = System.nanoTime();
        if (!isUnreadingClient && connection.hasUnreadBytes()) {
            if (eviction.cause() != ConnectionCapacity.Cause.SHUTDOWN) {
                // In a shutdown the request counts as begun once it is read: it may go to another reader.
                capacity.phaseChanged(loop.now(), eviction.id(), ConnectionCapacity.Phase.SENDING);
            }
            socket.getSourceChannel().wakeupReads();
            return;
        }
        boolean wasOpen = socket.isOpen();
        SocketAddress client = socket.getPeerAddress();
        connection.requestEndsBy(RequestProgress.EndCause.EVICTED);
        // Next to the look: what comes between the two crosses the close.
        IoUtils.safeClose(socket);
        long closedAt = System.nanoTime();
        if (wasOpen) {
            log.debug(() -> ClientConnection.closedLine(client, eviction, lookedAt, closedAt));
        }
        // An idle connection that times out is no sign of trouble, so it is not counted.
        if (wasOpen && !(isOverdue && eviction.phase() == ConnectionCapacity.Phase.IDLE)) {
            counters.countEvicted(eviction);
        }
        forget(socket);
    }

    private void forget(StreamConnection socket) {
        ClientId id = ids.remove(socket);
        if (id != null) {
            ClientConnection connection = connections.remove(id);
            ConnectionCapacity.Phase phase = capacity.phase(id);
            capacity.closed(id);
            if (connection.request != null) {
                log.debug(() -> connection.request.line(phase, connection.filter.bytes(), loop.now()));
            }
        }
    }

    /** Finds the connections that closed unnoticed: Undertow's close listener is set with a connection's first head. */
    private void forgetClosed() {
        for (ClientId id : capacity.connectionsIn(
                ConnectionCapacity.Phase.SILENT, ConnectionCapacity.Phase.SENDING, ConnectionCapacity.Phase.IDLE)) {
            StreamConnection socket = connections.get(id).socket;
            if (!socket.isOpen()) {
                forget(socket);
            }
        }
    }

    /** One timer for all connections, and none while there are none. */
    private void scheduleSweep() {
        if (!isSweepScheduled && !ids.isEmpty()) {
            isSweepScheduled = true;
            loop.schedule(SWEEP_INTERVAL_SECONDS, this::sweep);
        }
    }

    private void sweep() {
        isSweepScheduled = false;
        forgetClosed();
        evictAll(capacity::overdue);
        for (ClientId id : capacity.inactiveFor(loop.now(), maxIdleSeconds)) {
            evict(new ConnectionCapacity.Eviction(
                    id, ConnectionCapacity.Phase.IDLE, ConnectionCapacity.Cause.TOO_LONG));
        }
        evictNotNeeded();
        scheduleSweep();
    }
}
