package portrelay.lease;

/** A holder of a lease: one incarnation of one peer's process. After a restart the same peer is another holder. */
public record Holder(int peer, long incarnation) {}
