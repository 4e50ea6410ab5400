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
 * The load balancer of one sidecar. Events are given in the order in which they happen, each with its time in seconds;
 * what follows is done through {@link LoadBalancerActions} before the call returns. One thread calls; no call blocks.
 */
public final class LoadBalancer {

    /** Over so many of the last requests the share of each tenant is counted. */
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
    // Read by tests.
    final EndpointTable endpoints;
    final RequestLifecycle requests;
    final PendingRequestQueue queue;
    /** The time of the last event. */
    private double nowSeconds;

    private double lastArrivalAt;

    /** The seed decides all random draws: the same events then give the same actions. */
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
        fleet = fleetState();
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

    /** The sidecar has started; endpoint lists may have come before. */
    public void start(double time) {
        nowSeconds = time;
        fleet.subset().start(endpoints.upstreams(), time);
        watchSchedule.start(time);
        wakeUp(time);
    }

    /** A request has arrived; its id is that of no open request. */
    public void requestArrived(double time, RequestArrival arrival) {
        fleet.slowStart().elapsed(time - lastArrivalAt, fleet.subsetUpstreams(), time);
        nowSeconds = time;
        lastArrivalAt = time;
        RequestClass requestClass =
                config.requestClasses().get(arrival.requestClass().value());
        observations.tenantUsage().record(TenantId.indexOf(arrival.tenant()));
        requests.open(arrival, requestClass, time);
        requestWakeUp();
    }

    /** What an upstream reports of its load; null where it did not answer the probe in time. */
    public void loadReported(double time, UpstreamId id, LoadReport report) {
        nowSeconds = time;
        UpstreamState upstream = endpoints.get(id);
        if (upstream != null) {
            probes.reported(upstream, report, each -> requests.move(each, each.inputAfterProbes, time), time);
        }
        requestWakeUp();
    }

    /** A message of another sidecar; one that is malformed or of another subset changes nothing. */
    public void peerMessageReceived(double time, int from, String text) {
        nowSeconds = time;
        if (!fleet.subset().isActive()) {
            return;
        }
        if (peerReports.receive(from, text, time)) {
            requests.dequeue(time);
        }
        requestWakeUp();
    }

    /**
     * An attempt has ended; one that is not known, or has ended already, changes nothing.
     *
     * @param attempt the number of the attempt, from 0 in the order of {@link LoadBalancerActions#sendAttempt}
     * @param isRequestEnded whether the client has got its answer by this attempt
     * @param report not used: load comes from probes and peers
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
        Attempt ended = request.attempts.get(attempt);
        attempts.end(request, ended, outcome, time);
        endpoints.removeGone();
        if (isRequestEnded && request.state() != RequestState.CLOSED) {
            request.answeredAttempt = ended;
            requests.move(request, outcome == Outcome.SERVED ? RequestInput.SERVED : RequestInput.CLIENT_LEFT, time);
        } else {
            requests.move(request, RequestInput.ATTEMPT_ENDED, time);
        }
        requests.dequeue(time);
        requestWakeUp();
    }

    /**
     * Whether a request that arrived now would find capacity, with none queued before it.
     *
     * @param time not used: the answer holds for the time of the last event
     */
    public boolean hasCapacity(double time) {
        return !queue.hasWaiting() && eligibility.hasCapacity(nowSeconds);
    }

    /** The client of a request waits no more. */
    public void clientLeft(double time, RequestId id) {
        nowSeconds = time;
        OpenRequest request = requests.get(id);
        if (request != null) {
            requests.move(request, RequestInput.CLIENT_LEFT, time);
        }
        requestWakeUp();
    }

    /** The time of {@link LoadBalancerActions#wakeUpAt} has come; an early or a needless call does no harm. */
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

    /** Discovery has answered, or has failed to. */
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

    /** An operator disables or enables an upstream; while disabled it gets nothing, whatever the list says. */
    public void setDisabled(double time, UpstreamId id, boolean isDisabled) {
        nowSeconds = time;
        if (endpoints.setDisabled(id, isDisabled, time)) {
            fleet.subset().endpointsChanged(endpoints.upstreams(), time);
        }
        requests.dequeue(time);
        requestWakeUp();
    }

    private FleetState fleetState() {
        Topology topology = config.topology();
        Subset subset = new Subset(actions, topology);
        SlowStart slowStart = new SlowStart(config.slowStart(), topology.sidecarCount());
        LoadEstimator load = new LoadEstimator(
                topology, endpoints, subset, slowStart, observations.idleConnectionAge(), config.maxLatencyObjective());
        return new FleetState(topology, endpoints, subset, slowStart, load);
    }

    private void requestWakeUp() {
        double next = Math.min(watchSchedule.nextAt(), requests.nextTimerAt());
        pendingWakeUp.requestAt(Math.min(next, fleet.subset().nextWakeUp()), actions::wakeUpAt);
    }
}
