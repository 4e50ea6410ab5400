package portrelay.model;

import java.util.List;

/** All that the settings say to the decisions. */
public record Deployment(List<Offering> offerings, List<Tenant> tenants, Permits permits, ColdRule cold,
        ListRule list, Site site) {
}
