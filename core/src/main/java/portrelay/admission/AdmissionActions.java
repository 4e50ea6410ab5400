package portrelay.admission;

import portrelay.model.RequestId;

/**
 * The operations that {@link AdmissionController} requires from its owner. They are called on the owner's thread, while
 * the owner calls one of the controller's events.
 */
public interface AdmissionActions {

    /**
     * Passes the request to the load balancer. The owner reports the end of the request with
     * {@link AdmissionController#requestAnswered}.
     */
    void admit(RequestId request);

    /**
     * Rejects the request, which is its final answer; no attempt was made for it.
     *
     * @param retryAfter the Retry-After in seconds from now; 0 for none
     */
    void reject(RequestId request, double retryAfter);

    /** Schedules one call of {@link AdmissionController#wakeUp} at or after the time; the call can't be cancelled. */
    void wakeUpAt(double time);

    /**
     * Whether the load balancer has capacity for another request. Called only if
     * {@link AdmissionConfig#followLoadBalancer} is set.
     */
    boolean loadBalancerHasCapacity();
}
