package portrelay.gossip;

/** A message from a peer, as decoded by {@link PeerMessageCodec}. */
sealed interface PeerMessage permits PeerMessage.Hello, PeerMessage.Zones, PeerMembership.AttemptReport {

    /** The code of the sender's zone, and whether the sender asks for the zones of all members. */
    record Hello(char zone, boolean asksForZones) implements PeerMessage {}

    /** The zone codes of consecutive sidecars, starting with the first. */
    record Zones(int firstSidecar, String codes) implements PeerMessage {}
}
