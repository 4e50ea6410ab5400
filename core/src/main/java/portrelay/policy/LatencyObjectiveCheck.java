package portrelay.policy;

import portrelay.model.TenantUsage;

/** Checks whether a request can still be served within its latency objective. */
final class LatencyObjectiveCheck {

    /** Share of the allowed time that a tenant's requests keep, however far the tenant exceeds its allotted share. */
    private static final double MIN_TENANT_FACTOR = 0.7;

    /** The remaining share of the allowed time; a tenant keeps less of it the further it exceeds its allotted share. */
    private static final double VARIABLE_TENANT_FACTOR = 0.3;

    private final LatencyTracker latencies;
    private final TenantUsage tenantUsage;

    LatencyObjectiveCheck(LatencyTracker latencies, TenantUsage tenantUsage) {
        this.latencies = latencies;
        this.tenantUsage = tenantUsage;
    }

    /**
     * Whether the sum of the time since arrival and the expected latency stays within a share of the latency objective.
     * Prevents queues in which every answer is late.
     *
     * @param latencyRatio the expected latency as a multiple of the typical latency
     * @param objectiveShare the share for a tenant that does not exceed its allotted share
     */
    boolean isExpectedToMeet(OpenRequest request, double latencyRatio, double objectiveShare, double nowSeconds) {
        double shareFactor = tenantUsage.shareFactor(request.arrival.tenant());
        double allowedShare = objectiveShare * (MIN_TENANT_FACTOR + VARIABLE_TENANT_FACTOR * shareFactor);
        double expectedSeconds = latencyRatio * latencies.typicalSeconds(request.requestClass);
        return nowSeconds - request.arrivedAt + expectedSeconds
                <= request.requestClass.latencyObjective() * allowedShare;
    }
}
