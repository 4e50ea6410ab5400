package portrelay.door;

/** One connection of a client, numbered as it came. */
public record ClientId(long value) {}
