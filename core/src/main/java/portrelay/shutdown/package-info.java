/**
 * Graceful shutdown as a state machine with one time budget: which activity of the process stops when, so that each
 * accepted request has its final answer before the process may be killed. {@link portrelay.shutdown.Shutdown} makes the
 * decisions, {@link portrelay.shutdown.ShutdownBudget} holds the times, and {@link portrelay.shutdown.ShutdownActions}
 * are the steps that the process carries out.
 *
 * <p>Uses no clock, socket or thread: the owner makes all calls on the event loop's thread. Depends on
 * {@code portrelay.model} only. Times and durations are seconds as {@code double} on the event loop's monotonic clock.
 */
package portrelay.shutdown;
