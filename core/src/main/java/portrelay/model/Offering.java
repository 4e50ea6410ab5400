package portrelay.model;

/** What the settings say of one offering; times in seconds. */
public record Offering(OfferingId id, Repeats repeats, Group group, double targetTime, double cutOff,
        double window, double credit, double lateShare, boolean streamed) {

    public enum Repeats { REISSUABLE, NUMBERED, AT_MOST_ONCE }

    /** The upstreams that drop a repeat of a numbered query. */
    public enum Group { ALL, ZONE, CELL }
}
