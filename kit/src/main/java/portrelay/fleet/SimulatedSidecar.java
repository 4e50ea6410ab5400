package portrelay.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;
import portrelay.policy.LoadBalancer;

/**
 * The load balancer of one sidecar process for one service that it calls, connected to a simulated network. Counts the
 * messages it sends and receives, and checks each request against the rules, independently of the load balancer's own
 * state.
 */
final class SimulatedSidecar implements LoadBalancerActions {

    /** Seconds after the deadline within which the protocol still allows an answer. */
    private static final double ANSWER_TOLERANCE_SECONDS = 0.5;

    private static final class Attempt {
        private Outcome outcome;
    }

    private static final class Request {
        private final RequestId id;
        private final RequestClass requestClass;
        private final double arrivedAt;
        private final double deadline;
        /** The incarnation of the sidecar that accepted the request. */
        private final int incarnation;

        private final List<Attempt> attempts = new ArrayList<>(2);
        private int inFlight;
        private boolean isAnswered;

        Request(RequestId id, RequestClass requestClass, double arrivedAt, double deadline, int incarnation) {
            this.id = id;
            this.requestClass = requestClass;
            this.arrivedAt = arrivedAt;
            this.deadline = deadline;
            this.incarnation = incarnation;
        }

        boolean mayHaveBeenExecuted() {
            return attempts.stream().anyMatch(each -> each.outcome == null || !each.outcome.provablyNotExecuted);
        }
    }

    private final SimulatedFleet fleet;
    private final Map<RequestId, Request> openRequests = new HashMap<>();
    private final Map<UpstreamId, Double> drainKnownSince = new HashMap<>();
    /** The index of the process to which this load balancer belongs. */
    final int process;

    final int service;
    /** The index among the sidecars that call this service. */
    final int index;

    final int region;
    private LoadBalancer loadBalancer;
    private int incarnation;
    private boolean ignoresAnswers;
    long datagramsSent;
    long bytesSent;
    long bytesReceived;

    SimulatedSidecar(SimulatedFleet fleet, int process, int service, int index, int region) {
        this.fleet = fleet;
        this.process = process;
        this.service = service;
        this.index = index;
        this.region = region;
    }

    /** Starts a new incarnation; open requests of the previous one are dropped, as their clients retry them. */
    void start() {
        incarnation++;
        openRequests.clear();
        drainKnownSince.clear();
        loadBalancer = fleet.createLoadBalancer(this);
        measureControl(() -> loadBalancer.start(now()));
        fleet.sendEndpoints(this);
    }

    private double now() {
        return fleet.events.now();
    }

    void endpointsUpdated(List<Endpoint> endpoints, EndpointUpdate update) {
        for (Endpoint endpoint : endpoints) {
            if (endpoint.health() == Endpoint.Health.READY) {
                drainKnownSince.remove(endpoint.id());
            } else {
                drainKnownSince.putIfAbsent(endpoint.id(), now());
            }
        }
        measureControl(() -> loadBalancer.endpointsUpdated(now(), update, endpoints));
    }

    void peerMessageReceived(int from, String text) {
        bytesReceived += text.length() + SimulatedFleet.DATAGRAM_HEADER_BYTES;
        measureControl(() -> loadBalancer.peerMessageReceived(now(), from, text));
    }

    /** Accepts a request of a client. The time to the deadline counts from now. */
    void requestArrived(RequestClass requestClass, double secondsToDeadline) {
        RequestId id = new RequestId(process + "-" + service + "-" + fleet.counters.requests++);
        Request request = new Request(id, requestClass, now(), now() + secondsToDeadline, incarnation);
        openRequests.put(id, request);
        fleet.events.schedule(secondsToDeadline, () -> deadlinePassed(request));
        measureRequest(() -> loadBalancer.requestArrived(
                now(),
                new RequestArrival(
                        id,
                        new RequestClassId(requestClass.id().value()),
                        null,
                        null,
                        request.deadline,
                        Double.NaN,
                        false)));
    }

    private void deadlinePassed(Request request) {
        if (request.incarnation != incarnation) {
            return;
        }
        for (int i = 0; i < request.attempts.size(); i++) {
            attemptEnded(request, i, Outcome.TIMED_OUT);
        }
        fleet.events.schedule(ANSWER_TOLERANCE_SECONDS, () -> {
            if (request.incarnation == incarnation && !request.isAnswered) {
                fleet.counters.unanswered++;
                fleet.counters.describeViolation("no answer for " + request.id.value() + " at " + now());
                openRequests.remove(request.id);
            }
        });
    }

    private void attemptEnded(Request request, int attemptNumber, Outcome outcome) {
        Attempt attempt = request.attempts.get(attemptNumber);
        if (request.incarnation != incarnation || attempt.outcome != null) {
            return;
        }
        attempt.outcome = outcome;
        request.inFlight--;
        if (outcome == Outcome.SERVED && !request.isAnswered) {
            recordAnswer(request);
            fleet.counters.served++;
            fleet.counters.servedInTime += now() - request.arrivedAt <= request.requestClass.latencyObjective() ? 1 : 0;
        }
        measureRequest(
                () -> loadBalancer.attemptEnded(now(), request.id, attemptNumber, outcome, request.isAnswered, null));
        if (request.isAnswered && request.inFlight == 0) {
            openRequests.remove(request.id);
        }
    }

    private void recordAnswer(Request request) {
        request.isAnswered = !ignoresAnswers;
    }

    /** Stops recording answers from now on, so that tests can provoke an unanswered request. */
    void ignoreAnswers() {
        ignoresAnswers = true;
    }

    private void measureRequest(Runnable decision) {
        long startedAt = System.nanoTime();
        decision.run();
        fleet.counters.requestNanos += System.nanoTime() - startedAt;
    }

    private void measureControl(Runnable decision) {
        long startedAt = System.nanoTime();
        decision.run();
        fleet.counters.controlNanos += System.nanoTime() - startedAt;
        fleet.counters.controlCalls++;
    }

    // ---- Actions of the load balancer -------------------------------------------------------------------

    @Override
    public void sendAttempt(RequestId id, UpstreamId upstreamId) {
        Request request = openRequests.get(id);
        SimulatedUpstream upstream = fleet.upstream(upstreamId);
        checkRules(request, upstreamId);
        fleet.counters.attempts++;
        int attempt = request.attempts.size();
        request.attempts.add(new Attempt());
        request.inFlight++;
        if (upstream.isGone && !upstream.isSilent) {
            fleet.events.schedule(
                    SimulatedFleet.NETWORK_SECONDS, () -> attemptEnded(request, attempt, Outcome.CONNECT_FAILED));
            return;
        }
        double doneAt = fleet.isPartitioned(region, upstream.zone)
                ? Double.POSITIVE_INFINITY
                : upstream.accept(now(), fleet.drawWork());
        if (doneAt < Double.POSITIVE_INFINITY) {
            fleet.events.scheduleAt(doneAt + SimulatedFleet.NETWORK_SECONDS, () -> {
                boolean isLost = upstream.isSilent || upstream.isGone;
                attemptEnded(request, attempt, isLost ? Outcome.CONNECTION_LOST : Outcome.SERVED);
            });
        }
    }

    private void checkRules(Request request, UpstreamId upstream) {
        if (request.requestClass.idempotency() == RequestClass.Idempotency.UNSAFE && request.mayHaveBeenExecuted()) {
            fleet.counters.duplicates++;
            fleet.counters.describeViolation("sent twice: " + request.id.value());
        }
        double drainKnownAt = drainKnownSince.getOrDefault(upstream, Double.POSITIVE_INFINITY);
        if (now() > drainKnownAt + SimulatedFleet.DRAIN_GRACE_SECONDS) {
            fleet.counters.drainViolations++;
            fleet.counters.describeViolation("sent to one that drains: " + request.id.value());
        }
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        Request request = openRequests.get(id);
        if (request != null) {
            fleet.events.schedule(0, () -> attemptEnded(request, attempt, Outcome.CANCELLED));
        }
    }

    @Override
    public void reject(RequestId id, double retryAfter) {
        fleet.counters.rejected++;
        answerWithoutUpstream(id);
    }

    @Override
    public void fail(RequestId id) {
        fleet.counters.failed++;
        answerWithoutUpstream(id);
    }

    private void answerWithoutUpstream(RequestId id) {
        Request request = openRequests.get(id);
        recordAnswer(request);
        if (request.inFlight == 0) {
            openRequests.remove(id);
        }
    }

    @Override
    public void wakeUpAt(double time) {
        int scheduledIncarnation = incarnation;
        fleet.events.scheduleAt(time, () -> {
            if (scheduledIncarnation == incarnation) {
                measureControl(() -> loadBalancer.wakeUp(now()));
            }
        });
    }

    @Override
    public void pollDiscovery() {
        fleet.counters.discoveryPolls++;
    }

    @Override
    public void probeLoad(UpstreamId upstream) {
        throw new UnsupportedOperationException("load probes are not simulated");
    }

    @Override
    public void sendToPeer(int to, String text) {
        datagramsSent++;
        bytesSent += text.length() + SimulatedFleet.DATAGRAM_HEADER_BYTES;
        fleet.sendToPeer(this, to, text);
    }

    @Override
    public void broadcastToPeers(String text) {
        datagramsSent++;
        bytesSent += text.length() + SimulatedFleet.DATAGRAM_HEADER_BYTES;
        fleet.broadcast(this, text);
    }

    @Override
    public void closeIdleConnections(UpstreamId upstream) {
        throw new UnsupportedOperationException("closing idle connections is not simulated");
    }

    @Override
    public void log(String text) {
        // Ignored.
    }
}
