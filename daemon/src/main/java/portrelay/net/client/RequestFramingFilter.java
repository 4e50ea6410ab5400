package portrelay.net.client;

import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.Executor;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.xnio.conduits.StreamSourceConduit;
import portrelay.net.http.Framing;
import portrelay.net.http.ReadFilter;
import portrelay.net.http.RequestHead;

/**
 * The lowest source conduit of a client connection. Passes bytes on up to the point where their framing is malformed;
 * reads after that fail with {@link MalformedFramingException}. Can peek at unread bytes, and records when each request
 * was complete.
 *
 * <p>No read passes the end of a request: what a client has pipelined is held here, and its reader is woken up for the
 * next request only once the events of other connections have been handled. A reader that had several requests in its
 * own buffer would handle them without a poll in between, for as long as the client sends.
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
    /** Runs a task once the events of other connections have been handled. */
    private final Executor nextTurn;
    /** Has no heads of requests that were passed on after {@link #passPipelined}. */
    private final ReceivedRequests requests = new ReceivedRequests();
    /** Bytes read ahead by a peek; null if there are none. */
    private ByteBuffer peeked;

    /** Parsed bytes that have not been passed on. */
    private final HeldBytes held = new HeldBytes();
    /** Whether a read stops at the end of a request. */
    private boolean isPassingSingly = true;
    /** Whether the reader will be woken up in the next turn. */
    private boolean isWakeUpPending;

    /** Returns whether the request that begins now goes to another reader; null if requests are not intercepted. */
    private BooleanSupplier interceptor;
    /** Whether the present reader gets no more bytes. */
    private boolean isIntercepted;

    private boolean isParsing = true;
    private long bytesRead;

    /**
     * @param bytesReceived called whenever bytes have been read
     * @param arrivalClock returns the earliest time at which bytes that are read now may have arrived, in seconds
     * @param nextTurn runs a task once the events of other connections have been handled
     */
    public RequestFramingFilter(
            StreamSourceConduit next, Runnable bytesReceived, DoubleSupplier arrivalClock, Executor nextTurn) {
        super(next);
        this.bytesReceived = bytesReceived;
        this.arrivalClock = arrivalClock;
        this.nextTurn = nextTurn;
    }

    /** Returns the filter of a connection that Undertow reads. */
    static RequestFramingFilter of(HttpServerConnection connection) {
        return (RequestFramingFilter) connection.getOriginalSourceConduit();
    }

    /**
     * Whether bytes wait unread; those that this call reads are kept for the reader. A caller that keeps the connection
     * open must wake up its reader afterwards.
     */
    public boolean peek() throws IOException {
        if (!held.isEmpty()) {
            wakeReader();
            return true;
        }
        readPeeked();
        return peeked != null;
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int start = target.position();
        int count = readHeldOrReceive(target);
        if (count > 0 && isPassingSingly) {
            requests.bytesPassedOn(target.duplicate().flip().position(start));
        } else if (count > 0) {
            requests.bytesSkipped(count);
        }
        return count;
    }

    private int readHeldOrReceive(ByteBuffer target) throws IOException {
        if (!held.isEmpty()) {
            return held.take(target, maxPassedOn());
        }
        if (isIntercepted()) {
            return 0;
        }
        int start = target.position();
        int count = receive(target);
        if (count <= maxPassedOn()) {
            return count;
        }
        int end = start + (int) maxPassedOn();
        held.add(target.duplicate().flip().position(end));
        target.position(end);
        return end - start;
    }

    /**
     * Receives bytes that are held until they are read; drops them after {@link #stopParsing}.
     *
     * @param buffer used for the read; its contents are undefined afterwards
     * @return the number of bytes, 0 if there are none now, or -1 at the end of the stream
     */
    int receiveAhead(ByteBuffer buffer) throws IOException {
        int count = receive(buffer.clear());
        if (count > 0 && isParsing) {
            held.add(buffer.flip());
        }
        return count;
    }

    /** Reads and parses bytes; moves the target's position past those that are well-formed. */
    private int receive(ByteBuffer target) throws IOException {
        if (framing.isMalformed() && isParsing) {
            throw new MalformedFramingException();
        }
        int start = target.position();
        int count = peeked == null ? next.read(target) : takePeeked(target);
        if (count <= 0) {
            return count;
        }
        long position = requests.passedOn() + held.size();
        bytesRead += count;
        if (!isParsing) {
            return count;
        }
        int end = parse(target, start, position);
        target.position(end);
        bytesReceived.run();
        if (end == start) {
            throw new MalformedFramingException();
        }
        return end - start;
    }

    /** Returns how many bytes one read may pass on. */
    private long maxPassedOn() {
        return isPassingSingly ? requests.bytesToNextEnd() : Long.MAX_VALUE;
    }

    @Override
    public void resumeReads() {
        next.resumeReads();
        if (peeked != null || !held.isEmpty()) {
            wakeReader();
        }
    }

    /** Lets each read pass on all bytes that are available, for a reader that handles several requests at once. */
    void passPipelined() {
        isPassingSingly = false;
    }

    /** Whether bytes of a further request have been received and not passed on. */
    boolean holdsBytes() {
        return !held.isEmpty();
    }

    /** Returns the number of bytes that have been received and not passed on. */
    int bytesHeld() {
        return held.size();
    }

    /** Returns the memory that is held for requests that the client has pipelined, in bytes. */
    int memoryHeld() {
        return held.memoryHeld() + requests.memoryHeld();
    }

    /** Drops the bytes that have been received and not passed on. */
    void discardHeld() {
        requests.bytesSkipped(held.clear());
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

    /** Returns the number of bytes of the last head that have been received. */
    int headBytes() {
        return framing.headBytes();
    }

    /** Returns the number of requests that have been read completely. */
    int messageCount() {
        return framing.completeMessageCount();
    }

    /** Records that the next request is being handled; drops the completion time of the one before. */
    void nextRequestStarted() {
        requests.nextStarted();
    }

    /**
     * Returns the head of the request being handled, as the client sent it, once; null if it can be interpreted in more
     * than one way.
     */
    RequestHead takeHead() {
        return requests.takeHead();
    }

    /** Returns when the last byte of the request being handled was read; NaN while it is incomplete. */
    double completedAt() {
        return requests.completedAt();
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

    /**
     * Parses the bytes put into the target from {@code start} on; returns the position at which they are malformed.
     *
     * @param streamPosition the position of the first of these bytes in the stream
     */
    private int parse(ByteBuffer target, int start, long streamPosition) {
        ByteBuffer unparsed = target.duplicate();
        unparsed.flip().position(start);
        while (unparsed.hasRemaining() && !framing.isMalformed()) {
            int messagesBefore = framing.completeMessageCount();
            framing.parse(unparsed);
            if (framing.completeMessageCount() > messagesBefore) {
                requests.addEnd(arrivalClock.getAsDouble(), streamPosition + unparsed.position() - start);
            }
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

    /**
     * Wakes up the reader in the next turn for bytes that were received already, as the kernel signals only those that
     * it still holds.
     */
    private void wakeReader() {
        if (!isWakeUpPending && next.isReadResumed()) {
            isWakeUpPending = true;
            nextTurn.execute(this::wakeReaderNow);
        }
    }

    private void wakeReaderNow() {
        isWakeUpPending = false;
        if (next.isReadResumed() && (peeked != null || !held.isEmpty())) {
            next.wakeupReads();
        }
    }
}
