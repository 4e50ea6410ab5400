package portrelay.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import org.xnio.nio.SharedListener;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;

/**
 * Owns the listening socket. Delivers each connection as it is accepted and, once the socket is closed, those that were
 * still in the kernel's queue; the receiver owns the connection.
 */
final class ClientListener {

    /** Receives accepted connections. */
    interface Receiver {

        /**
         * Called for each connection, on the loop.
         *
         * @param arrivedAfter the earliest time at which the connection, and data on it, may have arrived
         */
        void accepted(StreamConnection connection, double arrivedAfter);
    }

    /** Number of connections accepted above the limit; for each, one of the open connections is evicted. */
    private static final int CONNECTIONS_OVER_LIMIT = 8;
    /** Maximum number delivered in one turn of the loop, so that timers and other connections run in between. */
    private static final int MAX_DELIVERIES_PER_TURN = 64;
    /** Number delivered in a turn regardless of how long that takes. */
    private static final int MIN_DELIVERIES_PER_TURN = 8;
    /** Above the minimum, a turn ends after this time: with cold code or little CPU each connection takes long. */
    private static final double MAX_TURN_SECONDS = 0.01;

    /** Length of the kernel's listen queue, in connections. */
    private static final int BACKLOG = 1024;
    /** Number of failed accepts after which the rest of the listen queue is abandoned. */
    private static final int MAX_ACCEPT_FAILURES = 64;

    private final Log log;
    private final Receiver receiver;
    private final Runnable freeDescriptors;
    private final EventLoop loop;
    /** Connections accepted when the socket was closed and not delivered yet. */
    private final Queue<StreamConnection> pending = new ArrayDeque<>();
    /**
     * The earliest time at which a connection that the last turn left in the kernel's queue may have arrived; NaN if it
     * left none.
     */
    private double queuedSince = Double.NaN;
    /** Null before {@link #listen}. */
    private SharedListener listener;

    /**
     * @param receiver receives each accepted connection
     * @param freeDescriptors called when an accept fails, for example for lack of file descriptors
     */
    ClientListener(EventLoop loop, Log log, Receiver receiver, Runnable freeDescriptors) {
        this.loop = loop;
        this.log = log;
        this.receiver = receiver;
        this.freeDescriptors = freeDescriptors;
    }

    /**
     * Starts accepting connections at this address.
     *
     * @param maxClients maximum number of open connections; {@link #CONNECTIONS_OVER_LIMIT} more are accepted
     * @throws IOException if the address can't be bound
     */
    void listen(XnioWorker worker, InetSocketAddress address, int maxClients) throws IOException {
        listener = SharedListener.listen(
                worker,
                address,
                BACKLOG,
                this::acceptAvailable,
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.CONNECTION_HIGH_WATER, maxClients + CONNECTIONS_OVER_LIMIT)
                        .set(Options.CONNECTION_LOW_WATER, maxClients + CONNECTIONS_OVER_LIMIT - 1)
                        .getMap());
        listener.socket().resumeAccepts();
    }

    /** Runs the code that closes a listener once, on a separate one, as its first run takes milliseconds. */
    void warmUpClose(XnioWorker worker) {
        try {
            SharedListener.warmUp(worker);
        } catch (IOException e) {
            log.warn("close of the listener could not be warmed up: cause=" + e.getMessage());
        }
    }

    /** Whether {@link #listen} has succeeded; also after {@link #close}. */
    boolean hasListened() {
        return listener != null;
    }

    InetSocketAddress address() {
        return listener.socket().getLocalAddress(InetSocketAddress.class);
    }

    private void acceptAvailable(AcceptingChannel<StreamConnection> channel) {
        try {
            double startedAt = loop.now();
            double arrivedAfter = earliestArrivalOfQueued();
            StreamConnection client = channel.accept();
            queuedSince = Double.NaN;
            for (int count = 1; client != null; count++) {
                receiver.accepted(client, arrivedAfter);
                if (isTurnOver(count, startedAt)) {
                    queuedSince = arrivedAfter;
                    return;
                }
                client = channel.accept();
            }
        } catch (IOException e) {
            logFailure(e);
        }
    }

    /** Returns the earliest time at which a connection in the kernel's queue may have arrived. */
    private double earliestArrivalOfQueued() {
        return Double.isNaN(queuedSince) ? loop.earliestArrival() : queuedSince;
    }

    /**
     * Stops accepting new connections. Those in the kernel's queue are accepted first: closing the socket would reset
     * them, although the kernel may have acknowledged their requests. A connection that arrives between the last accept
     * and the close is reset, so nothing else is done between the two.
     */
    void close() {
        if (listener == null || !listener.socket().isOpen()) {
            return;
        }
        try {
            listener.socket().setOption(Options.CONNECTION_HIGH_WATER, Integer.MAX_VALUE);
        } catch (IOException | IllegalArgumentException e) {
            log.warn("connection limit of the listener could not be lifted for its close: cause=" + e.getMessage());
        }
        listener.stopPolling();
        queuedSince = earliestArrivalOfQueued();
        acceptQueued();
        listener.close();
        deliverPending();
    }

    /** As {@link #close}, but also closes the connections that have not been delivered. */
    void closeNow() {
        close();
        pending.forEach(IoUtils::safeClose);
        pending.clear();
    }

    /** Returns the number of connections accepted but not delivered. */
    int pendingCount() {
        return pending.size();
    }

    /** Delivers in several turns: handling a long queue at once would delay every timer of the shutdown. */
    private void deliverPending() {
        double startedAt = loop.now();
        for (int count = 0; !isTurnOver(count, startedAt) && !pending.isEmpty(); count++) {
            receiver.accepted(pending.remove(), queuedSince);
        }
        if (!pending.isEmpty()) {
            loop.afterPoll(this::deliverPending);
        }
    }

    private boolean isTurnOver(int deliveredCount, double startedAt) {
        return deliveredCount >= MAX_DELIVERIES_PER_TURN
                || deliveredCount >= MIN_DELIVERIES_PER_TURN && loop.now() > startedAt + MAX_TURN_SECONDS;
    }

    /**
     * Accepts the connections in the kernel's queue. Continues after a failure: a connection that broke in the queue,
     * or a lack of file descriptors, must not cost the other connections.
     */
    private void acceptQueued() {
        int failures = 0;
        for (int count = 0; count <= BACKLOG && failures < MAX_ACCEPT_FAILURES; count++) {
            try {
                StreamConnection client = listener.socket().accept();
                if (client == null) {
                    return;
                }
                pending.add(client);
            } catch (IOException e) {
                failures++;
                logFailure(e);
                freeDescriptors.run();
            }
        }
    }

    private void logFailure(IOException cause) {
        log.warn("client connection not accepted: cause=" + cause.getMessage());
    }
}
