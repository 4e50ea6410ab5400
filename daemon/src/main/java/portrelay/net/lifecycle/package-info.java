/**
 * Starts, warms up, reloads, drains and closes one sidecar. Programs that embed a sidecar use
 * {@link portrelay.net.lifecycle.Sidecar}. This package depends on every other package of {@code portrelay.net}; none
 * of them depends on it.
 *
 * <p>All code runs on the event loop unless its doc comment says otherwise. Times are seconds as {@code double} on its
 * clock.
 */
package portrelay.net.lifecycle;
