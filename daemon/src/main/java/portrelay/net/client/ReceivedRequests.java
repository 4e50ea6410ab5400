package portrelay.net.client;

import java.util.ArrayDeque;
import java.util.Deque;
import portrelay.net.http.RequestHead;

/**
 * The requests that were received on one connection and are not over, in their order: the one being handled and those
 * that the client has pipelined. A position is a number of bytes from the beginning of the stream.
 */
final class ReceivedRequests {

    /** When each request was complete, in seconds: first the one being handled, then the pipelined ones. */
    private final Deque<Double> completionTimes = new ArrayDeque<>();
    /** The positions at which complete requests end that have not been passed on completely. */
    private final Deque<Long> unpassedEnds = new ArrayDeque<>();
    /** The heads of the requests that have not started. */
    private final Deque<RequestHead> unstartedHeads = new ArrayDeque<>();
    /** The number of characters in these heads. */
    private int unstartedHeadsSize;
    /** The head of the request being handled; null if its end was not recognized. */
    private RequestHead head;

    private boolean hasStarted;
    /** The position up to which bytes have been passed on to the reader. */
    private long passedOn;

    /** Records the complete head of the next request. */
    void addHead(RequestHead next) {
        unstartedHeads.addLast(next);
        unstartedHeadsSize += next.size();
    }

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
        head = unstartedHeads.pollFirst();
        unstartedHeadsSize -= head == null ? 0 : head.size();
    }

    /** Returns the head of the request being handled; null if its end was not recognized. */
    RequestHead head() {
        return head;
    }

    /** Returns when the request being handled was complete, in seconds; NaN while it is not. */
    double completedAt() {
        return completionTimes.isEmpty() ? Double.NaN : completionTimes.peekFirst();
    }

    /** Returns the number of characters that are held for requests that have not started. */
    int unstartedHeadsSize() {
        return unstartedHeadsSize;
    }

    /** Drops the heads of the requests that have not started. */
    void dropUnstartedHeads() {
        unstartedHeads.clear();
        unstartedHeadsSize = 0;
    }

    /** Returns the position up to which bytes have been passed on. */
    long passedOn() {
        return passedOn;
    }

    /** Returns the number of bytes to the end of the first request that is not passed on; unlimited if unknown. */
    long bytesToNextEnd() {
        return unpassedEnds.isEmpty() ? Long.MAX_VALUE : unpassedEnds.peekFirst() - passedOn;
    }

    /** Records that further bytes were passed on. */
    void bytesPassedOn(int count) {
        passedOn += count;
        while (!unpassedEnds.isEmpty() && unpassedEnds.peekFirst() <= passedOn) {
            unpassedEnds.removeFirst();
        }
    }
}
