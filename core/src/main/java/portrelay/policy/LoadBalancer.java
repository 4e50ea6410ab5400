package portrelay.policy;

import java.util.List;
import java.util.SplittableRandom;
import portrelay.model.AdaptiveLimit;
import portrelay.model.AttemptRules;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.IdleConnectionAge;
import portrelay.model.LoadBalancerActions;
import portrelay.model.LoadBalancerConfig;
import portrelay.model.LoadReport;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestId;
import portrelay.model.RequestInput;
import portrelay.model.RequestState;
import portrelay.model.TenantId;
import portrelay.model.TenantUsage;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;
import portrelay.model.WakeUp;
import portrelay.model.WatchSchedule;

/**
 * The load balancer of one sidecar. The caller passes in events in the order in which they happen, each with its time
 * in seconds; the resulting actions are executed through {@link LoadBalancerActions} before the call returns. Not
 * thread-safe: a single thread makes all calls. No call blocks.
 */
public final class LoadBalancer {

    /** The number of recent requests over which the usage share of each tenant is measured. */
    private static final int TENANT_USAGE_SAMPLES = 128;

    private final LoadBalancerActions actions;
    private final LoadBalancerConfig config;
    private final SplittableRandom random;
    private final FleetState fleet;
    private final Observations observations;
    private final PeerReports peerReports;
    private final UpstreamEligibility eligibility;
    private final LoadProbes probes;
    private final AttemptTracker attempts;
    private final WatchSchedule watchSchedule;
    private final WakeUp pendingWakeUp = new WakeUp();
    // Package-private for tests.
    final EndpointTable endpoints;
    final RequestLifecycle requests;
    final PendingRequestQueue queue;
    /** The time of the last event. */
    private double nowSeconds;

    private double lastArrivalAt;

    /**
     * Creates a load balancer without upstreams.
     *
     * @param seed determines all random draws: the same seed and the same events give the same actions
     */
    public LoadBalancer(LoadBalancerActions actions, long seed, LoadBalancerConfig config) {
        this.actions = actions;
        this.config = config;
        random = new SplittableRandom(seed);
        watchSchedule = new WatchSchedule(config.discovery());
        AttemptRules rules = config.attemptRules();
        AdaptiveLimit concurrencyLimit = new AdaptiveLimit();
        LatencyTracker latencies = new LatencyTracker(config.requestClasses().size());
        TenantUsage tenantUsage = new TenantUsage(config.tenants(), TENANT_USAGE_SAMPLES);
        observations = new Observations(
                latencies, new OutlierDetector(), concurrencyLimit, tenantUsage, new IdleConnectionAge());
        endpoints = new EndpointTable(config.topology(), config.maxDeadline(), random);
        fleet = createFleetState();
        peerReports = new PeerReports(fleet, observations);
        attempts = new AttemptTracker(actions, fleet, observations, peerReports);
        RetryPolicy retries = new RetryPolicy(rules, fleet.load());
        HedgingPolicy hedging = new HedgingPolicy(rules, fleet.load(), concurrencyLimit);
        eligibility = new UpstreamEligibility(fleet, retries, concurrencyLimit);
        probes = new LoadProbes(actions, fleet, eligibility, random);
        queue = new PendingRequestQueue(latencies, tenantUsage);
        LatencyObjectiveCheck objective = new LatencyObjectiveCheck(latencies, tenantUsage);
        UpstreamCost cost = new UpstreamCost(fleet, latencies, objective, random);
        UpstreamSelector selector = new UpstreamSelector(fleet, eligibility, latencies, cost, random);
        requests = new RequestLifecycle(
                actions,
                rules.cancelAllowed(),
                fleet,
                eligibility,
                selector,
                hedging,
                retries,
                probes,
                queue,
                attempts);
    }

    /** Starts the load balancer. Endpoint lists may already have been received. */
    public void start(double time) {
        nowSeconds = time;
        fleet.subset().start(endpoints.upstreams(), time);
        watchSchedule.start(time);
        wakeUp(time);
    }

    /** Handles the arrival of a request. Its id must differ from those of all open requests. */
    public void requestArrived(double time, RequestArrival arrival) {
        CandidateWindow candidates = fleet.candidates();
        // Each upstream is in the window only for a part of the time, so it earns that much more there.
        double seconds = (time - lastArrivalAt) * candidates.subsetPerWindow();
        fleet.slowStart().timeElapsed(seconds, candidates.subsetUpstreams(), time);
        nowSeconds = time;
        lastArrivalAt = time;
        RequestClass requestClass =
                config.requestClasses().get(arrival.requestClass().value());
        observations.tenantUsage().record(TenantId.indexOf(arrival.tenant()));
        requests.open(arrival, requestClass, time);
        requestWakeUp();
    }

    /**
     * Handles the answer to a load probe.
     *
     * @param report null if the upstream did not answer the probe in time
     */
    public void loadReported(double time, UpstreamId id, LoadReport report) {
        nowSeconds = time;
        UpstreamState upstream = endpoints.get(id);
        if (upstream != null) {
            probes.recordResult(upstream, report, each -> requests.applyInput(each, each.inputAfterProbes, time), time);
        }
        requestWakeUp();
    }

    /** Handles a message from a peer. A message that is malformed or belongs to another subset is ignored. */
    public void peerMessageReceived(double time, int fromSidecar, String text) {
        nowSeconds = time;
        if (!fleet.subset().isActive()) {
            return;
        }
        if (peerReports.receive(fromSidecar, text, time)) {
            requests.dequeue(time);
        }
        requestWakeUp();
    }

    /**
     * Handles the end of an attempt. An attempt that is unknown or has already ended is ignored.
     *
     * @param attempt the number of the attempt, from 0 in the order of {@link LoadBalancerActions#sendAttempt}
     * @param isRequestEnded whether this attempt has ended the request for the client
     * @param report not used: the load is known from probes and peers
     */
    public void attemptEnded(
            double time, RequestId id, int attempt, Outcome outcome, boolean isRequestEnded, LoadReport report) {
        nowSeconds = time;
        OpenRequest request = requests.get(id);
        if (request == null
                || attempt >= request.attempts.size()
                || !request.attempts.get(attempt).isInFlight()) {
            return;
        }
        Attempt endedAttempt = request.attempts.get(attempt);
        attempts.end(request, endedAttempt, outcome, time);
        endpoints.removeIfGone(endedAttempt.upstream);
        if (isRequestEnded && request.state() != RequestState.CLOSED) {
            request.answeredAttempt = endedAttempt;
            requests.applyInput(
                    request, outcome == Outcome.SERVED ? RequestInput.SERVED : RequestInput.CLIENT_LEFT, time);
        } else {
            requests.applyInput(request, RequestInput.ATTEMPT_ENDED, time);
        }
        requests.dequeue(time);
        requestWakeUp();
    }

    /**
     * Whether a request that arrived now would find capacity and no queued requests ahead of it.
     *
     * @param time not used: the result holds for the time of the last event
     */
    public boolean hasCapacity(double time) {
        return !queue.hasQueued() && eligibility.hasCapacity(nowSeconds);
    }

    /** Closes a request whose client has left. */
    public void clientLeft(double time, RequestId id) {
        nowSeconds = time;
        OpenRequest request = requests.get(id);
        if (request != null) {
            requests.applyInput(request, RequestInput.CLIENT_LEFT, time);
        }
        requestWakeUp();
    }

    /** Handles a wake-up that {@link LoadBalancerActions#wakeUpAt} requested. An early or spurious call is harmless. */
    public void wakeUp(double time) {
        nowSeconds = time;
        pendingWakeUp.fired(time);
        requests.fireTimers(time);
        if (watchSchedule.beginPollIfDue(time)) {
            actions.pollDiscovery();
        }
        fleet.subset().advance(time);
        requests.dequeue(time);
        requestWakeUp();
    }

    /** Handles an answer of discovery, or its failure to answer. */
    public void endpointsUpdated(double time, EndpointUpdate update, List<Endpoint> rows) {
        nowSeconds = time;
        if (update == EndpointUpdate.FAILED) {
            watchSchedule.failed(time, random.nextDouble());
            requestWakeUp();
            return;
        }
        watchSchedule.answered(update);
        endpoints.update(update, rows, time);
        double upstreamsPerSidecar =
                (double) endpoints.readyCount() / config.topology().sidecarCount();
        observations.concurrencyLimit().initialize(upstreamsPerSidecar);
        fleet.subset().endpointsChanged(endpoints.upstreams(), time);
        fleet.load().endpointsChanged();
        requests.dequeue(time);
        requestWakeUp();
    }

    /**
     * Disables or enables an upstream on behalf of an operator. A disabled upstream gets no attempts, whatever health
     * the endpoint list gives for it.
     */
    public void setDisabled(double time, UpstreamId id, boolean isDisabled) {
        nowSeconds = time;
        if (endpoints.setDisabled(id, isDisabled, time)) {
            fleet.subset().endpointsChanged(endpoints.upstreams(), time);
            if (!isDisabled) {
                fleet.slowStart().enabled(endpoints.get(id));
            }
        }
        requests.dequeue(time);
        requestWakeUp();
    }

    private FleetState createFleetState() {
        Topology topology = config.topology();
        Subset subset = new Subset(actions, topology);
        SlowStart slowStart = new SlowStart(config.slowStart(), topology.sidecarCount());
        LoadEstimator load = new LoadEstimator(
                topology, endpoints, subset, slowStart, observations.idleConnectionAge(), config.maxLatencyObjective());
        return new FleetState(topology, endpoints, subset, new CandidateWindow(endpoints, subset), slowStart, load);
    }

    private void requestWakeUp() {
        double next = Math.min(watchSchedule.nextAt(), requests.nextTimerAt());
        pendingWakeUp.requestAt(Math.min(next, fleet.subset().nextWakeUp()), actions::wakeUpAt);
    }
}
