package portrelay.model;

/** Identifies a zone; derived from its name alone, so that it is the same at all sidecars and after a restart. */
public record ZoneId(int value) {

    /** Returns the id of the zone with this name. */
    public static ZoneId of(String name) {
        return new ZoneId((int) Hash.of(name));
    }
}
