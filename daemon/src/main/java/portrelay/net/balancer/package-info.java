/**
 * Connects the load balancer of {@code portrelay.policy} to sockets: passes it events and carries out its decisions,
 * without any decisions of its own. Depends on {@code upstream}, {@code peer}, {@code connection} and
 * {@code eventloop}.
 *
 * <p>All code runs on the event loop. Times are seconds as {@code double} on its clock.
 */
package portrelay.net.balancer;
