package portrelay.model;

/**
 * One upstream as the endpoint list describes it.
 *
 * @param startedAt when its process started; 0 or less if it has long been warm
 * @param weight its listed weight; {@link Topology.Weights} says what it stands for
 * @param cell its cell: the upstreams among which it recognises repeats of a keyed request, if the deduplication scope
 *     is the cell
 */
public record Endpoint(
        UpstreamId id,
        Health health,
        double startedAt,
        double weight,
        CellId cell,
        ZoneId zone,
        InstanceTypeId instanceType) {

    /**
     * The state that the endpoint list gives. Only a ready upstream may be sent new attempts; a gone one is removed
     * once no attempt is in flight there.
     */
    public enum Health {
        READY,
        DRAINING,
        GONE
    }
}
