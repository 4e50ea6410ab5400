package portrelay.admission;

/** Identifies a client connection by its number in the order of acceptance. */
public record ClientId(long value) {}
