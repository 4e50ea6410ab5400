/**
 * Majority leases without disk, after PaxosLease (Trencseni, Gazso and Reinhardt, 2012). Pure state machines: time and
 * chance are arguments, what is to be sent is a result. {@link portrelay.lease.Replica} is one process's part in one
 * lease; docs/design/leases.md says what is assumed and what is proved how.
 */
package portrelay.lease;
