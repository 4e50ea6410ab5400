package portrelay.model;

/** The states of a request. */
public enum RequestState {
    NEW,
    /** Upstreams are being probed before the first attempt. */
    PROBING,
    /** The request waits for capacity, with no attempt in flight. */
    QUEUED,
    /** One attempt is in flight, or is about to be sent. */
    SINGLE_ATTEMPT,
    /** A hedged attempt is in flight beside the first one. */
    HEDGED,
    /** All attempts so far have ended without an answer to the client. */
    NO_ATTEMPT,
    /** The client has its answer or no longer waits for one. */
    CLOSED
}
