package portrelay.model;

/** From the name alone, so that all sidecars and all lives of one know a zone by the same number. */
public record ZoneId(int value) {

    public static ZoneId of(String name) {
        int hash = 0x811c9dc5;
        for (int i = 0; i < name.length(); i++) {
            hash = (hash ^ name.charAt(i)) * 0x01000193;
        }
        return new ZoneId(hash);
    }
}
