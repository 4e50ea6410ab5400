package portrelay.model;

/** The index of a tenant in the settings, from 0. */
public record TenantId(int value) {

    /** Returns the tenant's index, or -1 for null. */
    public static int indexOf(TenantId tenant) {
        return tenant == null ? -1 : tenant.value;
    }
}
