package portrelay.model;

/** How an execution ended; neverRan is true only where that is proved. */
public enum Outcome {
    HANDLED(false),
    ERROR(false),
    FULL(true),
    TIMED_OUT(false),
    NO_CONNECTION(true),
    BROKEN(false),
    CALLED_OFF(false),
    NOT_SENT(true);

    public final boolean neverRan;

    Outcome(boolean neverRan) {
        this.neverRan = neverRan;
    }
}
