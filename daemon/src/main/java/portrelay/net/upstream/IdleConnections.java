package portrelay.net.upstream;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;
import portrelay.net.connection.Connector;
import portrelay.net.connection.HttpConnection;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Mailbox;

/** The idle connections to one upstream, the newest first. Closes each before the upstream would. */
final class IdleConnections {

    /**
     * How long a connection is idle before it is used again. Guards against an upstream that answers a request twice,
     * some milliseconds apart: on a connection in use again, the second answer would go to the next request.
     */
    private static final double MIN_IDLE_SECONDS = 0.01;

    /** An idle connection is closed late by at most the timeout divided by this. */
    private static final int SWEEPS_PER_TIMEOUT = 4;

    private record Idle(HttpConnection connection, double since) {}

    private final EventLoop loop;
    private final Mailbox mailbox;
    private final Connector connector;
    private final double timeoutSeconds;
    private final Deque<Idle> newestFirst = new ArrayDeque<>();
    private boolean isSweepScheduled;

    /** @param timeoutSeconds after which an idle connection is closed; 0 for never */
    IdleConnections(EventLoop loop, Mailbox mailbox, Connector connector, double timeoutSeconds) {
        this.loop = loop;
        this.mailbox = mailbox;
        this.connector = connector;
        this.timeoutSeconds = timeoutSeconds;
    }

    void add(HttpConnection connection) {
        connector.markIdle(connection);
        newestFirst.addFirst(new Idle(connection, loop.now()));
        scheduleSweep();
    }

    /** The newest one that may be written to now; null where there is none. */
    HttpConnection poll() {
        for (HttpConnection newest = pollRested(); newest != null; newest = pollRested()) {
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

    /** The newest one that has been idle for long enough, no longer among these; null where there is none. */
    private HttpConnection pollRested() {
        for (Iterator<Idle> iterator = newestFirst.iterator(); iterator.hasNext(); ) {
            Idle idle = iterator.next();
            if (idle.since + MIN_IDLE_SECONDS <= loop.now()) {
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
     * Closes what has been idle for the timeout. Guards against a request that crosses the upstream's close: it may
     * have been executed, and can't be retried.
     */
    private void sweep() {
        isSweepScheduled = false;
        while (!newestFirst.isEmpty() && newestFirst.peekLast().since + timeoutSeconds <= loop.now()) {
            newestFirst.pollLast().connection.close();
        }
        scheduleSweep();
    }
}
