package portrelay.net.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import org.xnio.StreamConnection;
import portrelay.admission.ConnectionCapacity;

/** One open connection of a client, as {@link ClientConnections} keeps it. Used on the loop only. */
final class ClientConnection {

    final StreamConnection socket;
    final RequestFramingFilter filter;
    /** Null while no request is open. */
    RequestProgress request;

    ClientConnection(StreamConnection socket, RequestFramingFilter filter) {
        this.socket = socket;
        this.filter = filter;
    }

    /** The open request, if there is one, ends for this reason. */
    void requestEndsBy(RequestProgress.EndCause cause) {
        if (request != null) {
            request.endsBy(cause);
        }
    }

    /** Bytes of the open request, if there is one, have been read. */
    void bytesReceived(double now) {
        if (request != null) {
            request.received(now);
        }
    }

    /** Bytes of its response have been written. */
    void bytesSent(double now) {
        if (request != null) {
            request.sent(now);
        }
    }

    /** Whether bytes of the client have come that nobody has read. */
    boolean hasUnreadBytes() {
        try {
            return socket.isOpen() && filter.peek();
        } catch (IOException e) {
            return false;
        }
    }

    /** Whether the client's end has come; in doubt, as when the connection is broken, it has. */
    boolean hasEnded() {
        try {
            return filter.isAtEnd();
        } catch (IOException e) {
            return true;
        }
    }

    /**
     * The line that the log has of a close. A request may cross the close from the last look for unread bytes on.
     *
     * @param lookedAt when that look began, by {@link System#nanoTime}
     * @param closedAt when the socket had been closed, by the same clock
     */
    static String closedLine(SocketAddress client, ConnectionCapacity.Eviction eviction, long lookedAt, long closedAt) {
        int port = client instanceof InetSocketAddress internet ? internet.getPort() : 0;
        return "client connection closed: client=" + port + " phase=" + eviction.phase() + " cause=" + eviction.cause()
                + " looked-ns=" + lookedAt + " closed-ns=" + closedAt;
    }
}
