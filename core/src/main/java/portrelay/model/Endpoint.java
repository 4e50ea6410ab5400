package portrelay.model;

/**
 * One upstream as the endpoint list describes it.
 *
 * @param startedAt when its process started; 0 or before where it has been warm for long
 * @param weight what {@link Topology.Weights} says
 * @param cell the upstreams among which it recognises repeats of a keyed request, if the scope is the cell
 */
public record Endpoint(
        UpstreamId id,
        Health health,
        double startedAt,
        double weight,
        CellId cell,
        ZoneId zone,
        InstanceTypeId instanceType) {

    /** Only a ready upstream may get new attempts; a gone one is forgotten once nothing is in flight there. */
    public enum Health {
        READY,
        DRAINING,
        GONE
    }
}
