package portrelay.model;

public record UpstreamId(long value) {}
