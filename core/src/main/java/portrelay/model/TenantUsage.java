package portrelay.model;

import java.util.ArrayList;
import java.util.List;

/** Compares each tenant's share of recent requests with its allotted share. */
public final class TenantUsage {

    private final List<Tenant> tenants;
    private final List<Samples> recent = new ArrayList<>();

    /**
     * Creates an instance without requests.
     *
     * @param samples the number of recent requests that are considered
     */
    public TenantUsage(List<Tenant> tenants, int samples) {
        this.tenants = tenants;
        tenants.forEach(each -> recent.add(new Samples(samples)));
    }

    /** Records a request of the tenant with this index; a request without a tenant, index -1, is not counted. */
    public void record(int tenant) {
        for (int i = 0; i < recent.size() && tenant >= 0; i++) {
            recent.get(i).add(tenant == i ? 1 : 0);
        }
    }

    /**
     * Returns the tenant's allotted share divided by its share of recent requests; 1 if it stays within its allotted
     * share or is null.
     */
    public double shareFactor(TenantId tenant) {
        double usedShare = tenant == null ? 0 : recent.get(tenant.value()).mean(0);
        return usedShare == 0 ? 1 : Math.min(1, tenants.get(tenant.value()).share() / usedShare);
    }
}
