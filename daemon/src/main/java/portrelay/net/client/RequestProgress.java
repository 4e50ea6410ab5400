package portrelay.net.client;

import java.util.Locale;
import java.util.function.LongSupplier;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.Log;

/**
 * State of a client connection while a request is open on it, for the debug log: a connection that ends before its
 * response is complete is logged with one line.
 */
final class RequestProgress {

    /** The cause of the connection's end, as far as this process knows. */
    enum EndCause {
        /** The client closed the connection, or it broke. */
        CLIENT_LEFT,
        /** The request's body ended too early or arrived too slowly. */
        BODY_BROKE_OFF,
        /** The response's body ended too early or arrived too slowly. */
        UPSTREAM_BROKE_OFF,
        /** The client stopped reading the response. */
        CLIENT_UNREADING,
        /** {@link ConnectionCapacity} selected the connection for eviction. */
        EVICTED,
        /** A time limit of {@link LingeringClose} was reached. */
        LINGER_OVER,
        /** None of these. */
        UNKNOWN
    }

    private final String requestId;
    /** Returns the number of bytes of the response's body that have been written. */
    private final LongSupplier bytesOut;

    private double lastReceivedAt;
    private double lastSentAt;
    private EndCause cause = EndCause.UNKNOWN;

    RequestProgress(String requestId, LongSupplier bytesOut, double now) {
        this.requestId = requestId;
        this.bytesOut = bytesOut;
        lastReceivedAt = now;
        lastSentAt = now;
    }

    void bytesReceived(double now) {
        lastReceivedAt = now;
    }

    void bytesSent(double now) {
        lastSentAt = now;
    }

    /** Records the cause of the end; only the first one counts, as later ones are its effects. */
    void recordEndCause(EndCause endCause) {
        if (cause == EndCause.UNKNOWN) {
            cause = endCause;
        }
    }

    /** Returns the log line; its times are seconds since the last byte in and out, or since the request began. */
    String logLine(ConnectionCapacity.Phase phase, long bytesIn, double now) {
        return String.format(
                Locale.ROOT,
                "client connection ended with a request open: request=%s phase=%s cause=%s"
                        + " since-in=%.3f since-out=%.3f bytes-in=%d bytes-out=%d",
                Log.clean(requestId),
                phase,
                cause,
                now - lastReceivedAt,
                now - lastSentAt,
                bytesIn,
                bytesOut.getAsLong());
    }
}
