/**
 * Fault tests of shutdowns with real sidecar processes: a plan drawn from a seed, the clients and upstreams that carry
 * it out over loopback, the signals and pauses, and a checker that compares the records of all of them with the rules.
 *
 * <p>Depends on {@code portrelay.standin}, and on {@code portrelay.net.eventloop} for the name of the event loop's
 * thread. A round runs on its caller's thread, each client on a thread of its own. Durations and offsets are seconds as
 * {@code double}; a point in time is a {@code long} of {@link java.lang.System#nanoTime}.
 */
package portrelay.faulttest;
