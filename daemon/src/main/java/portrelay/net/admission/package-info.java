/**
 * Carries out the admission decisions of {@code portrelay.admission}: keeps the queued requests, passes admitted ones
 * to the load balancer and answers rejected ones. Depends on {@code upstream}, {@code balancer}, {@code connection} and
 * {@code eventloop}.
 *
 * <p>All code runs on the event loop. Times and durations are seconds as {@code double} on its clock, sizes are bytes.
 */
package portrelay.net.admission;
