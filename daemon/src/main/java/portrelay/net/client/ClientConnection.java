package portrelay.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.xnio.StreamConnection;
import org.xnio.nio.ReceiveQueue;
import portrelay.admission.BufferBudget;
import portrelay.admission.ConnectionCapacity;

/** An open client connection, as tracked by {@link ClientConnections}. Used on the loop only. */
final class ClientConnection implements BodyReception {

    /**
     * The kernel lets a client send no more at a fraction of the receive buffer that depends on the sizes of its
     * packets; this is a lower bound.
     */
    private static final int BACKED_UP_DIVISOR = 4;

    /** A head is held as received, by line and as parsed; short fields take several times their length. */
    private static final int HEAD_MEMORY_FACTOR = 7;

    final StreamConnection socket;
    final RequestFramingFilter filter;
    final ConnectionBuffers buffers;
    /** The open request; null while there is none. */
    RequestProgress request;

    ClientConnection(StreamConnection socket, RequestFramingFilter filter, BufferBudget budget) {
        this.socket = socket;
        this.filter = filter;
        this.buffers = new ConnectionBuffers(budget);
    }

    /** Returns an estimate of the memory that the head being read takes, in bytes. */
    int headMemoryBytes() {
        return filter.headBytes() * HEAD_MEMORY_FACTOR;
    }

    /** Records why the open request ends; does nothing while no request is open. */
    void recordRequestEndCause(RequestProgress.EndCause cause) {
        if (request != null) {
            request.recordEndCause(cause);
        }
    }

    /** Records that bytes of the open request have been read; does nothing while no request is open. */
    void bytesReceived(double now) {
        if (request != null) {
            request.bytesReceived(now);
        }
    }

    /** Records that bytes of the open request's response have been written; does nothing while no request is open. */
    void bytesSent(double now) {
        if (request != null) {
            request.bytesSent(now);
        }
    }

    // ---- Reception of a streamed body -------------------------------------------------------------------

    @Override
    public long bytesRead() {
        return filter.bytesRead();
    }

    @Override
    public long bytesUnread() {
        int inKernel = ReceiveQueue.length(socket);
        return inKernel == ReceiveQueue.UNKNOWN ? UNKNOWN : filter.bytesPeeked() + inKernel;
    }

    @Override
    public long bodyBytesLeft() {
        return filter.bodyBytesLeft();
    }

    @Override
    public double completedAt() {
        return filter.completedAt();
    }

    @Override
    public boolean isReading() {
        return filter.isReadResumed();
    }

    @Override
    public boolean isBackedUp() {
        int capacity = ReceiveQueue.capacity(socket);
        return !isReading()
                && capacity != ReceiveQueue.UNKNOWN
                && ReceiveQueue.length(socket) >= capacity / BACKED_UP_DIVISOR;
    }

    // ---- Close ------------------------------------------------------------------------------------------

    /** Whether bytes from the client have arrived that are still unread; false when the connection is broken. */
    boolean hasUnreadBytes() {
        try {
            return socket.isOpen() && filter.peek();
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the client has closed its side; also true when the connection is broken. */
    boolean hasClientClosed() {
        try {
            return filter.isAtEndOfStream();
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * Returns the log line of a close. A request that arrives between the last check for unread bytes and the close is
     * lost, so the line gives the times of both.
     *
     * @param checkedNanos when that check began, by {@link System#nanoTime}
     * @param closedNanos when the close had returned, by the same clock
     */
    static String closeLogLine(
            SocketAddress client, ConnectionCapacity.Eviction eviction, long checkedNanos, long closedNanos) {
        int port = client instanceof InetSocketAddress internet ? internet.getPort() : 0;
        return "client connection closed: client=" + port + " phase=" + eviction.phase() + " cause=" + eviction.cause()
                + " looked-ns=" + checkedNanos + " closed-ns=" + closedNanos;
    }
}
