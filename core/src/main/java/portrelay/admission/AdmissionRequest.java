package portrelay.admission;

import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantId;

/**
 * A request with the properties by which admission control queues, admits or rejects it.
 *
 * @param flow the flow whose queue the request joins
 * @param tenant the tenant; null for none
 * @param weight the weight of the flow relative to other flows, over 0
 * @param work the expected time of the request in the load balancer, in seconds, over 0
 * @param bytes the memory that the request takes while it is queued
 * @param waitUntil the time at which the request is rejected if it has not been admitted
 * @param retriedByClient whether the client marked the request as a retry
 */
public record AdmissionRequest(
        RequestId id,
        FlowId flow,
        TenantId tenant,
        RequestClassId requestClass,
        double weight,
        double work,
        int bytes,
        double waitUntil,
        boolean retriedByClient) {

    /**
     * Creates a request.
     *
     * @throws IllegalArgumentException if weight or work is not over 0
     */
    public AdmissionRequest {
        if (!(weight > 0) || !(work > 0)) {
            throw new IllegalArgumentException("weight and work have to be over 0: " + weight + ", " + work);
        }
    }

    /** Returns the same request in another flow with another weight. */
    AdmissionRequest inFlow(FlowId otherFlow, double otherWeight) {
        return new AdmissionRequest(
                id, otherFlow, tenant, requestClass, otherWeight, work, bytes, waitUntil, retriedByClient);
    }
}
