package portrelay.net.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.xnio.conduits.StreamSourceConduit;
import portrelay.net.http.Framing;
import portrelay.net.http.ReadFilter;

/**
 * The lowest source conduit of a client connection. Passes bytes on up to the point where their framing is malformed;
 * reads after that fail with {@link MalformedFramingException}. Can peek at unread bytes, and records when each request
 * was complete.
 */
public final class RequestFramingFilter extends ReadFilter {

    /** Bytes read ahead by one peek: enough to see that something has arrived. */
    private static final int PEEK_BYTES = 512;

    /** Thrown when the framing of the received bytes is malformed; the client may still be connected. */
    static final class MalformedFramingException extends IOException {

        private static final long serialVersionUID = 1;

        MalformedFramingException() {
            super("malformed framing");
        }
    }

    private final Framing framing = Framing.ofRequests();
    private final Runnable bytesReceived;
    private final DoubleSupplier arrivalClock;
    /** When each request was complete: first the one being handled, then the pipelined ones. */
    private final Deque<Double> completionTimes = new ArrayDeque<>();
    /** Bytes read ahead by a peek; null if there are none. */
    private ByteBuffer peeked;

    /** Returns whether the request that begins now goes to another reader; null if requests are not intercepted. */
    private BooleanSupplier interceptor;
    /** Whether the present reader gets no more bytes. */
    private boolean isIntercepted;

    private boolean isParsing = true;
    private long bytesRead;
    private int requestsStarted;

    /**
     * @param bytesReceived called whenever bytes have been read
     * @param arrivalClock returns the earliest time at which bytes that are read now may have arrived, in seconds
     */
    public RequestFramingFilter(StreamSourceConduit next, Runnable bytesReceived, DoubleSupplier arrivalClock) {
        super(next);
        this.bytesReceived = bytesReceived;
        this.arrivalClock = arrivalClock;
    }

    /**
     * Whether bytes wait unread; those that this call reads are kept for the reader. A caller that keeps the connection
     * open must wake up its reader afterwards.
     */
    public boolean peek() throws IOException {
        readPeeked();
        return peeked != null;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        if (framing.isMalformed() && isParsing) {
            throw new MalformedFramingException();
        }
        if (isIntercepted()) {
            return 0;
        }
        int start = target.position();
        int count = peeked == null ? next.read(target) : takePeeked(target);
        bytesRead += Math.max(0, count);
        if (count <= 0 || !isParsing) {
            return count;
        }
        bytesReceived.run();
        int end = parse(target, start);
        target.position(end);
        if (end == start) {
            throw new MalformedFramingException();
        }
        return end - start;
    }

    @Override
    public void resumeReads() {
        next.resumeReads();
        if (peeked != null) {
            wakeReader();
        }
    }

    /**
     * Sets the interceptor, which is called at each read between two requests; once it returns true, reads return 0
     * bytes until {@link #stopIntercepting}.
     */
    void interceptRequests(BooleanSupplier interceptor) {
        this.interceptor = interceptor;
    }

    /** Removes the interceptor, so that reads return the received bytes again. */
    void stopIntercepting() {
        interceptor = null;
        isIntercepted = false;
    }

    private boolean isIntercepted() {
        if (!isIntercepted && interceptor != null && isBetweenMessages()) {
            isIntercepted = interceptor.getAsBoolean();
        }
        return isIntercepted;
    }

    /** Whether nothing has been read after the last complete request. */
    boolean isBetweenMessages() {
        return framing.isBetweenMessages();
    }

    /** Whether the read position is in the head of a request, or before it. */
    boolean isInHead() {
        return framing.isInHead();
    }

    /** Returns the number of requests that have been read completely. */
    int messageCount() {
        return framing.completeMessageCount();
    }

    /** Records that the next request is being handled; drops the completion time of the one before. */
    void nextRequestStarted() {
        if (requestsStarted > 0) {
            completionTimes.pollFirst();
        }
        requestsStarted++;
    }

    /** Returns when the last byte of the request being handled was read; NaN while it is incomplete. */
    double completedAt() {
        return completionTimes.isEmpty() ? Double.NaN : completionTimes.peekFirst();
    }

    /** Whether the next read would return the end of the stream. */
    boolean isAtEndOfStream() throws IOException {
        return readPeeked() < 0;
    }

    /** Returns the number of bytes that have been read. */
    long bytesRead() {
        return bytesRead;
    }

    /** Returns the number of bytes that were read ahead by a peek and are not yet taken. */
    int bytesPeeked() {
        return peeked == null ? 0 : peeked.remaining();
    }

    /** Returns the number of bytes of the current body that have not been read, or -1 if its length is not known. */
    long bodyBytesLeft() {
        return framing.bodyBytesLeft();
    }

    /** Passes all further bytes on unparsed; the reader discards them and waits for the end of the stream. */
    void stopParsing() {
        isParsing = false;
    }

    /** Whether the last head can be interpreted in more than one way, for example because of folded lines. */
    boolean isHeadAmbiguous() {
        return framing.isAmbiguous();
    }

    /** Parses the bytes put into the target from {@code start} on; returns the position at which they are malformed. */
    private int parse(ByteBuffer target, int start) {
        ByteBuffer unparsed = target.duplicate();
        unparsed.flip().position(start);
        int messagesBefore = framing.completeMessageCount();
        while (unparsed.hasRemaining() && !framing.isMalformed()) {
            framing.parse(unparsed);
        }
        for (int i = messagesBefore; i < framing.completeMessageCount(); i++) {
            completionTimes.addLast(arrivalClock.getAsDouble());
        }
        return unparsed.position();
    }

    private int readPeeked() throws IOException {
        if (peeked != null) {
            return peeked.remaining();
        }
        ByteBuffer buffer = ByteBuffer.allocate(PEEK_BYTES);
        int count = next.read(buffer);
        if (count > 0) {
            peeked = buffer.flip();
            wakeReader();
        }
        return count;
    }

    private int takePeeked(ByteBuffer target) {
        int count = Math.min(peeked.remaining(), target.remaining());
        target.put(peeked.slice().limit(count));
        peeked.position(peeked.position() + count);
        if (!peeked.hasRemaining()) {
            peeked = null;
        }
        return count;
    }

    /** Wakes up the reader for peeked bytes, as the kernel signals only bytes that it still holds. */
    private void wakeReader() {
        if (next.isReadResumed()) {
            next.wakeupReads();
        }
    }
}
