package portrelay.fleet;

/**
 * The size of a simulated fleet.
 *
 * @param sidecars the number of sidecars
 * @param upstreams the number of upstreams of all services together
 * @param services the number of services
 * @param servicesCalled the number of services that each sidecar calls, with a load balancer for each
 * @param requestsPerSecond the request rate of each sidecar over all services that it calls
 * @param hasMessages whether sidecars can send each other messages
 */
public record FleetSize(
        int sidecars, int upstreams, int services, int servicesCalled, double requestsPerSecond, boolean hasMessages) {

    /** The number of services in the fleet that the operators plan. */
    private static final int PLANNED_SERVICES = 280;

    /** The number of sidecars in that fleet. */
    private static final int PLANNED_SIDECARS = 1800;

    /**
     * Returns a fleet with one upstream for each sidecar, and with as many services in proportion as in the fleet that
     * the operators plan.
     */
    public static FleetSize ofManyServices(
            int sidecars, int servicesCalled, double requestsPerSecond, boolean hasMessages) {
        int services = Math.max(1, sidecars * PLANNED_SERVICES / PLANNED_SIDECARS);
        return new FleetSize(
                sidecars, sidecars, services, Math.min(servicesCalled, services), requestsPerSecond, hasMessages);
    }

    /** Returns a fleet with a single service, which all sidecars call. */
    public static FleetSize ofOneService(int sidecars, int upstreams, double requestsPerSecond, boolean hasMessages) {
        return new FleetSize(sidecars, upstreams, 1, 1, requestsPerSecond, hasMessages);
    }
}
