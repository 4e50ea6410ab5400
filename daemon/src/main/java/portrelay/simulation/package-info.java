/**
 * Runs the load balancer in the operators' simulator: many instances of {@link portrelay.policy.LoadBalancer} in one
 * process, which receives messages on standard input and answers on standard output. The only package that depends on
 * the names and the form of this protocol's messages.
 *
 * <p>Depends on {@code json}, {@code settings}, {@code policy} and {@code model}. Runs on one thread. Times in the
 * protocol are whole microseconds; the load balancer takes seconds as {@code double} on the simulator's clock.
 */
package portrelay.simulation;
