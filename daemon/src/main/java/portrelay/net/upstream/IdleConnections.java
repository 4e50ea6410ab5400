package portrelay.net.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import portrelay.net.connection.Connector;
import portrelay.net.connection.HttpConnection;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Mailbox;

/** The idle connections to one upstream, most recently used first. Closes each before the upstream would close it. */
final class IdleConnections {

    /**
     * How long a connection must be idle before it is reused. Guards against an upstream that answers a request twice,
     * some milliseconds apart: on a reused connection, the second response would be taken for that of the next request.
     */
    private static final double MIN_IDLE_SECONDS = 0.01;

    /** Sweeps in each timeout. An idle connection is closed late by at most the timeout divided by this number. */
    private static final int SWEEPS_PER_TIMEOUT = 4;

    /** Most upstreams of a long endpoint list never have a connection. */
    private static final int INITIAL_CAPACITY = 1;

    private record IdleConnection(HttpConnection connection, double idleSince) {}

    private final EventLoop loop;
    private final Mailbox mailbox;
    private final Connector connector;
    private final double timeoutSeconds;
    private final Deque<IdleConnection> newestFirst = new ArrayDeque<>(INITIAL_CAPACITY);
    private boolean isSweepScheduled;

    /** @param timeoutSeconds how long a connection may be idle before it is closed; 0 for no limit */
    IdleConnections(EventLoop loop, Mailbox mailbox, Connector connector, double timeoutSeconds) {
        this.loop = loop;
        this.mailbox = mailbox;
        this.connector = connector;
        this.timeoutSeconds = timeoutSeconds;
    }

    void add(HttpConnection connection) {
        connector.markIdle(connection);
        newestFirst.addFirst(new IdleConnection(connection, loop.now()));
        scheduleSweep();
    }

    /** Removes and returns the most recently used connection that can be written to now, or null if there is none. */
    HttpConnection poll() {
        for (HttpConnection newest = pollPastMinIdle(); newest != null; newest = pollPastMinIdle()) {
            connector.markInUse(newest);
            if (newest.verifyIdle()) {
                return newest;
            }
        }
        return null;
    }

    void remove(HttpConnection connection) {
        newestFirst.removeIf(idle -> idle.connection == connection);
    }

    void closeAll() {
        while (!newestFirst.isEmpty()) {
            newestFirst.pollLast().connection.close();
        }
    }

    /** Removes and returns the most recently used connection past the minimum idle time, or null if there is none. */
    private HttpConnection pollPastMinIdle() {
        for (Iterator<IdleConnection> iterator = newestFirst.iterator(); iterator.hasNext(); ) {
            IdleConnection idle = iterator.next();
            if (idle.idleSince + MIN_IDLE_SECONDS <= loop.now()) {
                iterator.remove();
                return idle.connection;
            }
        }
        return null;
    }

    private void scheduleSweep() {
        if (!isSweepScheduled && !newestFirst.isEmpty() && timeoutSeconds > 0) {
            isSweepScheduled = true;
            loop.schedule(timeoutSeconds / SWEEPS_PER_TIMEOUT, () -> mailbox.post(this::sweep));
        }
    }

    /**
     * Closes connections that have been idle for the timeout. Guards against a request that is sent while the upstream
     * closes the connection: the request may have been executed, and can't be retried.
     */
    private void sweep() {
        isSweepScheduled = false;
        while (!newestFirst.isEmpty() && newestFirst.peekLast().idleSince + timeoutSeconds <= loop.now()) {
            newestFirst.pollLast().connection.close();
        }
        scheduleSweep();
    }
}
