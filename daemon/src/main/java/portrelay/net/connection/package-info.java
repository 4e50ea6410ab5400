/**
 * Outgoing connections to upstreams and to discovery: opens connections within a limit, runs one HTTP/1.1 exchange at a
 * time on each, and transfers bodies in both directions.
 *
 * <p>Depends on {@code eventloop} and {@code http}, and contains no decision logic.
 *
 * <p>All code runs on the event loop; nothing blocks and nothing is synchronised. Times and durations are seconds as
 * {@code double} on its clock, sizes are bytes. {@link portrelay.net.connection.Connector} counts and limits the open
 * connections, {@link portrelay.net.connection.HttpConnection} owns its socket; pooling is left to the callers of the
 * connector.
 */
package portrelay.net.connection;
