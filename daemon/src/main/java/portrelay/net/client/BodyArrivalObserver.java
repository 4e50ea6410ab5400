package portrelay.net.client;

import java.util.function.DoubleSupplier;
import portrelay.net.connection.RequestBody;

/**
 * Observes when the last byte of a streamed request body arrived, which may be long before it is read: while the
 * upstream accepts nothing, the rest of the body waits in the kernel. Compares the number of received bytes with the
 * length of the body; a chunked body has none, and its last byte may be the last one received so far. The result is
 * never later than the arrival, and earlier by at most the time between two observations.
 *
 * <p>Once the receive buffer is full, what the client writes waits in its own send buffer, and a request's time counts
 * from when its last byte is written there. An upstream that reads slowly would put the arrival off by the time that it
 * takes to read that buffer.
 */
final class BodyArrivalObserver implements RequestBody.ArrivalObserver {

    /** The largest send buffer that Linux gives a client by itself, in bytes. */
    private static final long MAX_SEND_BUFFER_BYTES = 4 * 1024 * 1024;

    private final DoubleSupplier clock;
    private final BodyReception reception;
    private final double beganAt;

    private long bytesReceived;
    /** The last observation before the number of received bytes grew. */
    private double grewAfter;

    private double observedAt;
    /** Whether received bytes were unread at the last observation. */
    private boolean wereBytesUnread;
    /** Since when the rest of the body may wait in the client's send buffer; NaN while it can't. */
    private double backedUpSince = Double.NaN;
    /** When the last byte arrived; NaN until that is certain. */
    private double arrivedAt = Double.NaN;

    /** @param beganAt the earliest time at which the head of the request may have arrived */
    BodyArrivalObserver(DoubleSupplier clock, BodyReception reception, double beganAt) {
        this.clock = clock;
        this.reception = reception;
        this.beganAt = beganAt;
        this.grewAfter = beganAt;
        this.observedAt = clock.getAsDouble();
        this.bytesReceived = reception.bytesRead() + Math.max(0, reception.bytesUnread());
    }

    @Override
    public double secondsToLastByte() {
        double earliest = Double.isNaN(arrivedAt) ? observe() : arrivedAt;
        return Math.max(0, earliest - beganAt);
    }

    /** Returns the earliest time at which the last byte may have arrived; infinite if it has not. */
    private double observe() {
        long unread = reception.bytesUnread();
        long received = reception.bytesRead() + Math.max(0, unread);
        if (received > bytesReceived) {
            bytesReceived = received;
            grewAfter = observedAt;
        }
        double earliest = Math.min(earliestArrival(unread), earliestWriteWhileBackedUp(unread));
        observedAt = clock.getAsDouble();
        wereBytesUnread = areBytesUnread(unread);
        return earliest;
    }

    private double earliestArrival(long unread) {
        double readAt = reception.completedAt();
        if (!Double.isNaN(readAt)) {
            arrivedAt = wereBytesUnread ? Math.min(grewAfter, readAt) : readAt;
            return arrivedAt;
        }
        if (!areBytesUnread(unread)) {
            return Double.POSITIVE_INFINITY;
        }
        long left = reception.bodyBytesLeft();
        if (left != BodyReception.UNKNOWN && left <= unread) {
            arrivedAt = grewAfter;
        }
        return grewAfter;
    }

    /**
     * Returns since when the client may have written its last byte into its send buffer; infinite if it can't have. One
     * observation does not suffice: a moment later the bytes may be read.
     */
    private double earliestWriteWhileBackedUp(long unread) {
        long left = reception.bodyBytesLeft();
        boolean mayRestBeBuffered = left == BodyReception.UNKNOWN || left - unread <= MAX_SEND_BUFFER_BYTES;
        if (!Double.isNaN(reception.completedAt()) || !mayRestBeBuffered || !reception.isBackedUp()) {
            backedUpSince = Double.NaN;
            return Double.POSITIVE_INFINITY;
        }
        if (Double.isNaN(backedUpSince)) {
            backedUpSince = observedAt;
            return Double.POSITIVE_INFINITY;
        }
        return backedUpSince;
    }

    private boolean areBytesUnread(long unread) {
        return unread == BodyReception.UNKNOWN ? !reception.isReading() : unread > 0;
    }
}
