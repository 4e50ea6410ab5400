package portrelay.net.discovery;

import portrelay.model.UpstreamId;

/**
 * How much of an endpoint list a process holds: what fits into a share of its heap. Of a longer list it holds a part
 * that is chosen by a hash of the ids, so that it is the same part of each version of the list, and another one at each
 * sidecar.
 *
 * @param maxBytes the estimated memory that all rows may take together
 * @param salt differs between sidecars
 */
public record EndpointListLimit(long maxBytes, long salt) {

    /** Lets a list be checked, and holds one row of it at most. */
    public static final EndpointListLimit NOTHING = new EndpointListLimit(0, 0);

    /** While all rows change the list is held twice, and the young generation and requests need their part. */
    private static final int HEAP_SHARE_DIVISOR = 4;

    /** The memory of one row besides its text: the objects of all actors that know the upstream. */
    private static final int ROW_OVERHEAD_BYTES = 1000;

    private static final long MIX = 0x9E3779B97F4A7C15L;

    /** Returns the limit that follows from the maximum size of this process's heap. */
    public static EndpointListLimit ofHeap(long salt) {
        return ofHeap(Runtime.getRuntime().maxMemory(), salt);
    }

    /** Returns the limit that follows from a maximum size of the heap. */
    static EndpointListLimit ofHeap(long maxHeapBytes, long salt) {
        return new EndpointListLimit(maxHeapBytes / HEAP_SHARE_DIVISOR, salt);
    }

    /** Returns the estimated memory of a row. */
    static long bytesOf(EndpointListPage.Row row) {
        return (long) ROW_OVERHEAD_BYTES + row.json().length;
    }

    /** Returns the rank of an upstream, from 0 to the largest long: of a list that is too long, low ranks are held. */
    long rankOf(UpstreamId id) {
        long mixed = (id.value() ^ salt) * MIX;
        return (mixed ^ mixed >>> 32) * MIX >>> 1;
    }
}
