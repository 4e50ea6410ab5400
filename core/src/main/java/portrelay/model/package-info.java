/**
 * The types of the load balancer's domain: requests and their classes, endpoints, outcomes of attempts, the settings
 * that decisions depend on, and small statistics and schedules without I/O. Depends on no other package of portrelay.
 *
 * <p>Times and durations are seconds as {@code double}; points in time are on the caller's monotonic clock. Nothing
 * here is thread-safe: mutable types belong to the thread of the event loop that created them.
 */
package portrelay.model;
