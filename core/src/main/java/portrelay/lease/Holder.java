package portrelay.lease;

/** One life of one process: after a restart the same peer is another holder. */
public record Holder(int peer, long incarnation) {}
