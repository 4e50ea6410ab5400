package portrelay.net.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.http.WireNames;
import portrelay.shutdown.Shutdown;

/**
 * Rejects requests that are read too late in a shutdown to be forwarded, with responses encoded in advance and without
 * Undertow, {@link RequestDispatcher} or admission. Guards against a process with little CPU left and cold code that
 * can't reject the requests of many clients before it is killed: an ordinary rejection costs many times as much.
 */
final class LateRequestRejecter {

    private static final String REJECTED_STATUS_LINE = "HTTP/1.1 429 Too Many Requests\r\n";
    private static final String NOT_READY_STATUS_LINE = "HTTP/1.1 503 Service Unavailable\r\n";
    private static final String MALFORMED_STATUS_LINE = "HTTP/1.1 400 Bad Request\r\n";
    private static final String CONNECTION_CLOSE = "Connection: close\r\n";
    private static final String NO_BODY = "Content-Length: 0\r\n\r\n";
    private static final String READINESS_REQUEST = "GET " + WireNames.READINESS_PATH + " ";
    private static final int READ_BYTES = 4 * 1024;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final Shutdown shutdown;
    private final byte[] rejection;
    private final byte[] lastRejection;
    private final byte[] notReady = (NOT_READY_STATUS_LINE + CONNECTION_CLOSE + NO_BODY).getBytes(ISO_8859_1);
    private final byte[] malformed = (MALFORMED_STATUS_LINE + CONNECTION_CLOSE + NO_BODY).getBytes(ISO_8859_1);
    /** Shared by all connections, one read at a time; holds nothing between reads. */
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);

    private int rejectedCount;

    /** @param retryAfterSeconds the Retry-After sent to clients, 0 for none */
    LateRequestRejecter(EventLoop loop, ClientConnections connections, Shutdown shutdown, double retryAfterSeconds) {
        this.loop = loop;
        this.connections = connections;
        this.shutdown = shutdown;
        String retryAfter = retryAfterSeconds > 0
                ? "Retry-After: " + ClientResponder.retryAfterText(retryAfterSeconds) + "\r\n"
                : "";
        rejection = (REJECTED_STATUS_LINE + retryAfter + NO_BODY).getBytes(ISO_8859_1);
        lastRejection = (REJECTED_STATUS_LINE + CONNECTION_CLOSE + retryAfter + NO_BODY).getBytes(ISO_8859_1);
    }

    /**
     * Starts to intercept late requests on a connection; called once for each, before anything is read on it. Takes the
     * connection over at once if its first request would already be too late, else with the first late request that
     * arrives while none is open.
     *
     * @return whether the connection has been taken over
     */
    boolean interceptLateRequests(StreamConnection socket, RequestFramingFilter filter) {
        LateRequestConnection connection = new LateRequestConnection(loop, this, connections, socket, filter);
        if (isTooLate()) {
            connection.takeOver();
            return true;
        }
        filter.interceptRequests(() -> interceptIfTooLate(connection));
        return false;
    }

    /** Returns the number of requests rejected here. */
    int rejectedCount() {
        return rejectedCount;
    }

    /**
     * Returns the encoded responses that reject {@code count} complete requests, and counts these.
     *
     * @param isLast whether the connection ends after the last of them
     */
    ByteBuffer rejections(int count, boolean isLast) {
        ByteBuffer responses = ByteBuffer.allocate(count * lastRejection.length);
        for (int i = 1; i < count; i++) {
            responses.put(rejection);
        }
        rejectedCount += count;
        return responses.put(isLast ? lastRejection : rejection).flip();
    }

    /** Returns the encoded response to a readiness request; it ends the connection. */
    ByteBuffer notReadyResponse() {
        return ByteBuffer.wrap(notReady);
    }

    /** Returns the encoded responses to a malformed request and to the complete requests before it. */
    ByteBuffer malformedResponses(int completeRequestsBefore) {
        ByteBuffer before =
                completeRequestsBefore > 0 ? rejections(completeRequestsBefore, false) : ByteBuffer.allocate(0);
        return ByteBuffer.allocate(before.remaining() + malformed.length)
                .put(before)
                .put(malformed)
                .flip();
    }

    /** Returns the empty buffer for one read; its contents are valid only until the next one. */
    ByteBuffer readBuffer() {
        return readBuffer.clear();
    }

    /** Whether the bytes, which begin with the first byte of a message, are a readiness request. */
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

    /**
     * Called within a read by Undertow, which sets its own read listener afterwards; the takeover therefore runs in a
     * separate task.
     */
    private boolean interceptIfTooLate(LateRequestConnection connection) {
        if (!isTooLate() || !connection.awaitsRequest()) {
            return false;
        }
        loop.execute(connection::takeOver);
        return true;
    }
}
