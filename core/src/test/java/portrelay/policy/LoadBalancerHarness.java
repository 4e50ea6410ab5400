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

/**
 * A load balancer with a manual clock, whose actions are recorded. Tests act as its clients, upstreams, peers and
 * discovery. Times are in seconds.
 */
class LoadBalancerHarness implements LoadBalancerActions {

    // Ids of the request classes, which are indices of REQUEST_CLASSES.
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

    /** The receiver of a broadcast {@link Message}. */
    static final int ALL_SIDECARS = -1;
    /** One sidecar, which knows its own attempts only. */
    static final Topology STANDALONE =
            new Topology(0, 1, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, false, false);
    /** One of fifty sidecars that probe the load of upstreams and exchange no messages. */
    static final Topology PROBING =
            new Topology(0, 50, null, Topology.Weights.SILENT, Topology.Reports.WITH_PROBES, false, true);

    /** One of ten sidecars that share their load, in the zone of the six upstreams from 6 * zone on. */
    static Topology sharingLoad(int sidecar, int zone) {
        return new Topology(
                sidecar, 10, new ZoneId(zone), Topology.Weights.LIVE, Topology.Reports.WITH_ANSWERS, true, false);
    }

    /** A message to one peer, or to {@link #ALL_SIDECARS}. */
    record Message(int to, String text) {}

    /** An attempt that was sent or cancelled at a time; the upstream is null if it was cancelled. */
    record SentAttempt(RequestId request, int index, UpstreamId upstream, double time) {}

    final List<SentAttempt> sent = new ArrayList<>();
    final List<RequestId> rejected = new ArrayList<>();
    /** The Retry-After seconds of the last rejection. */
    double retryAfter;

    final List<RequestId> failed = new ArrayList<>();
    final List<SentAttempt> cancelled = new ArrayList<>();
    /** The times of the wake-ups that are still due. */
    final List<Double> wakeUps = new ArrayList<>();
    /** The number of attempts sent for each request. */
    final Map<RequestId, Integer> attemptCounts = new LinkedHashMap<>();

    final List<UpstreamId> probed = new ArrayList<>();
    /** The upstreams whose idle connections were closed. */
    final List<UpstreamId> idleConnectionsClosed = new ArrayList<>();

    final List<Message> messages = new ArrayList<>();
    int discoveryPolls;
    boolean canSendToPeers = true;
    private final Topology topology;
    double now = 100;
    LoadBalancer loadBalancer;

    /** Creates a standalone sidecar. */
    LoadBalancerHarness(long seed) {
        this(seed, 1);
    }

    /** Creates one of several sidecars that exchange no messages. */
    LoadBalancerHarness(long seed, int sidecars) {
        this(seed, new Topology(0, sidecars, null, Topology.Weights.NOMINAL, Topology.Reports.SILENT, false, false));
    }

    LoadBalancerHarness(long seed, Topology topology) {
        this.topology = topology;
        restart(seed);
    }

    /** Replaces the load balancer by a new one that knows no endpoint; recorded actions stay. */
    final void restart(long seed) {
        wakeUps.clear();
        attemptCounts.clear();
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

    /** Returns an endpoint: three consecutive ids share a cell, six a zone, and two instance types alternate. */
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

    /** Delivers an incremental update with the upstreams from 0 on, ready and with these weights. */
    void listWeights(double... weights) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < weights.length; i++) {
            Endpoint listed = endpoint(i, Endpoint.Health.READY, 0);
            endpoints.add(new Endpoint(
                    listed.id(), listed.health(), 0, weights[i], listed.cell(), listed.zone(), listed.instanceType()));
        }
        loadBalancer.endpointsUpdated(now, EndpointUpdate.INCREMENTAL, endpoints);
    }

    /** Delivers a cached and then a complete endpoint list of the given number of ready upstreams, from 0 on. */
    void listReady(int upstreams) {
        List<Endpoint> endpoints = new ArrayList<>();
        for (int i = 0; i < upstreams; i++) {
            endpoints.add(endpoint(i, Endpoint.Health.READY, 0));
        }
        loadBalancer.endpointsUpdated(now, EndpointUpdate.CACHED, endpoints);
        loadBalancer.endpointsUpdated(now, EndpointUpdate.COMPLETE, endpoints);
    }

    /** Delivers a request whose deadline is the given time from now. */
    RequestId requestArrives(String name, int requestClass, double budgetSeconds) {
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

    /** Ends an attempt; SERVED also ends its request. */
    void attemptEnds(SentAttempt attempt, Outcome outcome) {
        attemptEnds(attempt, outcome, null);
    }

    void attemptEnds(SentAttempt attempt, Outcome outcome, LoadReport report) {
        boolean isRequestEnded = outcome == Outcome.SERVED;
        loadBalancer.attemptEnded(now, attempt.request(), attempt.index(), outcome, isRequestEnded, report);
    }

    SentAttempt lastSent() {
        return sent.get(sent.size() - 1);
    }

    /** Advances the clock, and delivers the wake-ups that become due meanwhile at their times. */
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
        int index = attemptCounts.merge(request, 1, Integer::sum) - 1;
        sent.add(new SentAttempt(request, index, upstream, now));
    }

    @Override
    public void cancelAttempt(RequestId request, int attempt) {
        cancelled.add(new SentAttempt(request, attempt, null, now));
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
        idleConnectionsClosed.add(upstream);
    }

    @Override
    public void log(String text) {}
}
