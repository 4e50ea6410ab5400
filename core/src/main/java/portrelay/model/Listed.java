package portrelay.model;

/** One upstream as the list tells of it; onlineSince is 0 when it started long ago. */
public record Listed(
        UpstreamId id, Health health, double onlineSince, double scale, GroupId cell, ZoneId zone, ShapeId shape) {

    public enum Health {
        READY,
        DRAINING,
        GONE
    }
}
