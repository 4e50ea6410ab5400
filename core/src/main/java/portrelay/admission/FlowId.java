package portrelay.admission;

/**
 * Identifies a flow: the requests that share one queue. Depending on {@link AdmissionConfig#flowsBy}, these are the
 * requests of a tenant, of a client address, or of a pair of both.
 */
public record FlowId(String value) {}
