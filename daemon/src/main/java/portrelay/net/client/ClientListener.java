package portrelay.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.Consumer;
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
 * Owner of the listening socket. Hands on each connection as it is accepted and, once the socket is closed, those that
 * the kernel still had in its queue; whoever gets a connection owns it.
 */
final class ClientListener {

    /** How many are accepted past the limit: for each, one of those that are open is evicted. */
    private static final int CONNECTIONS_OVER_LIMIT = 8;
    /** Handed on in one turn of the loop, so that timers and other connections have their turn between. */
    private static final int MAX_PER_TURN = 64;
    /** Handed on in a turn however long that takes. */
    private static final int MIN_PER_TURN = 8;
    /** Past the minimum a turn ends after so long: cold code, or little of a core, makes each connection dear. */
    private static final double MAX_TURN_SECONDS = 0.01;

    /** Length of the kernel's listen queue, in connections. */
    private static final int BACKLOG = 1024;
    /** After so many failed accepts the rest of the listen queue is given up. */
    private static final int MAX_ACCEPT_FAILURES = 64;

    private final Log log;
    private final Consumer<StreamConnection> accepted;
    private final Runnable freeDescriptors;
    private final EventLoop loop;
    /** Accepted as the socket was closed, and not handed on yet. */
    private final Queue<StreamConnection> pending = new ArrayDeque<>();
    /** Null before it listens. */
    private SharedListener listener;

    /** {@code freeDescriptors} is called where an accept fails, as for want of descriptors. */
    ClientListener(EventLoop loop, Log log, Consumer<StreamConnection> accepted, Runnable freeDescriptors) {
        this.loop = loop;
        this.log = log;
        this.accepted = accepted;
        this.freeDescriptors = freeDescriptors;
    }

    /**
     * Accepts connections at this address from here on.
     *
     * @param maxClients how many connections may be open; a few more are accepted, see {@link #CONNECTIONS_OVER_LIMIT}
     * @throws IOException where the address can't be bound
     */
    void listen(XnioWorker worker, InetSocketAddress at, int maxClients) throws IOException {
        listener = SharedListener.listen(
                worker,
                at,
                BACKLOG,
                this::acceptAvailable,
                OptionMap.builder()
                        .set(Options.TCP_NODELAY, true)
                        .set(Options.CONNECTION_HIGH_WATER, maxClients + CONNECTIONS_OVER_LIMIT)
                        .set(Options.CONNECTION_LOW_WATER, maxClients + CONNECTIONS_OVER_LIMIT - 1)
                        .getMap());
        listener.socket().resumeAccepts();
    }

    /** Runs the code that closes a listener once, on another one: the first time takes milliseconds. */
    void warmUpClose(XnioWorker worker) {
        try {
            SharedListener.warmUp(worker);
        } catch (IOException e) {
            log.warn("closing a listener is not warmed up: cause=" + e.getMessage());
        }
    }

    /** Whether {@link #listen} has succeeded; also after {@link #close}. */
    boolean hasListened() {
        return listener != null;
    }

    InetSocketAddress address() {
        return listener.socket().getLocalAddress(InetSocketAddress.class);
    }

    private void acceptAvailable(AcceptingChannel<StreamConnection> from) {
        try {
            double startedAt = loop.now();
            StreamConnection client = from.accept();
            for (int count = 1; client != null; count++) {
                accepted.accept(client);
                client = isTurnOver(count, startedAt) ? null : from.accept();
            }
        } catch (IOException e) {
            logFailure(e);
        }
    }

    /**
     * No new connections from here on. Those that the kernel has queued are accepted first: closed with the socket they
     * would be reset, although the kernel may have acknowledged their requests. What comes between the last accept and
     * the close is reset, so nothing else is done between the two.
     */
    void close() {
        if (listener == null || !listener.socket().isOpen()) {
            return;
        }
        try {
            listener.socket().setOption(Options.CONNECTION_HIGH_WATER, Integer.MAX_VALUE);
        } catch (IOException | IllegalArgumentException e) {
            log.warn("listener keeps its connection limit: cause=" + e.getMessage());
        }
        listener.stopPolling();
        acceptQueued();
        listener.close();
        handOnPending();
    }

    /** As {@link #close}; closes the connections that it has not handed on. */
    void closeNow() {
        close();
        pending.forEach(IoUtils::safeClose);
        pending.clear();
    }

    /** How many connections it has accepted and not handed on. */
    int pendingCount() {
        return pending.size();
    }

    /** In turns: handling all of a long queue at once would hold up every timer of the shutdown. */
    private void handOnPending() {
        double startedAt = loop.now();
        for (int count = 0; !isTurnOver(count, startedAt) && !pending.isEmpty(); count++) {
            accepted.accept(pending.remove());
        }
        if (!pending.isEmpty()) {
            loop.afterPoll(this::handOnPending);
        }
    }

    private boolean isTurnOver(int handedOn, double startedAt) {
        return handedOn >= MAX_PER_TURN || handedOn >= MIN_PER_TURN && loop.now() > startedAt + MAX_TURN_SECONDS;
    }

    /**
     * Goes on after a failure: a connection that broke in the queue, or a lack of descriptors, must not cost the rest.
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
