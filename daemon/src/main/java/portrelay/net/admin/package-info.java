/**
 * Serves operator calls: checking readiness, taking the sidecar out of service and back, disabling and enabling an
 * upstream. Depends on {@code client}, {@code handover}, {@code discovery}, {@code balancer}, {@code http} and
 * {@code eventloop}.
 *
 * <p>All code runs on the event loop. Times are seconds as {@code double} on its clock.
 */
package portrelay.net.admin;
