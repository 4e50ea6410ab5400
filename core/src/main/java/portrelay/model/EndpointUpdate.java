package portrelay.model;

/** What the rows of an answer from discovery contain. */
public enum EndpointUpdate {
    /** Only the changed endpoints. */
    INCREMENTAL,
    /** All endpoints; those not listed are gone. */
    COMPLETE,
    /** All endpoints as they were known before a restart; may be out of date. */
    CACHED,
    /** No rows: the poll failed. */
    FAILED
}
