package portrelay.net.client;

import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import portrelay.net.http.RequestHead;
import portrelay.net.http.RequestHeadReader;

/**
 * The requests that were received on one connection and are not over, in their order: the one being handled and those
 * that the client has pipelined. A position is a number of bytes from the beginning of the stream.
 */
final class ReceivedRequests {

    /** A boxed number and its place in a queue. */
    private static final int BYTES_PER_RECORD = 28;

    /** When each request was complete, in seconds: first the one being handled, then the pipelined ones. */
    private final Deque<Double> completionTimes = new ArrayDeque<>();
    /** The positions at which complete requests end that have not been passed on completely. */
    private final Deque<Long> unpassedEnds = new ArrayDeque<>();
    /** Reads the head of the request that is being passed on, or of the last that was. */
    private final RequestHeadReader headReader = new RequestHeadReader();

    /** Whether the next byte to pass on is the first of a request. */
    private boolean isRequestPassedOn;

    private boolean hasStarted;
    /** The position up to which bytes have been passed on to the reader. */
    private long passedOn;

    /** Records that a request was complete at a time, and where it ends. */
    void addEnd(double completedAt, long position) {
        completionTimes.addLast(completedAt);
        unpassedEnds.addLast(position);
    }

    /** Records that the next request is being handled; drops what is known of the one before. */
    void nextStarted() {
        if (hasStarted) {
            completionTimes.pollFirst();
        }
        hasStarted = true;
    }

    /**
     * Returns the head of the request that was passed on last, once; null if it can be interpreted in more than one
     * way.
     */
    RequestHead takeHead() {
        return headReader.takeHead();
    }

    /** Returns when the request being handled was complete, in seconds; NaN while it is not. */
    double completedAt() {
        return completionTimes.isEmpty() ? Double.NaN : completionTimes.peekFirst();
    }

    /** Returns the memory that the records of requests take besides the requests' own bytes, in bytes. */
    int memoryHeld() {
        return (completionTimes.size() + unpassedEnds.size()) * BYTES_PER_RECORD;
    }

    /** Returns the position up to which bytes have been passed on. */
    long passedOn() {
        return passedOn;
    }

    /** Returns the number of bytes to the end of the first request that is not passed on; unlimited if unknown. */
    long bytesToNextEnd() {
        return unpassedEnds.isEmpty() ? Long.MAX_VALUE : unpassedEnds.peekFirst() - passedOn;
    }

    /** Records that further bytes of one request were passed on, those between position and limit. */
    void bytesPassedOn(ByteBuffer bytes) {
        if (isRequestPassedOn && bytes.hasRemaining()) {
            isRequestPassedOn = false;
            headReader.startRequest();
        }
        headReader.read(bytes);
        bytesSkipped(bytes.remaining());
    }

    /** Records that further bytes were passed on whose heads are not needed, or were dropped. */
    void bytesSkipped(int count) {
        passedOn += count;
        while (!unpassedEnds.isEmpty() && unpassedEnds.peekFirst() <= passedOn) {
            unpassedEnds.removeFirst();
            isRequestPassedOn = true;
        }
    }
}
