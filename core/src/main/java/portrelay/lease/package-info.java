/**
 * Majority leases without persistent storage, based on PaxosLease (Trencseni, Gazso and Reinhardt, 2012). A
 * {@link portrelay.lease.Replica} is the state of one process with respect to one lease. It consists of an
 * {@link portrelay.lease.Acceptor}, which votes, and a {@link portrelay.lease.Proposer}, which tries to hold the lease.
 * docs/design/leases.md has the assumptions and the proof.
 *
 * <p>The state machines are immutable and may be used by any thread: the time and random numbers are arguments, the
 * messages to send are a result. Depends on no other package of portrelay. Times and durations are seconds as
 * {@code double} on the process's own monotonic clock; the wall clock is milliseconds since 1970.
 */
package portrelay.lease;
