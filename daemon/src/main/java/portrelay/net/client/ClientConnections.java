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
import portrelay.admission.BufferBudget;
import portrelay.admission.ClientId;
import portrelay.admission.ConnectionCapacity;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.net.client.ConnectionBuffers.Part;
import portrelay.net.connection.RequestBody;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.http.ReceiverTimeout;
import portrelay.net.http.RequestHead;

/**
 * Owns the clients' sockets: reports the phase of each connection to {@link ConnectionCapacity} and closes those that
 * it evicts. Each connection is registered once, in {@code opened}, and removed once, in {@code forget}. Every method
 * ignores a connection that is not registered, such as one that has closed meanwhile.
 */
public final class ClientConnections {

    /** Interval between checks for timeouts; a timeout may be noticed late by as much. */
    private static final double SWEEP_INTERVAL_SECONDS = 0.05;

    /** What has to be left of the budget for requests that clients send ahead; the rest is for open requests. */
    private static final int READ_AHEAD_RESERVE_BYTES = 2 * 1024 * 1024;

    private final EventLoop loop;
    private final Log log;
    private final ConnectionCapacity capacity;
    private final ConnectionCounters counters;
    private final BufferBudget budget;
    private final double maxIdleSeconds;
    private final Map<StreamConnection, ClientId> ids = new HashMap<>();
    private final Map<ClientId, ClientConnection> connections = new HashMap<>();
    private long nextId;
    private int maxConnections = Integer.MAX_VALUE;
    private boolean isSweepScheduled;
    /** Whether idle connections stay open although fewer were recently in use at the same time. */
    private boolean isKeepingSurplus;

    /**
     * @param budget the bytes that all connections may hold
     * @param counters receives the accepted and evicted connections
     */
    public ClientConnections(
            EventLoop loop,
            Log log,
            ConnectionCapacityConfig config,
            BufferBudget budget,
            ConnectionCounters counters) {
        this.budget = budget;
        this.loop = loop;
        this.log = log;
        this.capacity = new ConnectionCapacity(config);
        this.maxIdleSeconds = config.idleTimeout();
        this.counters = counters;
    }

    /** Sets the maximum number of open connections; those over the limit are evicted at once. */
    public void setMaxConnections(int connections) {
        maxConnections = connections;
        evictOverLimit();
    }

    /** Takes ownership of an accepted socket, whose reads go through the filter. */
    public void opened(StreamConnection socket, RequestFramingFilter filter) {
        ClientId id = new ClientId(nextId++);
        ids.put(socket, id);
        connections.put(id, new ClientConnection(socket, filter, budget));
        capacity.opened(loop.now(), id);
        counters.countAccepted();
        evictOverLimit();
        scheduleSweep();
    }

    /** Records that bytes have been read from the connection. */
    public void bytesReceived(StreamConnection socket) {
        ClientId id = ids.get(socket);
        if (id != null) {
            capacity.bytesReceived(loop.now(), id);
            ClientConnection client = connections.get(id);
            client.bytesReceived(loop.now());
            holdHead(client);
        }
    }

    /** Counts the memory of a head; closes the connection if the process may not hold it and no request is open. */
    private void holdHead(ClientConnection client) {
        int bytes = client.headMemoryBytes();
        if (bytes <= client.buffers.get(Part.HEAD)) {
            return;
        }
        boolean isHeld = hold(client, Part.HEAD, bytes);
        if (!isHeld && client.request == null && client.filter.isInHead()) {
            counters.countRejectedForMemory();
            log.debug(() -> "client connection closed: client=" + client.socket.getPeerAddress()
                    + " reason=no memory for a head bytes=" + bytes + " held=" + budget.heldBytes());
            IoUtils.safeClose(client.socket);
        }
    }

    /**
     * Asks to hold so many bytes for a part of the connection, and records them if that is allowed. Where the process
     * holds too many, connections that have not sent the end of a request make way first, the longest sending first.
     */
    boolean holdBuffer(HttpServerConnection connection, Part part, int bytes) {
        ClientConnection client = find(connection);
        return client != null && hold(client, part, bytes);
    }

    private boolean hold(ClientConnection client, Part part, int bytes) {
        for (int tries = capacity.count(ConnectionCapacity.Phase.SENDING);
                tries > 0 && !client.buffers.hasRoomFor(part, bytes);
                tries--) {
            ConnectionCapacity.Eviction eviction = capacity.longestSending();
            if (connections.get(eviction.id()) == client) {
                break;
            }
            evict(eviction);
        }
        boolean mayHold = client.buffers.hasRoomFor(part, bytes);
        if (mayHold) {
            client.buffers.set(part, bytes);
        }
        return mayHold;
    }

    /** Counts a request that is rejected because the process holds too many bytes. */
    void countRejectedForMemory() {
        counters.countRejectedForMemory();
    }

    /** Records how many bytes are held for a part of the connection, also beyond the limit. */
    void bufferHeld(HttpServerConnection connection, Part part, int bytes) {
        ifRegistered(connection, client -> client.buffers.set(part, bytes));
    }

    /** Records that the request and its response are no longer held. */
    void releaseBuffers(HttpServerConnection connection) {
        ifRegistered(connection, client -> {
            client.buffers.set(Part.HEAD, 0);
            client.buffers.set(Part.REQUEST_BODY, 0);
            client.buffers.set(Part.RESPONSE, 0);
            client.buffers.set(Part.PIPELINED, client.filter.memoryHeld());
        });
    }

    /** Whether requests that a client sends ahead may be held; otherwise they stay in the kernel. */
    boolean mayReadAhead() {
        return budget.hasRoomFor(READ_AHEAD_RESERVE_BYTES);
    }

    /**
     * Registers for the close of the connection with Undertow, which owns the channel's callbacks from the first head
     * on. Called once for each connection.
     */
    public void trackClose(HttpServerConnection connection) {
        StreamConnection socket = connection.getChannel();
        connection.addCloseListener(closed -> forget(socket));
    }

    /** Records that the connection has entered the phase. */
    public void phaseChanged(HttpServerConnection connection, ConnectionCapacity.Phase phase) {
        ClientId id = ids.get(connection.getChannel());
        if (id != null) {
            capacity.phaseChanged(loop.now(), id, phase);
            evictSurplus();
        }
    }

    /**
     * Records that the connection waits for its client to read a response.
     *
     * @param bytesWritten how many bytes of the response's body have been written
     */
    void awaitsReader(HttpServerConnection connection, long bytesWritten) {
        ClientId id = ids.get(connection.getChannel());
        if (id != null) {
            capacity.awaitsReader(loop.now(), id, ReceiverTimeout.seconds(bytesWritten));
        }
    }

    /**
     * Records that a request is open on the connection, until {@link #responseCompleted}.
     *
     * @param requestId the id that the client gave
     * @param bytesOut returns the number of bytes of the response's body that have been written
     */
    void requestBegan(HttpServerConnection connection, String requestId, LongSupplier bytesOut) {
        ClientConnection client = find(connection);
        if (client != null) {
            client.request = new RequestProgress(requestId, bytesOut, loop.now());
        }
    }

    /** Records that bytes of the response have been written. */
    void responseBytesSent(HttpServerConnection connection) {
        ifRegistered(connection, client -> client.bytesSent(loop.now()));
    }

    /** Records that the response to the open request has been written completely. */
    void responseCompleted(HttpServerConnection connection) {
        ifRegistered(connection, client -> client.request = null);
    }

    /** Closes the connection, even while a request is open on it. */
    void close(HttpServerConnection connection, RequestProgress.EndCause cause) {
        ifRegistered(connection, client -> client.recordRequestEndCause(cause));
        IoUtils.safeClose(connection);
    }

    /** Whether no request is open on the connection and nothing of the next one has been read. */
    boolean awaitsRequest(StreamConnection socket) {
        ConnectionCapacity.Phase phase = capacity.phase(ids.get(socket));
        return phase == ConnectionCapacity.Phase.SILENT || phase == ConnectionCapacity.Phase.IDLE;
    }

    /** Closes a connection whose last response has been written. */
    void closeAfterLastResponse(StreamConnection socket) {
        IoUtils.safeClose(socket);
        forget(socket);
    }

    /**
     * Returns the head of the request being handled on the connection, as the client sent it, once; null if the head
     * can be interpreted in more than one way, or the connection is closed.
     */
    RequestHead takeRequestHead(HttpServerConnection connection) {
        ClientConnection client = find(connection);
        return client == null ? null : client.filter.takeHead();
    }

    /** Records that the next request on the connection is being handled. */
    void nextRequestStarted(HttpServerConnection connection) {
        ifRegistered(connection, client -> {
            client.filter.nextRequestStarted();
            client.buffers.set(Part.PIPELINED, client.filter.memoryHeld());
        });
    }

    /**
     * Returns the earliest time at which the request being handled may have arrived: the time at which its last byte
     * was read, less the lag of the event loop at that time. The last byte of a pipelined request is read before the
     * response to the request before it is written.
     */
    double earliestArrival(HttpServerConnection connection) {
        ClientConnection client = find(connection);
        double completedAt = client == null ? Double.NaN : client.filter.completedAt();
        return Double.isNaN(completedAt) ? loop.earliestArrival() : completedAt;
    }

    /** Observes the arrival of the body of the request being handled; on a closed connection, no more of it arrives. */
    RequestBody.ArrivalObserver observeBody(HttpServerConnection connection) {
        ClientConnection client = find(connection);
        return client == null
                ? () -> Double.POSITIVE_INFINITY
                : new BodyArrivalObserver(loop::now, client, earliestArrival(connection));
    }

    /** Whether the client has closed its side; also true when the connection is broken or already closed. */
    boolean hasClientClosed(HttpServerConnection connection) {
        ClientConnection client = find(connection);
        return client == null || client.hasClientClosed();
    }

    /** Whether more requests wait for responses than connections are allowed. */
    boolean exceedsRequestCapacity() {
        return capacity.count(ConnectionCapacity.Phase.ASKED) > maxConnections;
    }

    /** Returns the number of open connections. */
    int count() {
        forgetClosed();
        return capacity.count();
    }

    /**
     * Closes connections that have been idle, or silent since they were accepted, for at least {@code minIdleSeconds};
     * at most {@code maxClosed} of them.
     */
    void closeIdle(ConnectionCapacity.Cause cause, double minIdleSeconds, int maxClosed) {
        capacity.inactiveFor(loop.now(), minIdleSeconds).stream()
                .limit(maxClosed)
                .forEach(id -> evict(new ConnectionCapacity.Eviction(id, ConnectionCapacity.Phase.IDLE, cause)));
        forgetClosed();
    }

    private void ifRegistered(HttpServerConnection connection, Consumer<ClientConnection> action) {
        ClientConnection client = find(connection);
        if (client != null) {
            action.accept(client);
        }
    }

    private ClientConnection find(HttpServerConnection connection) {
        ClientId id = ids.get(connection.getChannel());
        return id == null ? null : connections.get(id);
    }

    /** Stops closing idle connections as surplus, as their clients may be unable to open new ones. */
    void keepSurplusConnections() {
        isKeepingSurplus = true;
    }

    /** Evicts idle connections in excess of those recently in use at the same time, also below every limit. */
    private void evictSurplus() {
        if (isKeepingSurplus) {
            return;
        }
        evictAll(capacity::surplus);
    }

    /** Evicts the connections that the rule returns for the current time, until it returns null. */
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
        // Each is tried once: those with unread bytes stay open, even if that exceeds the limit for a moment.
        for (int tries = capacity.count(); tries > 0 && capacity.count() > maxConnections; tries--) {
            ConnectionCapacity.Eviction eviction = capacity.overLimit(loop.now(), maxConnections);
            if (eviction == null) {
                return;
            }
            evict(eviction);
        }
    }

    /**
     * Closes the connection unless it has unread bytes, as a request among them would be lost. A client that has not
     * read its response for too long is evicted even with unread bytes.
     */
    private void evict(ConnectionCapacity.Eviction eviction) {
        ClientConnection connection = connections.get(eviction.id());
        StreamConnection socket = connection.socket;
        boolean isOverdue = eviction.cause() == ConnectionCapacity.Cause.TOO_LONG;
        boolean isUnreadingClient = isOverdue && eviction.phase() == ConnectionCapacity.Phase.ANSWERING;
        long checkedNanos = System.nanoTime();
        if (!isUnreadingClient && connection.hasUnreadBytes()) {
            if (eviction.cause() != ConnectionCapacity.Cause.SHUTDOWN) {
                // In a shutdown the request begins only when it is read, as LateRequestConnection may take it over.
                capacity.phaseChanged(loop.now(), eviction.id(), ConnectionCapacity.Phase.SENDING);
            }
            socket.getSourceChannel().wakeupReads();
            return;
        }
        boolean wasOpen = socket.isOpen();
        SocketAddress client = socket.getPeerAddress();
        connection.recordRequestEndCause(RequestProgress.EndCause.EVICTED);
        // Directly after the check: a request that arrives between the two is lost with the connection.
        IoUtils.safeClose(socket);
        long closedNanos = System.nanoTime();
        if (wasOpen) {
            log.debug(() -> ClientConnection.closeLogLine(client, eviction, checkedNanos, closedNanos));
        }
        // The timeout of an idle connection does not indicate a problem, so it is not counted.
        if (wasOpen && !(isOverdue && eviction.phase() == ConnectionCapacity.Phase.IDLE)) {
            counters.countEvicted(eviction);
        }
        forget(socket);
    }

    private void forget(StreamConnection socket) {
        ClientId id = ids.remove(socket);
        if (id != null) {
            ClientConnection connection = connections.remove(id);
            connection.buffers.clear();
            ConnectionCapacity.Phase phase = capacity.phase(id);
            capacity.closed(id);
            if (connection.request != null) {
                log.debug(() -> connection.request.logLine(phase, connection.filter.bytesRead(), loop.now()));
            }
        }
    }

    /**
     * Removes the connections that closed unnoticed: Undertow's close listener is registered only with the first head
     * of a connection.
     */
    private void forgetClosed() {
        for (ClientId id : capacity.connectionsIn(
                ConnectionCapacity.Phase.SILENT, ConnectionCapacity.Phase.SENDING, ConnectionCapacity.Phase.IDLE)) {
            StreamConnection socket = connections.get(id).socket;
            if (!socket.isOpen()) {
                forget(socket);
            }
        }
    }

    /** Schedules the next sweep: one timer for all connections, and none while there is no connection. */
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
        evictSurplus();
        scheduleSweep();
    }
}
