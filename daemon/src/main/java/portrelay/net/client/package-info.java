/**
 * The client-facing side of a sidecar: accepts connections, reads requests, passes them to admission and writes the
 * responses. {@link portrelay.net.client.ClientFrontend} is the entry point.
 *
 * <p>Depends on {@code eventloop}, {@code http}, {@code connection}, {@code upstream} and {@code admission}. The
 * decisions are made by {@code portrelay.admission} and {@code portrelay.shutdown}.
 *
 * <p>All code runs on the event loop; nothing blocks and nothing is synchronised. Times and durations are seconds as
 * {@code double} on its clock, sizes are bytes. {@link portrelay.net.client.ClientConnections} owns the sockets: other
 * classes close a connection through it, or by ending the exchange.
 */
package portrelay.net.client;
