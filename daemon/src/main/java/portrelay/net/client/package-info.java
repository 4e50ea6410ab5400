/**
 * The client-facing side of a sidecar: accepts connections, reads requests, passes them to admission and writes the
 * responses. {@link portrelay.net.client.ClientFrontend} is the entry point.
 *
 * <p>Allowed dependencies: {@code eventloop}, {@code http}, {@code connection}, {@code upstream} and {@code admission}
 * of {@code portrelay.net}, and the decisions in {@code portrelay.admission} and {@code portrelay.shutdown}.
 *
 * <p>All code here runs on the single I/O thread of its {@link portrelay.net.eventloop.EventLoop}; nothing blocks and
 * nothing is synchronised. Times and durations are seconds as {@code double} on that loop's clock, sizes are bytes.
 * {@link portrelay.net.client.ClientConnections} owns the sockets: other classes close a connection through it, or by
 * ending the exchange.
 */
package portrelay.net.client;
