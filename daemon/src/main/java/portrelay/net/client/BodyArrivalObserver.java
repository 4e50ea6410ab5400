package portrelay.net.client;

import java.util.function.DoubleSupplier;
import portrelay.net.connection.RequestBody;

/**
 * Observes when the last byte of a streamed request body arrived, which may be long before it is read: while the
 * upstream accepts nothing, the rest of the body waits in the kernel. Compares the number of received bytes with the
 * length of the body; a chunked body has none, and its last byte may be the last one received so far. The result is
 * never later than the arrival, and earlier by at most the time between two observations.
 */
final class BodyArrivalObserver implements RequestBody.ArrivalObserver {

    private final DoubleSupplier clock;
    private final BodyReception reception;
    private final double beganAt;

    private long bytesReceived;
    /** The last observation before the number of received bytes grew. */
    private double grewAfter;

    private double observedAt;
    /** Whether received bytes were unread at the last observation. */
    private boolean wereBytesUnread;
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
        double earliest = earliestArrival(unread);
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

    private boolean areBytesUnread(long unread) {
        return unread == BodyReception.UNKNOWN ? !reception.isReading() : unread > 0;
    }
}
