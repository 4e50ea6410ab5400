/**
 * Outgoing connections to upstreams and to discovery: opens connections within a limit, runs one HTTP/1.1 exchange at a
 * time on each, and transfers bodies in both directions.
 *
 * <p>Of {@code portrelay.net}, this package depends on {@code eventloop} and {@code http} only. It contains no decision
 * logic.
 *
 * <p>Everything here runs on the one I/O thread of its {@link portrelay.net.eventloop.EventLoop}; nothing blocks and
 * nothing is synchronised. Times and durations are seconds as {@code double}, sizes are bytes.
 * {@link portrelay.net.connection.Connector} counts and limits the open connections,
 * {@link portrelay.net.connection.HttpConnection} owns its socket; pooling is left to the callers of the connector.
 */
package portrelay.net.connection;
