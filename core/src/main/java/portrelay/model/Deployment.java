package portrelay.model;

import java.util.List;

/** All that the settings say to the decisions. */
public record Deployment(
        List<Offering> offerings, List<Tenant> tenants, Permits permits, ColdRule cold, ListRule list, Site site) {

    /** The longest target time of any offering in seconds; 0 where there is none. */
    public double longestTarget() {
        double longest = 0;
        for (Offering each : offerings) {
            longest = Math.max(longest, each.targetTime());
        }
        return longest;
    }

    /** The longest cut-off of any offering in seconds: nothing is out for longer. 0 where there is none. */
    public double longestCutOff() {
        return offerings.stream().mapToDouble(Offering::cutOff).max().orElse(0);
    }
}
