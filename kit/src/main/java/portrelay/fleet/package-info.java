/**
 * Simulated fleets: the production load balancers of many sidecars run in one process and in virtual time, against
 * simple models of the network and the upstreams. They show how costs grow with the size of the fleet and whether the
 * rules of load balancing hold.
 *
 * <p>May depend on {@code portrelay.policy} and {@code portrelay.model}. Runs on one thread. Times are seconds as
 * double, on the simulation's clock, which begins at 0.
 */
package portrelay.fleet;
