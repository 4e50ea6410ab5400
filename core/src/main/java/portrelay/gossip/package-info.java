/**
 * Messages between sidecars, and what each sidecar derives from them without coordination: which sidecars are members
 * and in which zones ({@link portrelay.gossip.PeerMembership}), which subset of the upstreams each member uses
 * ({@link portrelay.gossip.SubsetAssignment}, {@link portrelay.gossip.Rendezvous}), and which attempts of all members
 * are in flight at an upstream ({@link portrelay.gossip.PeerInFlight}). Only {@link portrelay.gossip.PeerMessageCodec}
 * depends on the wire format.
 *
 * <p>Messages are UDP datagrams: they may be lost, late, duplicated or forged, so nothing depends on the arrival of a
 * single message, and a malformed one is ignored. Each sidecar is charged for its messages, so data that can be derived
 * is not sent.
 *
 * <p>The types are pure state machines without a clock, a socket or a thread; their owner calls them on the event
 * loop's thread. Depends on {@code portrelay.model} only. Times and durations are seconds as {@code double} on the
 * event loop's clock.
 */
package portrelay.gossip;
