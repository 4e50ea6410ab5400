package portrelay.net.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** Collects a body in memory. Its capacity grows with the content and never exceeds the given maximum. */
public final class BodyBuffer {

    private static final byte[] EMPTY = {};
    private static final int MIN_CAPACITY_BYTES = 1024;

    private final int maxBytes;
    private byte[] bytes = EMPTY;
    private int size;

    /** @param maxBytes the maximum size in bytes; the owner appends no more than that */
    public BodyBuffer(int maxBytes) {
        this.maxBytes = maxBytes;
    }

    /**
     * Appends the remaining bytes of the source.
     *
     * @throws IllegalStateException if the content would exceed the maximum
     */
    public void append(ByteBuffer source) {
        int count = source.remaining();
        if (count > maxBytes - size) {
            throw new IllegalStateException("body over " + maxBytes + " bytes");
        }
        ensureCapacity(size + count);
        source.get(bytes, size, count);
        size += count;
    }

    /** Returns the number of bytes collected. */
    public int size() {
        return size;
    }

    /** Returns the content and gives it up: the buffer is empty afterwards and holds no memory. */
    public byte[] take() {
        byte[] content = size == bytes.length ? bytes : Arrays.copyOf(bytes, size);
        bytes = EMPTY;
        size = 0;
        return content;
    }

    /** Returns how many bytes the buffer will take in memory once so many more are appended. */
    public int capacityFor(int moreBytes) {
        int needed = size + moreBytes;
        if (needed <= bytes.length) {
            return bytes.length;
        }
        long doubled = Math.max(MIN_CAPACITY_BYTES, 2L * bytes.length);
        return (int) Math.min(maxBytes, Math.max(needed, doubled));
    }

    private void ensureCapacity(int needed) {
        if (needed > bytes.length) {
            bytes = Arrays.copyOf(bytes, capacityFor(needed - size));
        }
    }
}
