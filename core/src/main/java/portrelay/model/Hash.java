package portrelay.model;

/** A number from a name alone (FNV-1a): the same at all sidecars and in all lives of one; no table grows. */
public final class Hash {

    private Hash() {}

    public static long of(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x100000001b3L;
        }
        return hash;
    }
}
