package portrelay.model;

/**
 * The inputs of a request's state machine; the table in {@code RequestLifecycle} has the transitions for each state.
 */
public enum RequestInput {
    ARRIVED,
    /** The probes for the first attempt, or for a retry, were answered or timed out, or none is needed. */
    PROBES_DONE,
    /** The probes found no idle upstream and another round of probes may follow. */
    PROBE_AGAIN,
    /** No upstream may be sent the request now. */
    NO_UPSTREAM,
    /** The request has waited for capacity and is tried again. */
    DEQUEUED,
    /** The request has waited for capacity for its maximum time. */
    WAIT_EXPIRED,
    /** A retry has been sent. */
    ATTEMPT_SENT,
    HEDGE_DUE,
    /** The probes for the hedged attempt were answered or timed out, or none is needed. */
    HEDGE_PROBES_DONE,
    /** An attempt has ended and the client has no answer yet. */
    ATTEMPT_ENDED,
    SERVED,
    /** The client left, or was sent an answer other than a served one. */
    CLIENT_LEFT
}
