package portrelay.fleet;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import portrelay.model.AttemptRules;
import portrelay.model.DiscoveryRules;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.LoadBalancerConfig;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.SlowStartRule;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.policy.LoadBalancer;

/**
 * Sidecars and upstreams in virtual time, with the discovery service and the network between them. Each sidecar runs
 * the production load balancer for each service that it calls. All random numbers come from one seed; the system clock
 * is read only to measure the cost of decisions.
 */
final class SimulatedFleet {

    /** Bytes of the IPv4 and UDP headers. */
    static final int DATAGRAM_HEADER_BYTES = 28;

    /** The delay of an answer, and the minimum delay of a message between sidecars. */
    static final double NETWORK_SECONDS = 0.0005;

    /**
     * The drain grace of the settings plus the protocol's tolerance. No attempt may be sent to an upstream that the
     * sidecar has known to be draining for longer.
     */
    static final double DRAIN_GRACE_SECONDS = 0.55;

    static final SlowStartRule SLOW_START = new SlowStartRule(0.3, 8, 4, 3);

    private static final int REGIONS = 3;
    private static final double LATENCY_OBJECTIVE_SECONDS = 0.4;
    private static final double DEADLINE_SECONDS = 2;
    /** The mean processing time of a request on one core. */
    private static final double WORK_SECONDS = 0.05;

    private static final double UTILIZATION = 0.5;
    private static final double MESSAGE_LOSS_SHARE = 0.01;
    private static final double MAX_MESSAGE_JITTER_SECONDS = 0.01;
    private static final double MAX_LIST_DELAY_SECONDS = 0.5;
    private static final double MAX_LIST_AGE_SECONDS = 10;
    private static final AttemptRules ATTEMPT_RULES = new AttemptRules(4, true, true, false, 0.25);
    private static final List<RequestClass> REQUEST_CLASSES = List.of(
            requestClass(0, RequestClass.Idempotency.SAFE, RequestClass.DeduplicationScope.ALL),
            requestClass(1, RequestClass.Idempotency.KEYED, RequestClass.DeduplicationScope.CELL),
            requestClass(2, RequestClass.Idempotency.UNSAFE, RequestClass.DeduplicationScope.ALL));
    /** The class indexes of ten requests, in the proportions of the operators' deployments. */
    private static final int[] CLASS_MIX = {0, 0, 0, 0, 0, 0, 1, 1, 2, 2};

    final EventQueue events = new EventQueue();
    final FleetCounters counters = new FleetCounters();
    final FleetSize size;
    final List<SimulatedSidecar> sidecars = new ArrayList<>();
    final List<SimulatedUpstream> upstreams = new ArrayList<>();
    private final SplittableRandom random;
    private final Map<UpstreamId, SimulatedUpstream> upstreamsById = new HashMap<>();
    private final List<List<SimulatedUpstream>> upstreamsByService = new ArrayList<>();
    private final List<List<SimulatedSidecar>> callersByService = new ArrayList<>();
    private final int coresPerUpstream;
    private final int zones;
    private boolean areRegionsPartitioned;

    SimulatedFleet(long seed, FleetSize size, int zones) {
        this.size = size;
        this.zones = zones;
        random = new SplittableRandom(seed);
        double requestsPerUpstream = size.requestsPerSecond() * size.sidecars() / size.upstreams();
        coresPerUpstream = (int) Math.max(1, Math.ceil(requestsPerUpstream * WORK_SECONDS / UTILIZATION));
        int[] serviceSizes = serviceSizes(size.upstreams(), size.services());
        for (int service = 0; service < serviceSizes.length; service++) {
            upstreamsByService.add(new ArrayList<>());
            callersByService.add(new ArrayList<>());
            for (int i = 0; i < serviceSizes[service]; i++) {
                addUpstream(service);
            }
        }
        for (int process = 0; process < size.sidecars(); process++) {
            for (int service : drawServices(serviceSizes)) {
                List<SimulatedSidecar> callers = callersByService.get(service);
                SimulatedSidecar sidecar =
                        new SimulatedSidecar(this, process, service, callers.size(), process % REGIONS);
                callers.add(sidecar);
                sidecars.add(sidecar);
            }
        }
        // Sidecars start once all exist, because their settings include the number of sidecars that call a service.
        sidecars.forEach(SimulatedSidecar::start);
        sidecars.forEach(this::scheduleNextRequest);
    }

    private static RequestClass requestClass(
            int id, RequestClass.Idempotency idempotency, RequestClass.DeduplicationScope scope) {
        return new RequestClass(
                new RequestClassId(id),
                idempotency,
                scope,
                LATENCY_OBJECTIVE_SECONDS,
                DEADLINE_SECONDS,
                1,
                1,
                0.2,
                false);
    }

    /**
     * Returns the number of upstreams of each service, at least 1: few large services and many small ones, with sizes
     * proportional to 1 / sqrt(rank).
     */
    private static int[] serviceSizes(int upstreams, int services) {
        int[] sizes = new int[services];
        Arrays.fill(sizes, 1);
        int remaining = upstreams - services;
        double sum = IntStream.range(0, services)
                .mapToDouble(i -> 1 / Math.sqrt(i + 1.0))
                .sum();
        for (int i = 0; i < services; i++) {
            sizes[i] += (int) (remaining / Math.sqrt(i + 1.0) / sum);
        }
        for (int i = 0, unassigned = upstreams - Arrays.stream(sizes).sum(); unassigned > 0; unassigned--) {
            sizes[i++ % services]++;
        }
        return sizes;
    }

    /**
     * Draws the services that one sidecar calls, without repetition, with probabilities proportional to their sizes.
     */
    private List<Integer> drawServices(int[] serviceSizes) {
        List<Integer> services = new ArrayList<>();
        while (services.size() < Math.min(size.servicesCalled(), serviceSizes.length)) {
            int upstream = random.nextInt(size.upstreams());
            int service = 0;
            for (; upstream >= serviceSizes[service]; service++) {
                upstream -= serviceSizes[service];
            }
            if (!services.contains(service)) {
                services.add(service);
            }
        }
        return services;
    }

    SimulatedUpstream addUpstream(int service) {
        int number = upstreams.size();
        SimulatedUpstream upstream =
                new SimulatedUpstream(number, service, number % zones, coresPerUpstream, WORK_SECONDS, SLOW_START);
        upstreams.add(upstream);
        upstreamsByService.get(service).add(upstream);
        upstreamsById.put(upstream.id, upstream);
        return upstream;
    }

    LoadBalancer createLoadBalancer(SimulatedSidecar sidecar) {
        Topology topology = new Topology(
                sidecar.index,
                callersByService.get(sidecar.service).size(),
                null,
                Topology.Weights.NOMINAL,
                Topology.Reports.SILENT,
                size.hasMessages(),
                false);
        return new LoadBalancer(
                sidecar,
                random.nextLong(),
                new LoadBalancerConfig(
                        REQUEST_CLASSES,
                        List.of(),
                        ATTEMPT_RULES,
                        SLOW_START,
                        new DiscoveryRules(true, MAX_LIST_AGE_SECONDS),
                        topology));
    }

    private void scheduleNextRequest(SimulatedSidecar sidecar) {
        double mean = size.servicesCalled() / size.requestsPerSecond();
        events.schedule(-mean * Math.log(1 - random.nextDouble()), () -> {
            sidecar.requestArrived(REQUEST_CLASSES.get(CLASS_MIX[random.nextInt(CLASS_MIX.length)]), DEADLINE_SECONDS);
            scheduleNextRequest(sidecar);
        });
    }

    SimulatedUpstream upstream(UpstreamId id) {
        return upstreamsById.get(id);
    }

    List<SimulatedUpstream> upstreamsOf(int service) {
        return List.copyOf(upstreamsByService.get(service));
    }

    /** Draws the work of one request, as a multiple of the mean, from an exponential distribution. */
    double drawWork() {
        return -Math.log(1 - random.nextDouble());
    }

    /** Returns the random number generator of the run, which is initialized with the run's seed. */
    SplittableRandom random() {
        return random;
    }

    // ---- Network partitions -----------------------------------------------------------------------------

    void setRegionsPartitioned(boolean arePartitioned) {
        areRegionsPartitioned = arePartitioned;
    }

    boolean isPartitioned(int region, int zone) {
        return areRegionsPartitioned && region != zone % REGIONS;
    }

    // ---- Discovery --------------------------------------------------------------------------------------

    /**
     * Sends a sidecar the complete endpoint list of its service at once, without the upstreams that its region can't
     * reach.
     */
    void sendEndpoints(SimulatedSidecar to) {
        List<Endpoint> endpoints = upstreamsByService.get(to.service).stream()
                .filter(each -> !each.isGone && !isPartitioned(to.region, each.zone))
                .map(SimulatedUpstream::endpoint)
                .toList();
        to.endpointsUpdated(endpoints, EndpointUpdate.COMPLETE);
    }

    /** Sends each caller of the service the complete endpoint list, each after a random delay of its own. */
    void announceChange(int service) {
        callersByService
                .get(service)
                .forEach(each ->
                        events.schedule(random.nextDouble() * MAX_LIST_DELAY_SECONDS, () -> sendEndpoints(each)));
    }

    void announceChangeOfAllServices() {
        IntStream.range(0, upstreamsByService.size()).forEach(this::announceChange);
    }

    // ---- Messages ---------------------------------------------------------------------------------------

    void sendToPeer(SimulatedSidecar from, int to, String text) {
        List<SimulatedSidecar> peers = callersByService.get(from.service);
        if (to < peers.size()) {
            deliver(from, peers.get(to), text);
        }
    }

    void broadcast(SimulatedSidecar from, String text) {
        callersByService.get(from.service).forEach(to -> deliver(from, to, text));
    }

    private void deliver(SimulatedSidecar from, SimulatedSidecar to, String text) {
        if (from != to
                && random.nextDouble() >= MESSAGE_LOSS_SHARE
                && !(areRegionsPartitioned && from.region != to.region)) {
            events.schedule(
                    NETWORK_SECONDS + random.nextDouble() * MAX_MESSAGE_JITTER_SECONDS,
                    () -> to.peerMessageReceived(from.index, text));
        }
    }
}
