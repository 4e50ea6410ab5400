/**
 * The one event loop thread of a sidecar, its clock, its timers, the mailboxes of the actors that run on it, and the
 * log. Depends on no other package of {@code portrelay.net}.
 *
 * <p>Times are seconds as {@code double}. Those of the clock are the Unix time at the start, advanced by the monotonic
 * clock.
 */
package portrelay.net.eventloop;
