package portrelay.admission;

/**
 * The bytes that a process holds for its clients, against one limit: each connection is bounded, but the sum of
 * hundreds of them may exceed the heap. Decides who may hold more; the owners of the bytes report what they hold. Not
 * thread-safe.
 */
public final class BufferBudget {

    /** A budget without a limit. */
    public static final long UNLIMITED = Long.MAX_VALUE;

    /** The share of the heap that clients' bytes may take; the rest is for objects and the young generation. */
    private static final int HEAP_SHARE_DIVISOR = 3;

    private final long maxBytes;
    private long heldBytes;
    private long peakBytes;

    /** @param maxBytes the limit in bytes */
    public BufferBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Returns the budget that follows from a maximum size of the heap, in bytes. */
    public static BufferBudget ofHeap(long maxHeapBytes) {
        return new BufferBudget(maxHeapBytes / HEAP_SHARE_DIVISOR);
    }

    /** Whether so many more bytes may be held. */
    public boolean hasRoomFor(long bytes) {
        return bytes <= maxBytes - heldBytes;
    }

    /** Records that so many more bytes are held, or fewer if negative; also beyond the limit. */
    public void heldChanged(long bytes) {
        heldBytes += bytes;
        peakBytes = Math.max(peakBytes, heldBytes);
    }

    /** Returns the number of bytes held. */
    public long heldBytes() {
        return heldBytes;
    }

    /** Returns the limit in bytes. */
    public long maxBytes() {
        return maxBytes;
    }

    /** Returns the largest number of bytes held at a time since the last call. */
    public long takePeakBytes() {
        long peak = peakBytes;
        peakBytes = heldBytes;
        return peak;
    }
}
