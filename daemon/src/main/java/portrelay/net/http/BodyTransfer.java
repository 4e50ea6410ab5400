package portrelay.net.http;

import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.eventloop.EventLoop;

/**
 * Moves one body from a source to a sink, piece by piece as it arrives. Reads nothing while there are unwritten bytes,
 * so that the slower side determines the rate; a {@link BodySource} holds them. The channels remain owned by their
 * exchanges. Notifies its listener once that the body is complete or which side failed; after {@link #stop}, it makes
 * no further calls.
 */
public final class BodyTransfer {

    /** Receives the events of a transfer. Called on the loop. */
    public interface Listener {

        /**
         * Whether the source's end is the end of the body rather than a lost connection; called at the source's end.
         */
        default boolean isSourceComplete() {
            return true;
        }

        /**
         * Whether the last byte may be written; called once, before that write. If false, the source counts as failed.
         */
        default boolean mayComplete() {
            return true;
        }

        /**
         * Whether the connection of the sink is open; called at intervals. A sink that was told the end of the body
         * counts as closed before its last bytes are flushed, so it can't be asked.
         */
        default boolean isSinkConnected() {
            return true;
        }

        /** Called when the last byte has been written. */
        void completed();

        /** Called when the source ended too early, was too slow or delivered too many bytes. */
        void sourceFailed();

        /** Called when the sink accepts no more bytes. */
        void sinkFailed();

        /** Called each time bytes have been written. */
        void transferred();

        /** Called each time the transfer begins to wait until {@code side} delivers or accepts more bytes. */
        default void waitingFor(Side side) {}
    }

    /** The two sides of a transfer. */
    public enum Side {
        SOURCE,
        SINK
    }

    /**
     * The expected and the maximum size of a body.
     *
     * @param length the length of the body in bytes, -1 if unknown
     * @param max the maximum in bytes; a source that delivers more has failed
     */
    public record Size(long length, long max) {}

    /** The maximum number of bytes moved per turn of the loop, so that other connections are handled in between. */
    private static final int MAX_BYTES_PER_TURN = 256 * 1024;

    private static final double CHECK_INTERVAL_SECONDS = 0.5;
    private final EventLoop loop;
    private final StreamSourceChannel source;
    private final StreamSinkChannel sink;
    private final Size size;
    private final TransferWaits waits;
    private final BodySource body;
    private final Listener listener;
    private boolean isSourceAtEnd;
    private boolean isCompletionAllowed;
    private boolean isOver;
    /** Whether the sink was told that nothing follows; the last chunk may be with the receiver from then on. */
    private boolean isEndBegun;

    private long bytesRead;
    private long bytesWritten;

    /**
     * Creates a transfer that has not started.
     *
     * @param beginning the bytes that have already been read from the source
     */
    public BodyTransfer(
            EventLoop loop,
            ByteBufferPool pool,
            StreamSourceChannel source,
            StreamSinkChannel sink,
            byte[] beginning,
            Size size,
            TransferTimeouts timeouts,
            Listener listener) {
        this.loop = loop;
        this.source = source;
        this.sink = sink;
        this.size = size;
        this.waits = new TransferWaits(timeouts);
        this.body = new BodySource(pool, source, beginning, waits);
        this.listener = listener;
    }

    /** Sets the callbacks of both channels and moves the bytes that are available. */
    public void start() {
        source.getReadSetter().set(channel -> run());
        sink.getWriteSetter().set(channel -> run());
        run();
        checkTimeouts();
    }

    /** Ends the transfer and releases the buffer; neither channel is used afterwards. */
    public void stop() {
        if (!isOver) {
            end();
            sink.suspendWrites();
        }
    }

    /** Whether the source delivered more than {@link Size#max} bytes. */
    public boolean isTooLong() {
        return bytesRead > size.max;
    }

    /** Returns the number of bytes read, including the beginning. */
    public long bytesRead() {
        return bytesRead;
    }

    /**
     * Whether the receiver may have the last byte of the body: the sink has taken it. The transfer may have steps to go
     * after that, or may even have failed; a receiver acts on what it has got.
     */
    public boolean isLastByteSent() {
        return size.length < 0 ? isEndBegun : bytesWritten >= size.length;
    }

    /** Replaces the time limits. */
    public void setTimeouts(TransferTimeouts timeouts) {
        waits.setTimeouts(timeouts);
    }

    private void run() {
        if (isOver) {
            return;
        }
        waits.end(loop.now());
        int written = 0;
        // The listener may stop the transfer in any of its methods.
        while (!isOver && (written < MAX_BYTES_PER_TURN || isLastByteSent())) {
            if (isLastPiece() && !isCompletionAllowed) {
                isCompletionAllowed = true;
                if (!listener.mayComplete()) {
                    failSource();
                    return;
                }
            }
            if (body.piece().hasRemaining()) {
                int count = write();
                if (count == 0) {
                    return;
                }
                written += count;
            } else if (isSourceAtEnd) {
                finish();
                return;
            } else if (!read()) {
                return;
            }
        }
        if (!isOver) {
            source.suspendReads();
            sink.suspendWrites();
            loop.afterPoll(this::run);
        }
    }

    private boolean isLastPiece() {
        return isSourceAtEnd || bytesRead == size.length;
    }

    /** Writes as much of the piece as the sink accepts; returns 0 if it accepts nothing now or has failed. */
    private int write() {
        int unwritten = body.piece().remaining();
        try {
            int count = sink.write(body.piece());
            bytesWritten += count;
            if (count == 0) {
                await(Side.SINK);
            } else {
                listener.transferred();
            }
            return count;
        } catch (IOException e) {
            // A sink may fail after it has taken bytes.
            bytesWritten += unwritten - body.piece().remaining();
            failSink();
            return 0;
        }
    }

    /** Reads a piece; returns false if none is available or the transfer is over. */
    private boolean read() {
        int count = body.read();
        bytesRead += Math.max(0, count);
        if (count > 0 && !isTooLong()) {
            return true;
        }
        if (count == 0) {
            flushAndAwaitSource();
            return false;
        }
        if (count == BodySource.AT_END && listener.isSourceComplete()) {
            isSourceAtEnd = true;
            return true;
        }
        failSource();
        return false;
    }

    /** Flushes the sink first, so that bytes in its chunk encoder are not delayed until the next piece. */
    private void flushAndAwaitSource() {
        try {
            sink.flush();
        } catch (IOException e) {
            failSink();
            return;
        }
        await(Side.SOURCE);
    }

    private void finish() {
        isEndBegun = true;
        try {
            sink.shutdownWrites();
            if (sink.flush()) {
                end();
                listener.completed();
            } else {
                await(Side.SINK);
            }
        } catch (IOException e) {
            failSink();
        }
    }

    private void await(Side side) {
        waits.begin(side, loop.now());
        if (side == Side.SOURCE) {
            sink.suspendWrites();
            source.resumeReads();
        } else {
            source.suspendReads();
            sink.resumeWrites();
        }
        listener.waitingFor(side);
    }

    private void checkTimeouts() {
        if (isOver) {
            return;
        }
        if (!listener.isSinkConnected()) {
            failSink();
            return;
        }
        Side overdue = waits.overdueSide(loop.now());
        if (overdue == Side.SINK) {
            failSink();
        } else if (overdue == Side.SOURCE) {
            failSource();
        } else {
            loop.schedule(CHECK_INTERVAL_SECONDS, this::checkTimeouts);
        }
    }

    private void failSource() {
        end();
        listener.sourceFailed();
    }

    private void failSink() {
        end();
        listener.sinkFailed();
    }

    private void end() {
        isOver = true;
        body.release();
        source.suspendReads();
    }
}
