package portrelay.model;

/** A query on arrival. Tenant and key may be null; work is NaN where no estimate came. */
public record Asked(QueryId id, OfferingId offering, TenantId tenant, String key, double cutOffAt,
        double work, boolean again) {
}
