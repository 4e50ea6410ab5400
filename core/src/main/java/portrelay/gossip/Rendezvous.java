package portrelay.gossip;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Rendezvous hashing (Thaler and Ravishankar, 1996): chooses the sidecars that use the upstream of a key. All sidecars
 * make the same choice, and adding or removing a sidecar changes only the choices that include that sidecar. The sets
 * of two keys may overlap.
 */
public final class Rendezvous {

    private Rendezvous() {}

    /** Returns up to {@code limit} of the sidecars 0 to {@code count - 1}, by ascending hash for the key. */
    public static List<Integer> choose(int key, int count, int limit) {
        // The hash in the upper half and the number in the lower one: primitive values sort much faster than objects.
        long[] byHash = new long[count];
        for (int i = 0; i < count; i++) {
            byHash[i] = (long) hash(key + i) << Integer.SIZE | i;
        }
        Arrays.sort(byHash);
        List<Integer> chosen = new ArrayList<>();
        for (int i = 0; i < Math.min(count, limit); i++) {
            chosen.add((int) byHash[i]);
        }
        return List.copyOf(chosen);
    }

    /** Returns a hash of the number, evenly distributed from 0 to 1 and the same at all sidecars. */
    static double hashToUnit(int number) {
        return hash(number) / (double) Integer.MAX_VALUE;
    }

    /** Returns a hash of the number from 0 to the largest integer. */
    private static int hash(int number) {
        int hash = (number + 1) * 0x9E3779B9;
        hash = (hash ^ hash >>> 15) * 0x85EBCA6B;
        return (hash ^ hash >>> 13) >>> 1;
    }
}
