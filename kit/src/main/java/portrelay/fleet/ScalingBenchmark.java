package portrelay.fleet;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import portrelay.model.AttemptRules;
import portrelay.model.CellId;
import portrelay.model.DiscoveryRules;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.LoadBalancerActions;
import portrelay.model.LoadBalancerConfig;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.SlowStartRule;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;
import portrelay.policy.LoadBalancer;

/**
 * Measures the cost of one sidecar's production load balancer as a function of the length of its endpoint list: the
 * time for the first list, a changed row, a request and a received message, and the memory. Times are medians of
 * several measurements after a warm-up; memory is the maximum.
 */
public final class ScalingBenchmark {

    private static final int MEASUREMENTS = 7;
    private static final int WARM_UPS = 3;
    private static final int REQUESTS = 400;
    private static final int CHANGED_ROWS = 10;
    private static final double START_TIME = 100;
    private static final double DEADLINE_SECONDS = 2;
    private static final double LATENCY_SECONDS = 0.02;
    private static final double PAUSE_SECONDS = 0.005;
    private static final double NANOS_PER_MICRO = 1e3;
    private static final List<RequestClass> REQUEST_CLASSES = List.of(new RequestClass(
            new RequestClassId(0),
            RequestClass.Idempotency.SAFE,
            RequestClass.DeduplicationScope.ALL,
            0.4,
            DEADLINE_SECONDS,
            0,
            1,
            0,
            false));

    private ScalingBenchmark() {}

    /** The results of one measurement: times in microseconds, and bytes of memory. */
    private record Costs(
            double firstListMicros,
            double changedRowMicros,
            double requestMicros,
            double messageMicros,
            double memoryBytes) {}

    /**
     * Measures the load balancer of one sidecar.
     *
     * @param upstreams the number of upstreams in its endpoint list
     * @param sidecars the number of sidecars that call the same service
     * @param hasMessages whether these sidecars can send each other messages
     * @return the figures by name: times in microseconds, and bytes of memory
     */
    public static Map<String, Object> measure(int upstreams, int sidecars, boolean hasMessages) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            endpoints.add(endpoint(i));
        }
        List<Costs> costs = new ArrayList<>();
        for (int i = -WARM_UPS; i < MEASUREMENTS; i++) {
            Costs measured = measureOnce(endpoints, i, sidecars, hasMessages);
            if (i >= 0) {
                costs.add(measured);
            }
        }
        Map<String, Object> figures = new LinkedHashMap<>();
        figures.put("upstreams", (double) upstreams);
        figures.put("sidecars", (double) sidecars);
        figures.put("messages", hasMessages);
        figures.put("first_list_us", median(costs, Costs::firstListMicros));
        figures.put("changed_row_us", median(costs, Costs::changedRowMicros));
        figures.put("request_us", median(costs, Costs::requestMicros));
        figures.put("word_us", median(costs, Costs::messageMicros));
        // The maximum: garbage of the previous measurement that is freed only during this one lowers its figure.
        figures.put(
                "memory_bytes",
                costs.stream().mapToDouble(Costs::memoryBytes).max().orElse(0));
        return figures;
    }

    /** Measures once, in a stack frame of its own, so that no object of one measurement is reachable in the next. */
    private static Costs measureOnce(List<Endpoint> endpoints, int seed, int sidecars, boolean hasMessages) {
        RecordingActions actions = new RecordingActions();
        long memoryBefore = usedMemory();
        LoadBalancer loadBalancer = new LoadBalancer(actions, seed, config(sidecars, hasMessages));
        loadBalancer.start(START_TIME);
        double firstList =
                measureMicros(() -> loadBalancer.endpointsUpdated(START_TIME, EndpointUpdate.COMPLETE, endpoints));
        double changedRow = measureMicros(() -> {
                    for (int i = 0; i < CHANGED_ROWS; i++) {
                        loadBalancer.endpointsUpdated(
                                START_TIME + 0.1, EndpointUpdate.INCREMENTAL, List.of(endpoint(i % endpoints.size())));
                    }
                })
                / CHANGED_ROWS;
        double[] now = {START_TIME + 1};
        double request = measureMicros(() -> {
                    for (int i = 0; i < REQUESTS; i++) {
                        serveRequest(loadBalancer, actions, new RequestId("q" + i), now);
                    }
                })
                / REQUESTS;
        String message = actions.lastMessage;
        double messageCost = message == null
                ? 0
                : measureMicros(() -> {
                            for (int i = 0; i < REQUESTS; i++) {
                                int from = 1 + i % Math.max(1, sidecars - 1);
                                loadBalancer.peerMessageReceived(now[0], from, message);
                            }
                        })
                        / REQUESTS;
        double memory = Math.max(0, usedMemory() - memoryBefore);
        // Keeps the load balancer reachable until its memory has been measured.
        loadBalancer.hasCapacity(now[0]);
        return new Costs(firstList, changedRow, request, messageCost, memory);
    }

    private static void serveRequest(LoadBalancer loadBalancer, RecordingActions actions, RequestId id, double[] now) {
        actions.lastUpstream = null;
        loadBalancer.requestArrived(
                now[0], new RequestArrival(id, new RequestClassId(0), null, null, now[0] + DEADLINE_SECONDS, 0, false));
        now[0] += LATENCY_SECONDS;
        if (actions.lastUpstream != null) {
            loadBalancer.attemptEnded(now[0], id, 0, Outcome.SERVED, true, null);
        }
        now[0] += PAUSE_SECONDS;
    }

    private static LoadBalancerConfig config(int sidecars, boolean hasMessages) {
        return new LoadBalancerConfig(
                REQUEST_CLASSES,
                List.of(),
                new AttemptRules(4, true, true, false, 0.25),
                new SlowStartRule(0.3, 8, 4, 3),
                new DiscoveryRules(true, 10),
                new Topology(0, sidecars, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, hasMessages, false));
    }

    private static Endpoint endpoint(int number) {
        return new Endpoint(
                new UpstreamId(number * SimulatedUpstream.ID_FACTOR),
                Endpoint.Health.READY,
                0,
                1,
                new CellId(number / 6),
                new ZoneId(number % 12),
                new InstanceTypeId(number % 3));
    }

    private static double measureMicros(Runnable action) {
        long startedAt = System.nanoTime();
        action.run();
        return (System.nanoTime() - startedAt) / NANOS_PER_MICRO;
    }

    private static double median(List<Costs> costs, ToDoubleFunction<Costs> cost) {
        return costs.stream().mapToDouble(cost).sorted().toArray()[costs.size() / 2];
    }

    private static long usedMemory() {
        System.gc();
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    /** Records the last attempt and the last message, and performs no action. */
    private static final class RecordingActions implements LoadBalancerActions {
        private UpstreamId lastUpstream;
        private String lastMessage;

        @Override
        public void sendAttempt(RequestId request, UpstreamId upstream) {
            lastUpstream = upstream;
        }

        @Override
        public void cancelAttempt(RequestId request, int attempt) {
            lastUpstream = null;
        }

        @Override
        public void reject(RequestId request, double retryAfter) {
            lastUpstream = null;
        }

        @Override
        public void fail(RequestId request) {
            lastUpstream = null;
        }

        @Override
        public void wakeUpAt(double time) {
            // Ignored: the benchmark's clock advances only in serveRequest.
        }

        @Override
        public void pollDiscovery() {
            // Ignored: the benchmark delivers the endpoint lists itself.
        }

        @Override
        public void probeLoad(UpstreamId upstream) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void sendToPeer(int sidecar, String text) {
            lastMessage = text;
        }

        @Override
        public void broadcastToPeers(String text) {
            lastMessage = text;
        }

        @Override
        public void closeIdleConnections(UpstreamId upstream) {
            throw new UnsupportedOperationException();
        }

        @Override
        public void log(String text) {
            // Ignored.
        }
    }
}
