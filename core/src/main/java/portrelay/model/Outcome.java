package portrelay.model;

/** How an attempt ended. */
public enum Outcome {
    SERVED(false),
    /** The upstream answered with an error. */
    ERROR(false),
    /** The upstream rejected the request without executing it. */
    OVERLOADED(true),
    TIMED_OUT(false),
    /** No connection was made, or it ended before the request was written. */
    CONNECT_FAILED(true),
    /** The connection ended after the request was written and before an answer. */
    CONNECTION_LOST(false),
    CANCELLED(false),
    /** The sidecar did not send it. */
    NOT_SENT(true);

    /** Whether this outcome proves that the upstream has not executed the request. */
    public final boolean provablyNotExecuted;

    Outcome(boolean provablyNotExecuted) {
        this.provablyNotExecuted = provablyNotExecuted;
    }
}
