package portrelay.model;

/**
 * A tenant as the settings describe it.
 *
 * @param share its share of the service, above 0 and at most 1
 * @param requestsPerSecond its quota over all sidecars
 */
public record Tenant(TenantId id, double share, double requestsPerSecond) {}
