/**
 * Runs the load balancer in the operators' simulator: many instances of {@link portrelay.policy.LoadBalancer} in one
 * process, which receives messages on standard input and answers on standard output. The only package that knows the
 * names and the form of this protocol's messages.
 *
 * <p>May depend on {@code json}, {@code settings}, {@code policy} and {@code model} only. Runs on one thread. Times in
 * the protocol are whole microseconds; the load balancer takes seconds as {@code double} on the simulator's clock.
 */
package portrelay.simulation;
