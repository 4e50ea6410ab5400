package portrelay.model;

/** The 64-bit FNV-1a hash of a name's UTF-16 code units; the same at all sidecars and after a restart. */
public final class Hash {

    private static final long OFFSET_BASIS = 0xcbf29ce484222325L;
    private static final long PRIME = 0x100000001b3L;

    private Hash() {}

    /** Returns the hash of the name. */
    public static long of(String name) {
        long hash = OFFSET_BASIS;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * PRIME;
        }
        return hash;
    }
}
