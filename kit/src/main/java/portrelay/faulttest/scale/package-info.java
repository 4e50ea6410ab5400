/**
 * Fault tests of sidecars with up to thousands of upstreams, as real processes over loopback: a plan drawn from a seed,
 * its endpoint lists, clients and upstreams that record each request, restarts with hand-over, signals in series, and a
 * checker that compares all records with the rules.
 *
 * <p>Depends on {@code portrelay.standin}, and on {@code portrelay.net.eventloop} for the name of the event loop's
 * thread. A round runs on its caller's thread, each client on a thread of its own. Durations are seconds as
 * {@code double}; a point in time is a {@code long} of {@link java.lang.System#nanoTime}.
 */
package portrelay.faulttest.scale;
