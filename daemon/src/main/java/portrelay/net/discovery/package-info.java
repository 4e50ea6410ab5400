/**
 * Watches the endpoint list of the discovery service and maintains the actors of the listed upstreams. The calls of a
 * watch are decided by {@code portrelay.discovery}. Depends on {@code balancer}, {@code upstream}, {@code connection},
 * {@code http} and {@code eventloop}.
 *
 * <p>All code runs on the event loop. Times are seconds as {@code double} on its clock.
 */
package portrelay.net.discovery;
