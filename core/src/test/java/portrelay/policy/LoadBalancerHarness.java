package portrelay.policy;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.AttemptRules;
import portrelay.model.CellId;
import portrelay.model.DiscoveryRules;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.LoadBalancerActions;
import portrelay.model.LoadBalancerConfig;
import portrelay.model.LoadReport;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.SlowStartRule;
import portrelay.model.TenantId;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** A load balancer with a manual clock that records its actions; tests play clients, upstreams and peers. */
class LoadBalancerHarness implements LoadBalancerActions {

    static final int SAFE = 0;
    static final int KEYED_IN_CELL = 1;
    static final int UNSAFE = 2;
    static final int KEYED = 3;
    static final double MAX_LIST_AGE_SECONDS = 10;
    static final SlowStartRule SLOW_START = new SlowStartRule(0.2, 10, 3, 1);
    static final AttemptRules ATTEMPT_RULES = new AttemptRules(4, true, true, true, 2);
    static final List<RequestClass> REQUEST_CLASSES = List.of(
            requestClass(SAFE, RequestClass.Idempotency.SAFE, RequestClass.DeduplicationScope.ALL),
            requestClass(KEYED_IN_CELL, RequestClass.Idempotency.KEYED, RequestClass.DeduplicationScope.CELL),
            requestClass(UNSAFE, RequestClass.Idempotency.UNSAFE, RequestClass.DeduplicationScope.ALL),
            requestClass(KEYED, RequestClass.Idempotency.KEYED, RequestClass.DeduplicationScope.ALL));

    static final int ALL_SIDECARS = -1;
    static final Topology STANDALONE =
            new Topology(0, 1, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, false, false);
    static final Topology PROBING =
            new Topology(0, 50, null, Topology.Weights.SILENT, Topology.Reports.WITH_PROBES, false, true);

    /** One of ten sidecars, in a zone whose upstreams are 6 * zone and the next five. */
    static Topology sharingLoad(int sidecar, int zone) {
        return new Topology(
                sidecar, 10, new ZoneId(zone), Topology.Weights.LIVE, Topology.Reports.WITH_ANSWERS, true, false);
    }

    record Message(int to, String text) {}

    record Sent(RequestId request, int index, UpstreamId upstream, double time) {}

    final List<Sent> sent = new ArrayList<>();
    final List<RequestId> rejected = new ArrayList<>();
    double retryAfter;
    final List<RequestId> failed = new ArrayList<>();
    final List<Sent> cancelled = new ArrayList<>();
    final List<Double> wakeUps = new ArrayList<>();
    final Map<RequestId, Integer> attempts = new LinkedHashMap<>();
    final List<UpstreamId> probed = new ArrayList<>();
    final List<UpstreamId> idleClosed = new ArrayList<>();
    final List<Message> messages = new ArrayList<>();
    int discoveryPolls;
    boolean canSendToPeers = true;
    private final Topology topology;
    double now = 100;
    LoadBalancer loadBalancer;

    LoadBalancerHarness(long seed) {
        this(seed, 1);
    }

    LoadBalancerHarness(long seed, int sidecars) {
        this(seed, new Topology(0, sidecars, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, false, false));
    }

    LoadBalancerHarness(long seed, Topology topology) {
        this.topology = topology;
        restart(seed);
    }

    final void restart(long seed) {
        wakeUps.clear();
        attempts.clear();
        loadBalancer = new LoadBalancer(
                this,
                seed,
                new LoadBalancerConfig(
                        REQUEST_CLASSES,
                        List.of(),
                        ATTEMPT_RULES,
                        SLOW_START,
                        new DiscoveryRules(true, MAX_LIST_AGE_SECONDS),
                        topology));
        loadBalancer.start(now);
    }

    private static RequestClass requestClass(
            int id, RequestClass.Idempotency idempotency, RequestClass.DeduplicationScope scope) {
        return new RequestClass(new RequestClassId(id), idempotency, scope, 0.4, 2, 0.7, 1, 0.2, false);
    }

    /** Upstreams 0 to 2 share one cell, 3 to 5 the next, and so on. */
    static Endpoint endpoint(int upstream, Endpoint.Health health, double startedAt) {
        return new Endpoint(
                new UpstreamId(upstream),
                health,
                startedAt,
                1,
                new CellId(upstream / 3),
                new ZoneId(upstream / 6),
                new InstanceTypeId(upstream % 2));
    }

    /** An incremental list of upstreams from 0 on with these weights. */
    void listWeights(double... weights) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            Endpoint listed = endpoint(i, Endpoint.Health.READY, 0);
            endpoints.add(new Endpoint(
                    listed.id(), listed.health(), 0, weights[i], listed.cell(), listed.zone(), listed.instanceType()));
        }
        loadBalancer.endpointsUpdated(now, EndpointUpdate.INCREMENTAL, endpoints);
    }

    void listReady(int upstreams) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            endpoints.add(endpoint(i, Endpoint.Health.READY, 0));
        }
        loadBalancer.endpointsUpdated(now, EndpointUpdate.CACHED, endpoints);
        loadBalancer.endpointsUpdated(now, EndpointUpdate.COMPLETE, endpoints);
    }

    RequestId arrive(String name, int requestClass, double budgetSeconds) {
        RequestId id = new RequestId(name);
        loadBalancer.requestArrived(
                now,
                new RequestArrival(
                        id,
                        new RequestClassId(requestClass),
                        (TenantId) null,
                        null,
                        now + budgetSeconds,
                        Double.NaN,
                        false));
        return id;
    }

    void attemptEnds(Sent attempt, Outcome outcome) {
        attemptEnds(attempt, outcome, null);
    }

    void attemptEnds(Sent attempt, Outcome outcome, LoadReport report) {
        boolean isRequestEnded = outcome == Outcome.SERVED;
        loadBalancer.attemptEnded(now, attempt.request(), attempt.index(), outcome, isRequestEnded, report);
    }

    Sent lastSent() {
        return sent.get(sent.size() - 1);
    }

    /** Moves the clock on, with the wake-ups that fall due on the way. */
    void advance(double seconds) {
        double until = now + seconds;
        while (true) {
            double next = wakeUps.stream().mapToDouble(each -> each).min().orElse(Double.POSITIVE_INFINITY);
            if (next > until) {
                break;
            }
            wakeUps.remove(next);
            now = Math.max(now, next);
            loadBalancer.wakeUp(now);
        }
        now = until;
    }

    @Override
    public void sendAttempt(RequestId request, UpstreamId upstream) {
        int index = attempts.merge(request, 1, Integer::sum) - 1;
        sent.add(new Sent(request, index, upstream, now));
    }

    @Override
    public void cancelAttempt(RequestId request, int attempt) {
        cancelled.add(new Sent(request, attempt, null, now));
    }

    @Override
    public void reject(RequestId request, double retryAfter) {
        rejected.add(request);
        this.retryAfter = retryAfter;
    }

    @Override
    public void fail(RequestId request) {
        failed.add(request);
    }

    @Override
    public void wakeUpAt(double time) {
        wakeUps.add(time);
    }

    @Override
    public void pollDiscovery() {
        discoveryPolls++;
    }

    @Override
    public void probeLoad(UpstreamId upstream) {
        probed.add(upstream);
    }

    @Override
    public void sendToPeer(int sidecar, String text) {
        messages.add(new Message(sidecar, text));
    }

    @Override
    public boolean canSendToPeers() {
        return canSendToPeers;
    }

    @Override
    public void broadcastToPeers(String text) {
        messages.add(new Message(ALL_SIDECARS, text));
    }

    @Override
    public void closeIdleConnections(UpstreamId upstream) {
        idleClosed.add(upstream);
    }

    @Override
    public void log(String text) {}
}
