package portrelay.model;

/**
 * A request at its arrival.
 *
 * @param tenant null if the request names none
 * @param key the idempotency key; null if the request has none
 * @param deadline the point in time after which an answer has no value
 * @param estimatedWork the client's estimate of the work, NaN if it gives none; not used in any decision
 * @param retriedByClient whether the client has sent the request before
 * @param singleAttempt whether the request can be sent only once, as its body is streamed and not kept
 */
public record RequestArrival(
        RequestId id,
        RequestClassId requestClass,
        TenantId tenant,
        String key,
        double deadline,
        double estimatedWork,
        boolean retriedByClient,
        boolean singleAttempt) {

    /** Creates a request that can be sent more than once. */
    public RequestArrival(
            RequestId id,
            RequestClassId requestClass,
            TenantId tenant,
            String key,
            double deadline,
            double estimatedWork,
            boolean retriedByClient) {
        this(id, requestClass, tenant, key, deadline, estimatedWork, retriedByClient, false);
    }

    /** Returns the same request with another id. */
    public RequestArrival withId(RequestId other) {
        return new RequestArrival(
                other, requestClass, tenant, key, deadline, estimatedWork, retriedByClient, singleAttempt);
    }
}
