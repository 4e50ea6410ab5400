package portrelay.net.client;

import java.nio.ByteBuffer;

/** Bytes in the order in which they were added, until they are taken. Holds no memory while it is empty. */
final class HeldBytes {

    private static final ByteBuffer EMPTY = ByteBuffer.allocate(0);

    /** The bytes between position and limit are held. */
    private ByteBuffer bytes = EMPTY;

    boolean isEmpty() {
        return !bytes.hasRemaining();
    }

    /** Returns the number of bytes held. */
    int size() {
        return bytes.remaining();
    }

    /** Returns the memory taken, in bytes: the bytes held and the room around them. */
    int memoryHeld() {
        return bytes.capacity();
    }

    /** Adds a copy of the remaining bytes of the source. */
    void add(ByteBuffer source) {
        int newSize = bytes.remaining() + source.remaining();
        if (bytes.capacity() - bytes.limit() < source.remaining()) {
            int capacity = isEmpty() ? newSize : Math.max(newSize, 2 * bytes.remaining());
            bytes = ByteBuffer.allocate(capacity).put(bytes).flip();
        }
        int end = bytes.limit();
        bytes.limit(end + source.remaining());
        bytes.slice(end, source.remaining()).put(source);
    }

    /** Moves bytes into the target, as many as it has room for and at most {@code max}; returns how many. */
    int take(ByteBuffer target, long max) {
        int count = (int) Math.min(max, Math.min(bytes.remaining(), target.remaining()));
        target.put(bytes.slice().limit(count));
        bytes.position(bytes.position() + count);
        if (isEmpty()) {
            clear();
        }
        return count;
    }

    /** Drops all bytes; returns how many. */
    int clear() {
        int count = bytes.remaining();
        bytes = EMPTY;
        return count;
    }
}
