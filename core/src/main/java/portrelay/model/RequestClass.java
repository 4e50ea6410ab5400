package portrelay.model;

/**
 * A class of requests as the settings describe it.
 *
 * @param deduplicationScope the upstreams among which a repeat of a keyed request is recognised
 * @param latencyObjective seconds from arrival within which an answer has its full value
 * @param deadline seconds from arrival after which an answer has no value
 * @param deduplicationWindow seconds for which an upstream recognises a repeat of a keyed request
 * @param priorityWeight the value of an answer within the latency objective
 * @param lateValueShare the share of that value that a later answer has, 0 to 1
 * @param streamed whether answers are streamed
 */
public record RequestClass(
        RequestClassId id,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double latencyObjective,
        double deadline,
        double deduplicationWindow,
        double priorityWeight,
        double lateValueShare,
        boolean streamed) {

    /** Whether a request may be sent again after it may have been executed. */
    public enum Idempotency {
        /** Anywhere, at any time. */
        SAFE,
        /** Within the deduplication scope and window, with its idempotency key. */
        KEYED,
        /** Never. */
        UNSAFE
    }

    /** The upstreams that recognise a repeat of a keyed request. */
    public enum DeduplicationScope {
        ALL,
        ZONE,
        CELL
    }

    /** Whether the second upstream recognises a repeat of a keyed request that the first one may have executed. */
    public boolean sharesDeduplication(Endpoint first, Endpoint second) {
        return switch (deduplicationScope) {
            case ALL -> true;
            case ZONE -> first.zone().equals(second.zone());
            case CELL -> first.cell().equals(second.cell());
        };
    }
}
