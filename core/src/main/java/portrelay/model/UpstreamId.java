package portrelay.model;

/** Identifies an upstream; the same at all sidecars. */
public record UpstreamId(long value) {}
