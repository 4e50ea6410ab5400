package portrelay.admission;

import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/**
 * Configuration of admission control, read from the section {@code door} of a configuration file. No request is ever
 * queued unless {@code maxInFlight} bounds the requests in flight or {@code followLoadBalancer} is set.
 *
 * @param flowsBy what identifies a flow, whose requests share a queue; the tenant by default
 * @param maxInFlight maximum number of requests that are admitted and not yet answered; 0, the default, for no bound
 * @param followLoadBalancer whether requests queue while the load balancer has no capacity; false by default
 * @param maxQueued maximum number of queued requests, from 1; 1024 by default
 * @param maxQueuedBytes maximum size of all queued requests in bytes, from 1 KiB; 4 MiB by default
 * @param maxFlows maximum number of flows that have a queue of their own, from 1; 256 by default
 * @param waitShare the share of a request's time to its deadline for which it may be queued, 0.001 to 0.9; 0.25 by
 *     default
 * @param counterLogInterval seconds between the log lines with the counters of the tenants, from 0.1; 10 by default
 * @param connectionCapacity configuration of client connections
 */
public record AdmissionConfig(
        FlowsBy flowsBy,
        int maxInFlight,
        boolean followLoadBalancer,
        int maxQueued,
        long maxQueuedBytes,
        int maxFlows,
        double waitShare,
        double counterLogInterval,
        ConnectionCapacityConfig connectionCapacity) {

    /** What identifies a flow. */
    public enum FlowsBy {
        /** The tenant. */
        TENANT,
        /** The address of the client. */
        CLIENT,
        /** The tenant and the address of the client. */
        BOTH
    }

    /** The default values of all fields. */
    public static final AdmissionConfig DEFAULTS = new AdmissionConfig(
            FlowsBy.TENANT, 0, false, 1024, 4 << 20, 256, 0.25, 10, ConnectionCapacityConfig.DEFAULTS);

    /** Memory that a queued request takes besides its own bytes, estimated from its fields. */
    private static final int BYTES_PER_REQUEST = 400;

    /** Memory that a flow takes, estimated from its fields. */
    private static final int BYTES_PER_FLOW = 600;

    /**
     * Reads the section {@code door}.
     *
     * @throws InvalidSettingException for the first field that is unknown, of the wrong type or out of range
     */
    public static AdmissionConfig read(JsonFields fields) throws InvalidSettingException {
        fields.rejectUnknown(
                "flows-by",
                "most-inside",
                "follow-module",
                "most-waiting",
                "most-waiting-kib",
                "most-flows",
                "wait-share",
                "tell-every-s",
                "connections");
        FlowsBy flowsBy = switch (fields.string("flows-by", "tenant")) {
            case "tenant" -> FlowsBy.TENANT;
            case "client" -> FlowsBy.CLIENT;
            case "both" -> FlowsBy.BOTH;
            default -> throw fields.invalid("flows-by", "tenant, client or both");
        };
        return new AdmissionConfig(
                flowsBy,
                fields.integer("most-inside", DEFAULTS.maxInFlight, 0, 1_000_000),
                fields.has("follow-module") ? fields.requiredBoolean("follow-module") : DEFAULTS.followLoadBalancer,
                fields.integer("most-waiting", DEFAULTS.maxQueued, 1, 1_000_000),
                fields.integer("most-waiting-kib", (int) (DEFAULTS.maxQueuedBytes >> 10), 1, 1 << 20) * 1024L,
                fields.integer("most-flows", DEFAULTS.maxFlows, 1, 100_000),
                fields.range("wait-share", DEFAULTS.waitShare, 0.001, 0.9),
                fields.range("tell-every-s", DEFAULTS.counterLogInterval, 0.1, 86_400),
                fields.has("connections")
                        ? ConnectionCapacityConfig.read(fields.section("connections"))
                        : DEFAULTS.connectionCapacity);
    }

    /**
     * Returns an estimate of the maximum memory of the queue, in bytes, without the memory that the HTTP library takes
     * for the queued requests.
     */
    public long maxQueueMemory() {
        // A flow may be kept by the queue and by both maps of ReturningClients.
        long flows = 3L * maxFlows + FairQueue.SHARED_FLOWS + ReturningClients.SHARED_FLOWS;
        return maxQueuedBytes + (long) maxQueued * BYTES_PER_REQUEST + flows * BYTES_PER_FLOW;
    }
}
