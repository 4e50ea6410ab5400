package portrelay.model;

/** Identifies an open request within one sidecar. */
public record RequestId(String value) {}
