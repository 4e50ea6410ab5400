/**
 * HTTP/1.1 functions shared by the client side and the upstream side of a sidecar: message framing, body transfers, the
 * selection of forwarded headers, and the names of the platform's protocol on the wire.
 *
 * <p>Depends on {@code eventloop}. It does not depend on the owners of the connections and contains no decision logic.
 *
 * <p>Body transfers run on the event loop; the other code has no thread of its own. Times and durations are seconds as
 * {@code double}, sizes are bytes.
 */
package portrelay.net.http;
