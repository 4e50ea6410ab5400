package portrelay.policy;

import java.util.ArrayList;
import java.util.List;
import portrelay.model.RequestState;
import portrelay.model.TenantUsage;

/** The requests that are queued until there is capacity, and the order in which they get it. */
final class PendingRequestQueue {

    /** Share of the latency objective, or of a shorter time to the deadline, for which a request is queued at most. */
    private static final double MAX_WAIT_SHARE = 0.11;

    /** Latency assumed for each class until its own is known, so that at first only the priority weights decide. */
    private static final double TYPICAL_LATENCY_PRIOR_SECONDS = 0.1;

    private final LatencyTracker latencies;
    private final TenantUsage tenantUsage;
    private final List<OpenRequest> requests = new ArrayList<>();

    PendingRequestQueue(LatencyTracker latencies, TenantUsage tenantUsage) {
        this.latencies = latencies;
        this.tenantUsage = tenantUsage;
    }

    /** Returns the time at which the request stops waiting for capacity. */
    static double waitExpiresAt(OpenRequest request) {
        double budgetSeconds =
                Math.min(request.requestClass.latencyObjective(), request.arrival.deadline() - request.arrivedAt);
        return request.arrivedAt + budgetSeconds * MAX_WAIT_SHARE;
    }

    /**
     * Adds the request to the queue.
     *
     * @return whether it was added; false if it is already in the queue
     */
    boolean add(OpenRequest request) {
        return !requests.contains(request) && requests.add(request);
    }

    void remove(OpenRequest request) {
        requests.remove(request);
    }

    /** Removes the requests whose state has changed since they were queued. */
    void removeNoLongerQueued() {
        requests.removeIf(each -> each.state() != RequestState.QUEUED);
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /**
     * Whether any request in the queue is still in the state QUEUED; others stay until {@link #removeNoLongerQueued}.
     */
    boolean hasQueued() {
        return requests.stream().anyMatch(each -> each.state() == RequestState.QUEUED);
    }

    /** Returns the request that gets capacity first: the one of the highest priority, and of equal ones the oldest. */
    OpenRequest highestPriority() {
        OpenRequest highest = requests.get(0);
        for (OpenRequest request : requests) {
            highest = priority(request) > priority(highest) ? request : highest;
        }
        return highest;
    }

    /** Returns the priority weight per second of typical latency, reduced if the tenant exceeds its allotted share. */
    private double priority(OpenRequest request) {
        return request.requestClass.priorityWeight()
                / latencies.typicalSeconds(request.requestClass, TYPICAL_LATENCY_PRIOR_SECONDS)
                * tenantUsage.shareFactor(request.arrival.tenant());
    }
}
