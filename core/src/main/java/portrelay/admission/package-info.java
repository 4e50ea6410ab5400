/**
 * Admission control in front of the load balancer: decides which requests are admitted and in what order, which are
 * rejected and with which Retry-After, and which client connections are closed to keep capacity for others.
 *
 * <p>{@link portrelay.admission.AdmissionController} decides on requests,
 * {@link portrelay.admission.ConnectionCapacity} on connections; neither depends on the other. Both are pure state
 * machines without a clock, a socket or a thread: their owner calls them on one thread, that of the event loop, and
 * carries out their decisions. Depends on {@code portrelay.model} and {@code portrelay.settings} only.
 *
 * <p>Times and durations are seconds as {@code double} on the event loop's monotonic clock. Work is the expected time
 * of a request in the load balancer, also in seconds.
 */
package portrelay.admission;
