/**
 * The calls to discovery: which are outstanding, how long discovery may hold one and when it is abandoned. A pure state
 * machine without a clock or a socket, called on the event loop's thread. Depends on no other package of portrelay: the
 * endpoint list's contents and the backoff after a failed call are handled in {@code portrelay.policy} and
 * {@code portrelay.model}. Durations are seconds as {@code double}.
 */
package portrelay.discovery;
