package portrelay.net.handover;

import java.io.IOException;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteBuffer;
import java.nio.ByteOrder;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.function.LongSupplier;
import portrelay.model.Hash;
import portrelay.net.eventloop.Log;

/**
 * The ids of requests that may have been executed and must not be again, for a limited time each. A table of fixed size
 * in a file that all processes of a sidecar map into memory, so that a successor knows at once what its predecessor has
 * begun, also if that is killed. Holds the hash of each id. Where no slot is free, the id that would be forgotten first
 * gives way. Entries are changed atomically; each process uses it on its event loop.
 */
public final class RequestIdTable {

    /** Four times the unsafe requests of a few seconds at the highest rates of the operators' deployments. */
    private static final int SLOTS = 16 * 1024;

    private static final int SLOT_BITS = 14;
    /** The slots in which an id may be, from the one that its hash gives. */
    private static final int PROBES = 16;

    private static final int SLOT_BYTES = 2 * Long.BYTES;
    private static final int TABLE_BYTES = (SLOTS + PROBES) * SLOT_BYTES;
    private static final long MIX = 0x9E3779B97F4A7C15L;
    private static final double NANOS_PER_SECOND = 1e9;
    private static final VarHandle LONGS = MethodHandles.byteBufferViewVarHandle(long[].class, ByteOrder.nativeOrder());

    private final ByteBuffer table;
    /** A clock that all processes of the machine share. */
    private final LongSupplier nanoClock;

    private RequestIdTable(ByteBuffer table, LongSupplier nanoClock) {
        this.table = table;
        this.nanoClock = nanoClock;
    }

    /** Returns an empty table of this process alone. */
    public static RequestIdTable ofProcess() {
        return new RequestIdTable(ByteBuffer.allocateDirect(TABLE_BYTES), System::nanoTime);
    }

    /**
     * Returns the table that the processes of a sidecar share; one of this process alone, which is logged, if the file
     * can't be mapped.
     *
     * @param directory the directory of the handover files; null to share nothing
     */
    public static RequestIdTable open(Path directory, String sidecarName, Log log) {
        if (directory == null) {
            return ofProcess();
        }
        try {
            return open(directory, sidecarName, System::nanoTime);
        } catch (IOException | RuntimeException e) {
            log.warn("ids of requests not shared with other processes: cause=" + e);
            return ofProcess();
        }
    }

    /** @param nanoClock a clock that all users of the file share, in nanoseconds */
    static RequestIdTable open(Path directory, String sidecarName, LongSupplier nanoClock) throws IOException {
        Path file = directory.resolve("portrelay-" + Long.toHexString(Hash.of(sidecarName)) + ".ids");
        try (FileChannel channel =
                FileChannel.open(file, StandardOpenOption.CREATE, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
            return new RequestIdTable(channel.map(FileChannel.MapMode.READ_WRITE, 0, TABLE_BYTES), nanoClock);
        }
    }

    /**
     * Adds an id for so many seconds. Returns false, and changes nothing, if it is in the table: an earlier request of
     * this id may have been executed.
     */
    public boolean add(String id, double seconds) {
        long hash = hashOf(id);
        long now = nanoClock.getAsLong();
        int known = find(hash);
        if (known >= 0 && isValid(known, now)) {
            return false;
        }
        int slot = known >= 0 ? known : freeSlot(hash, now);
        set(slot, 0, hash);
        set(slot, Long.BYTES, now + (long) (seconds * NANOS_PER_SECOND));
        return true;
    }

    /** Keeps an id that is in the table for so many more seconds from now. */
    public void extend(String id, double seconds) {
        setEnd(id, nanoClock.getAsLong() + (long) (seconds * NANOS_PER_SECOND));
    }

    /** Removes an id, as its request provably was not executed. */
    public void remove(String id) {
        setEnd(id, nanoClock.getAsLong());
    }

    private void setEnd(String id, long nanos) {
        int slot = find(hashOf(id));
        if (slot >= 0) {
            set(slot, Long.BYTES, nanos);
        }
    }

    /** Returns the hash of an id; never 0, which marks an empty slot. */
    private static long hashOf(String id) {
        long hash = Hash.of(id);
        return hash == 0 ? 1 : hash;
    }

    /** Returns the slot with this hash, or -1. */
    private int find(long hash) {
        int first = firstSlot(hash);
        for (int slot = first; slot < first + PROBES; slot++) {
            if (get(slot, 0) == hash) {
                return slot;
            }
        }
        return -1;
    }

    /** Returns an empty slot, or else the one whose id is forgotten first. */
    private int freeSlot(long hash, long now) {
        int first = firstSlot(hash);
        int best = first;
        for (int slot = first; slot < first + PROBES; slot++) {
            if (get(slot, 0) == 0 || !isValid(slot, now)) {
                return slot;
            }
            if (get(slot, Long.BYTES) - get(best, Long.BYTES) < 0) {
                best = slot;
            }
        }
        return best;
    }

    private boolean isValid(int slot, long now) {
        return get(slot, Long.BYTES) - now > 0;
    }

    private static int firstSlot(long hash) {
        return (int) (hash * MIX >>> Long.SIZE - SLOT_BITS);
    }

    private long get(int slot, int offset) {
        return (long) LONGS.getVolatile(table, slot * SLOT_BYTES + offset);
    }

    private void set(int slot, int offset, long value) {
        LONGS.setVolatile(table, slot * SLOT_BYTES + offset, value);
    }
}
