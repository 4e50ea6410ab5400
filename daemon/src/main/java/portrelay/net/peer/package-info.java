/**
 * Sends and receives the datagrams between sidecars; their content is defined by {@code portrelay.gossip}. Depends on
 * {@code http} and {@code eventloop}.
 *
 * <p>All code runs on the event loop. Times are seconds as {@code double} on its clock.
 */
package portrelay.net.peer;
