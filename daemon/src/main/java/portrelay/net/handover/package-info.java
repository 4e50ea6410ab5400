/**
 * Exchanges state between the processes of one sidecar through files in a shared directory: operator calls, the
 * endpoint list, and whether each process serves. Depends on {@code discovery} and {@code eventloop}.
 *
 * <p>Files are read and written on the thread {@code portrelay-handover}, never on the event loop; only
 * {@link portrelay.net.handover.HandoverService} is used by both threads. Times are Unix seconds as {@code double} on
 * the event loop's clock.
 */
package portrelay.net.handover;
