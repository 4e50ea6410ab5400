package portrelay.gossip;

import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;

/**
 * Rendezvous hashing (Thaler and Ravishankar, 1996): chooses the sidecars that use the upstream of a key. All sidecars
 * make the same choice, and adding or removing a sidecar changes only the choices that include that sidecar. The sets
 * of two keys may overlap.
 */
public final class Rendezvous {

    private Rendezvous() {}

    /** Returns up to {@code limit} of the sidecars 0 to {@code count - 1}, by ascending hash for the key. */
    public static List<Integer> choose(int key, int count, int limit) {
        return IntStream.range(0, count)
                .boxed()
                .sorted(Comparator.comparingDouble(i -> hashToUnit(key + i)))
                .limit(limit)
                .toList();
    }

    /** Returns a hash of the number, evenly distributed from 0 to 1 and the same at all sidecars. */
    static double hashToUnit(int number) {
        int hash = (number + 1) * 0x9E3779B9;
        hash = (hash ^ hash >>> 15) * 0x85EBCA6B;
        return ((hash ^ hash >>> 13) >>> 1) / (double) Integer.MAX_VALUE;
    }
}
