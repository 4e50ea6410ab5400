/**
 * Sends attempts to upstreams. Each upstream has one actor, which owns the connections to it. Depends on
 * {@code connection}, {@code http} and {@code eventloop}.
 *
 * <p>All code runs on the event loop. Times are seconds as {@code double} on its clock.
 */
package portrelay.net.upstream;
