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
 * The lowest conduit of a client's connection: lets bytes through up to where their framing is malformed; from there on
 * reading fails with {@link MalformedFramingException}. Can look ahead, and notes when each request was complete.
 */
public final class RequestFramingFilter extends ReadFilter {

    /** Read ahead by one look: enough to see that something is there. */
    private static final int PEEK_BYTES = 512;

    /** The framing of what a client sent is malformed; the client itself may well be there. */
    static final class MalformedFramingException extends IOException {

        private static final long serialVersionUID = 1;

        MalformedFramingException() {
            super("malformed framing");
        }
    }

    private final Framing framing = Framing.ofRequests();
    private final Runnable bytesReceived;
    private final DoubleSupplier clock;
    /** When each request was complete: the one that is handled first, then those sent behind it. */
    private final Deque<Double> completedAt = new ArrayDeque<>();
    /** What was read ahead by a look; null where there is nothing. */
    private ByteBuffer peeked;

    /** Whether the request that begins now goes to another reader; null where none is intercepted. */
    private BooleanSupplier interceptor;
    /** Nothing is given to the present reader any more. */
    private boolean isIntercepted;

    private boolean isParsing = true;
    private long bytes;
    private int requestsStarted;

    /**
     * @param bytesReceived called whenever bytes have come
     * @param clock the earliest moment at which bytes that are read now may have come, in seconds
     */
    public RequestFramingFilter(StreamSourceConduit next, Runnable bytesReceived, DoubleSupplier clock) {
        super(next);
        this.bytesReceived = bytesReceived;
        this.clock = clock;
    }

    /**
     * Whether bytes wait unread; what is read to find out is kept for the reader. Whoever goes on with the connection
     * after this has to wake its reader up.
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
        bytes += Math.max(0, count);
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
     * Asks the interceptor at each read between two requests; once it says yes, reads return nothing until
     * {@link #stopIntercepting}.
     */
    void interceptRequests(BooleanSupplier interceptor) {
        this.interceptor = interceptor;
    }

    /** Reads return what has come. */
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

    /** Whether nothing has been read behind the last complete request. */
    boolean isBetweenMessages() {
        return framing.isBetweenMessages();
    }

    /** Whether it stands in the head of a request, or before it. */
    boolean isInHead() {
        return framing.isInHead();
    }

    /** How many requests have been read completely. */
    int messages() {
        return framing.messages();
    }

    /** The next request on this connection is handled from here on; the moment of the one before is dropped. */
    void nextRequestStarted() {
        if (requestsStarted > 0) {
            completedAt.pollFirst();
        }
        requestsStarted++;
    }

    /** When the last byte of the request that is handled was read; NaN while it is incomplete. */
    double completedAt() {
        return completedAt.isEmpty() ? Double.NaN : completedAt.peekFirst();
    }

    /** Whether the client's end is the next that would be read. */
    boolean isAtEnd() throws IOException {
        return readPeeked() < 0;
    }

    /** How many bytes have been read. */
    long bytes() {
        return bytes;
    }

    /** From here on everything is let through: whoever reads it throws it away and waits for the end. */
    void stopParsing() {
        isParsing = false;
    }

    /** Whether the last head can be understood in more than one way, as with folded lines. */
    boolean isHeadAmbiguous() {
        return framing.isAmbiguous();
    }

    /** Follows what was put into the target from there on; returns where it stops being well-formed. */
    private int parse(ByteBuffer target, int start) {
        ByteBuffer unparsed = target.duplicate();
        unparsed.flip().position(start);
        int messagesBefore = framing.messages();
        while (unparsed.hasRemaining() && !framing.isMalformed()) {
            framing.follow(unparsed);
        }
        for (int i = messagesBefore; i < framing.messages(); i++) {
            completedAt.addLast(clock.getAsDouble());
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

    /** The kernel signals only bytes that it still has; for those that were peeked the reader is woken up here. */
    private void wakeReader() {
        if (next.isReadResumed()) {
            next.wakeupReads();
        }
    }
}
