/**
 * HTTP/1.1 functions shared by the client side and the upstream side of a sidecar: message framing, body transfers, the
 * selection of forwarded headers, and the names of the platform's protocol on the wire.
 *
 * <p>Of {@code portrelay.net}, this package depends on {@code eventloop} only. It does not depend on the owners of the
 * connections and contains no decision logic.
 *
 * <p>Everything here runs on the one I/O thread of its {@link portrelay.net.eventloop.EventLoop} or on no thread of its
 * own. Times and durations are seconds as {@code double}, sizes are bytes.
 */
package portrelay.net.http;
