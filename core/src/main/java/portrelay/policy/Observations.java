package portrelay.policy;

import portrelay.model.AdaptiveLimit;
import portrelay.model.IdleConnectionAge;
import portrelay.model.TenantUsage;

/** The statistics and adaptive limits that are learned from requests and from the outcomes of attempts. */
record Observations(
        LatencyTracker latencies,
        OutlierDetector outliers,
        AdaptiveLimit concurrencyLimit,
        TenantUsage tenantUsage,
        IdleConnectionAge idleConnectionAge) {}
