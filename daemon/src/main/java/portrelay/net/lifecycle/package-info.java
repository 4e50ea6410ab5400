/**
 * Starts, warms up, reloads, drains and closes one sidecar. Programs that embed a sidecar use
 * {@link portrelay.net.lifecycle.Sidecar}. This package depends on every other package of {@code portrelay.net}; none
 * of them depends on it.
 *
 * <p>Times are seconds as double on the event loop's clock. Everything runs on the event loop unless its doc comment
 * says otherwise.
 */
package portrelay.net.lifecycle;
