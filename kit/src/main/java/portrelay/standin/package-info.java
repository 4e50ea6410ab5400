/**
 * Stand-ins for tests on one machine: a discovery and upstreams on loopback, sidecars as processes, and signals to
 * them. Depends on no other package of portrelay: it implements the protocol from the protocol's documentation. Uses
 * blocking I/O on threads of its own.
 */
package portrelay.standin;
