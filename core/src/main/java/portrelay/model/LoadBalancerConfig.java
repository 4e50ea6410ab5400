package portrelay.model;

import java.util.List;

/** The settings that the load balancer's decisions depend on; request classes and tenants are indexed by their ids. */
public record LoadBalancerConfig(
        List<RequestClass> requestClasses,
        List<Tenant> tenants,
        AttemptRules attemptRules,
        SlowStartRule slowStart,
        DiscoveryRules discovery,
        Topology topology) {

    /** Returns the longest latency objective of all request classes in seconds; 0 if there are no classes. */
    public double maxLatencyObjective() {
        return requestClasses.stream()
                .mapToDouble(RequestClass::latencyObjective)
                .max()
                .orElse(0);
    }

    /**
     * Returns the longest deadline of all request classes in seconds, which is the longest time that an attempt is in
     * flight; 0 if there are no classes.
     */
    public double maxDeadline() {
        return requestClasses.stream().mapToDouble(RequestClass::deadline).max().orElse(0);
    }
}
