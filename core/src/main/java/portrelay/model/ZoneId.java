package portrelay.model;

/** From the name alone, so that all sidecars and all lives of one know a zone by the same number. */
public record ZoneId(int value) {

    public static ZoneId of(String name) {
        return new ZoneId((int) Hash.of(name));
    }
}
