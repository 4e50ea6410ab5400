package portrelay.net.http;

import io.undertow.connector.ByteBufferPool;
import io.undertow.connector.PooledByteBuffer;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;

/**
 * Reads a body piece by piece: first the bytes that were read before, then those of a channel. Holds one pooled buffer
 * while there is a piece, and of the bytes that were read before only those that are not yet in a piece.
 */
final class BodySource {

    /** The result of {@link #read} at the channel's end, as in NIO. */
    static final int AT_END = -1;

    /** The result of {@link #read} after a failure. */
    static final int FAILED = -2;

    private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.allocate(0);

    private final ByteBufferPool pool;
    private final StreamSourceChannel channel;
    private final TransferWaits waits;
    /** Null while there is no piece. */
    private PooledByteBuffer pooled;

    private ByteBuffer piece = EMPTY_BUFFER;
    /** The bytes that were read before and are not yet in a piece. */
    private ByteBuffer beginning;

    /**
     * @param beginning the bytes that have already been read from the channel
     * @param waits counts the bytes read from the channel
     */
    BodySource(ByteBufferPool pool, StreamSourceChannel channel, byte[] beginning, TransferWaits waits) {
        this.pool = pool;
        this.channel = channel;
        this.beginning = ByteBuffer.wrap(beginning);
        this.waits = waits;
    }

    /** Returns the current piece, with its bytes that are not yet written; empty if there is none. */
    ByteBuffer piece() {
        return piece;
    }

    /**
     * Replaces the piece, which must be written, by the next one. Returns its length, 0 if no bytes are available now,
     * {@link #AT_END} or {@link #FAILED}; there is no piece then.
     */
    int read() {
        if (pooled == null) {
            pooled = pool.allocate();
        }
        ByteBuffer buffer = pooled.getBuffer().clear();
        int count = beginning.hasRemaining() ? takeBeginning(buffer) : readChannel(buffer);
        if (count > 0) {
            piece = buffer.flip();
        } else {
            releasePiece();
        }
        return count;
    }

    /** Releases all memory; nothing is read afterwards. */
    void release() {
        beginning = EMPTY_BUFFER;
        releasePiece();
    }

    /**
     * Copies the beginning piece by piece: a sink may refer to the first buffer that it was given for as long as its
     * connection is open, as Undertow's does.
     */
    private int takeBeginning(ByteBuffer buffer) {
        int count = Math.min(buffer.remaining(), beginning.remaining());
        buffer.put(beginning.slice().limit(count));
        beginning = count < beginning.remaining() ? beginning.position(beginning.position() + count) : EMPTY_BUFFER;
        return count;
    }

    private int readChannel(ByteBuffer buffer) {
        try {
            int count = channel.read(buffer);
            waits.received(Math.max(0, count));
            return count;
        } catch (IOException | RuntimeException e) {
            return FAILED;
        }
    }

    private void releasePiece() {
        piece = EMPTY_BUFFER;
        if (pooled != null) {
            pooled.close();
            pooled = null;
        }
    }
}
