package portrelay.net.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.http.WireNames;
import portrelay.shutdown.Shutdown;

/**
 * Rejects the requests that are read too late in a shutdown to be forwarded, with bytes made beforehand and without
 * Undertow, {@link RequestDispatcher} or admission. Guards against a process that has little of a core left, and cold
 * code, and can't reject a crowd's requests by the kill: the usual way of a rejection costs many times as much.
 */
final class LateRequestRejecter {

    private static final String REJECTED = "HTTP/1.1 429 Too Many Requests\r\n";
    private static final String NOT_READY = "HTTP/1.1 503 Service Unavailable\r\n";
    private static final String MALFORMED = "HTTP/1.1 400 Bad Request\r\n";
    private static final String CLOSES = "Connection: close\r\n";
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String READINESS_REQUEST = "GET " + WireNames.READINESS_PATH + " ";
    private static final int READ_BYTES = 4 * 1024;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final Shutdown shutdown;
    private final byte[] rejection;
    private final byte[] lastRejection;
    private final byte[] notReady = (NOT_READY + CLOSES + NO_BODY).getBytes(ISO_8859_1);
    private final byte[] malformed = (MALFORMED + CLOSES + NO_BODY).getBytes(ISO_8859_1);
    /** Empty between the reads: one connection uses it after the other. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);

    private int rejectedCount;

    /** @param retryAfterSeconds what clients are told, 0 for no advice */
    LateRequestRejecter(EventLoop loop, ClientConnections connections, Shutdown shutdown, double retryAfterSeconds) {
        this.loop = loop;
        this.connections = connections;
        this.shutdown = shutdown;
        String retryAfter = retryAfterSeconds > 0
                ? "Retry-After: " + ClientResponder.retryAfterText(retryAfterSeconds) + "\r\n"
                : "";
        rejection = (REJECTED + retryAfter + NO_BODY).getBytes(ISO_8859_1);
        lastRejection = (REJECTED + CLOSES + retryAfter + NO_BODY).getBytes(ISO_8859_1);
    }

    /**
     * Called once for each connection, before anything is read on it. Takes it over at once where its first request
     * would come too late, else with the first request that does while none is open.
     *
     * @return whether it has taken the connection over
     */
    boolean watch(StreamConnection socket, RequestFramingFilter filter) {
        LateRequestConnection connection = new LateRequestConnection(loop, this, connections, socket, filter);
        if (isTooLate()) {
            connection.takeOver();
            return true;
        }
        filter.interceptRequests(() -> intercepts(connection));
        return false;
    }

    /** How many requests it has rejected. */
    int rejectedCount() {
        return rejectedCount;
    }

    /** The bytes that answer so many complete requests; the connection may end behind the last of them. */
    ByteBuffer responses(int count, boolean isLast) {
        ByteBuffer responses = ByteBuffer.allocate(count * lastRejection.length);
        for (int i = 1; i < count; i++) {
            responses.put(rejection);
        }
        rejectedCount += count;
        return responses.put(isLast ? lastRejection : rejection).flip();
    }

    ByteBuffer notReady() {
        return ByteBuffer.wrap(notReady);
    }

    /** Answers a malformed request and those before it that were complete. */
    ByteBuffer malformed(int completeBefore) {
        ByteBuffer before = completeBefore > 0 ? responses(completeBefore, false) : ByteBuffer.allocate(0);
        return ByteBuffer.allocate(before.remaining() + malformed.length)
                .put(before)
                .put(malformed)
                .flip();
    }

    /** For one read. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Whether the bytes, from the first byte of a message on, ask for readiness. */
    static boolean isReadinessRequest(ByteBuffer bytes) {
        if (bytes.remaining() < READINESS_REQUEST.length()) {
            return false;
        }
        for (int i = 0; i < READINESS_REQUEST.length(); i++) {
            if (bytes.get(bytes.position() + i) != READINESS_REQUEST.charAt(i)) {
                return false;
            }
        }
        return true;
    }

    private boolean isTooLate() {
        double now = loop.now();
        shutdown.loopLagMeasured(loop.lag().overdue(now));
        return !shutdown.mayForward(now);
    }

    /** Called within a read by Undertow, which sets its own listener behind it: taken over in a task of its own. */
    private boolean intercepts(LateRequestConnection connection) {
        if (!isTooLate() || !connection.awaitsRequest()) {
            return false;
        }
        loop.execute(connection::takeOver);
        return true;
    }
}
