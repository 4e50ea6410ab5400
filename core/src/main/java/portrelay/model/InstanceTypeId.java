package portrelay.model;

/** Identifies an instance type; upstreams of one type have the same capacity. */
public record InstanceTypeId(int value) {}
