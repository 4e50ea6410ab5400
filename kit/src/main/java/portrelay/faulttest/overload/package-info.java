/** Fault tests with clients and upstreams that hold what all share: the event loop, memory, descriptors, responses. */
package portrelay.faulttest.overload;
