package portrelay.policy;

import static portrelay.model.RequestInput.ARRIVED;
import static portrelay.model.RequestInput.ATTEMPT_ENDED;
import static portrelay.model.RequestInput.ATTEMPT_SENT;
import static portrelay.model.RequestInput.CLIENT_LEFT;
import static portrelay.model.RequestInput.DEQUEUED;
import static portrelay.model.RequestInput.HEDGE_DUE;
import static portrelay.model.RequestInput.HEDGE_PROBES_DONE;
import static portrelay.model.RequestInput.NO_UPSTREAM;
import static portrelay.model.RequestInput.PROBES_DONE;
import static portrelay.model.RequestInput.PROBE_AGAIN;
import static portrelay.model.RequestInput.SERVED;
import static portrelay.model.RequestInput.WAIT_EXPIRED;
import static portrelay.model.RequestState.CLOSED;
import static portrelay.model.RequestState.HEDGED;
import static portrelay.model.RequestState.NEW;
import static portrelay.model.RequestState.NO_ATTEMPT;
import static portrelay.model.RequestState.PROBING;
import static portrelay.model.RequestState.QUEUED;
import static portrelay.model.RequestState.SINGLE_ATTEMPT;

import java.util.HashMap;
import java.util.Map;
import portrelay.model.LoadBalancerActions;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestId;
import portrelay.model.RequestInput;
import portrelay.model.RequestState;
import portrelay.model.TimerQueue;
import portrelay.model.Topology;
import portrelay.model.TransitionTable;

/**
 * The state machine of requests: its transition table defines the effect of each input in each state. No other class
 * changes the state of a request.
 *
 * <p>An effect runs after the request has entered the next state of its row. The states SINGLE_ATTEMPT and HEDGED are
 * therefore entered before their attempt is sent; if no upstream may get the attempt, NO_UPSTREAM or PROBE_AGAIN leaves
 * them at once.
 */
final class RequestLifecycle {

    /** Time after which a request that found no upstream probes again. */
    private static final double PROBE_INTERVAL_SECONDS = 0.015;

    private static final TransitionTable<RequestState, RequestInput, RequestLifecycle, OpenRequest> TRANSITIONS =
            new TransitionTable<RequestState, RequestInput, RequestLifecycle, OpenRequest>(
                            RequestState.class, RequestInput.class)
                    .row(NEW, ARRIVED, PROBING, RequestLifecycle::probe)
                    .row(PROBING, PROBES_DONE, SINGLE_ATTEMPT, RequestLifecycle::sendFirst)
                    .row(PROBING, CLIENT_LEFT, CLOSED)
                    .row(SINGLE_ATTEMPT, PROBE_AGAIN, PROBING, RequestLifecycle::probe)
                    .row(SINGLE_ATTEMPT, NO_UPSTREAM, QUEUED, RequestLifecycle::enqueue)
                    .row(SINGLE_ATTEMPT, HEDGE_DUE, SINGLE_ATTEMPT, RequestLifecycle::probe)
                    .row(SINGLE_ATTEMPT, HEDGE_PROBES_DONE, HEDGED, RequestLifecycle::sendAnother)
                    .row(SINGLE_ATTEMPT, ATTEMPT_ENDED, NO_ATTEMPT, RequestLifecycle::probe)
                    .row(SINGLE_ATTEMPT, SERVED, CLOSED, RequestLifecycle::cancelOthers)
                    .row(SINGLE_ATTEMPT, CLIENT_LEFT, CLOSED, RequestLifecycle::cancelOthers)
                    .row(HEDGED, NO_UPSTREAM, SINGLE_ATTEMPT)
                    .row(HEDGED, ATTEMPT_ENDED, SINGLE_ATTEMPT)
                    .row(HEDGED, SERVED, CLOSED, RequestLifecycle::cancelOthers)
                    .row(HEDGED, CLIENT_LEFT, CLOSED, RequestLifecycle::cancelOthers)
                    .row(NO_ATTEMPT, PROBES_DONE, NO_ATTEMPT, RequestLifecycle::sendAnother)
                    .row(NO_ATTEMPT, CLIENT_LEFT, CLOSED)
                    .row(NO_ATTEMPT, ATTEMPT_SENT, SINGLE_ATTEMPT)
                    .row(NO_ATTEMPT, NO_UPSTREAM, CLOSED, RequestLifecycle::rejectOrFail)
                    .row(QUEUED, DEQUEUED, PROBING, RequestLifecycle::probe)
                    .row(QUEUED, WAIT_EXPIRED, CLOSED, RequestLifecycle::rejectOrFail)
                    .row(QUEUED, CLIENT_LEFT, CLOSED);

    private final LoadBalancerActions actions;
    private final Topology topology;
    private final boolean cancelAllowed;
    private final EndpointTable endpoints;
    private final LoadEstimator load;
    private final UpstreamEligibility eligibility;
    private final UpstreamSelector selector;
    private final HedgingPolicy hedging;
    private final RetryPolicy retries;
    private final LoadProbes probes;
    private final PendingRequestQueue queue;
    private final AttemptTracker attempts;
    private final Map<RequestId, OpenRequest> requests = new HashMap<>();
    private final TimerQueue<OpenRequest, RequestInput> timers = new TimerQueue<>();
    /** The time of the event that is being processed, for the effects in the table. */
    private double nowSeconds;

    RequestLifecycle(
            LoadBalancerActions actions,
            boolean cancelAllowed,
            FleetState fleet,
            UpstreamEligibility eligibility,
            UpstreamSelector selector,
            HedgingPolicy hedging,
            RetryPolicy retries,
            LoadProbes probes,
            PendingRequestQueue queue,
            AttemptTracker attempts) {
        this.actions = actions;
        this.topology = fleet.topology();
        this.cancelAllowed = cancelAllowed;
        this.endpoints = fleet.endpoints();
        this.load = fleet.load();
        this.eligibility = eligibility;
        this.selector = selector;
        this.hedging = hedging;
        this.retries = retries;
        this.probes = probes;
        this.queue = queue;
        this.attempts = attempts;
    }

    /** Opens a request that has arrived and starts to process it. */
    void open(RequestArrival arrival, RequestClass requestClass, double nowSeconds) {
        OpenRequest request = new OpenRequest(arrival, requestClass, nowSeconds);
        requests.put(arrival.id(), request);
        applyInput(request, ARRIVED, nowSeconds);
    }

    /** Returns the open request; null if no request of this id is open. */
    OpenRequest get(RequestId id) {
        return requests.get(id);
    }

    int openCount() {
        return requests.size();
    }

    /** Applies an input to the request. An input that has no row for the current state is ignored. */
    void applyInput(OpenRequest request, RequestInput input, double nowSeconds) {
        this.nowSeconds = nowSeconds;
        TRANSITIONS.step(this, request, input);
        // Kept until its last attempt has ended, as a late outcome is still recorded for its upstream.
        if (request.state() == CLOSED && !request.hasAttemptInFlight()) {
            requests.remove(request.arrival.id());
        }
    }

    /** Applies the inputs of all timers that are due. */
    void fireTimers(double nowSeconds) {
        for (TimerQueue.Timer<OpenRequest, RequestInput> timer = timers.pollDue(nowSeconds);
                timer != null;
                timer = timers.pollDue(nowSeconds)) {
            applyInput(timer.subject(), timer.input(), nowSeconds);
        }
    }

    /** Returns the time of the next timer of a request that is not closed; infinite if there is none. */
    double nextTimerAt() {
        return timers.nextAt(request -> request.state() != CLOSED);
    }

    /** Dequeues requests, those of the highest priority first, as long as there may be capacity. */
    void dequeue(double nowSeconds) {
        queue.removeNoLongerQueued();
        while (!queue.isEmpty() && (load.isFleetLoadKnown() || eligibility.hasCapacity(nowSeconds))) {
            OpenRequest request = queue.highestPriority();
            applyInput(request, DEQUEUED, nowSeconds);
            if (request.state() == QUEUED) {
                return;
            }
            queue.remove(request);
        }
    }

    /** Starts a round of probes if that is possible and useful; otherwise returns the input that follows at once. */
    private RequestInput probe(OpenRequest request) {
        boolean isForHedge = request.state() == SINGLE_ATTEMPT;
        request.inputAfterProbes = isForHedge ? HEDGE_PROBES_DONE : PROBES_DONE;
        probes.countRound(request);
        boolean isHedgedAlready = isForHedge && request.attempts.size() > 1;
        if (isHedgedAlready || !probes.startRound(request, nowSeconds)) {
            return request.inputAfterProbes;
        }
        timers.schedule(nowSeconds + LoadProbes.TIMEOUT_SECONDS, request, request.inputAfterProbes);
        return null;
    }

    /** Sends the first attempt and schedules its hedge, unless no upstream is suitable. */
    private RequestInput sendFirst(OpenRequest request) {
        UpstreamState upstream = select(request, true);
        boolean mayProbeAgain = probes.mayProbeAgain(request);
        if (upstream == null || mayProbeAgain && load.inFlight(upstream, nowSeconds) >= 1) {
            return mayProbeAgain ? PROBE_AGAIN : NO_UPSTREAM;
        }
        attempts.start(request, upstream, nowSeconds);
        if (hedging.allows(request.requestClass)) {
            timers.schedule(nowSeconds + hedging.delaySeconds(request), request, HEDGE_DUE);
        }
        return null;
    }

    /** Sends a hedged attempt, or a retry if no attempt is in flight. */
    private RequestInput sendAnother(OpenRequest request) {
        UpstreamState upstream = hedging.isUseful(request) ? select(request, false) : null;
        if (upstream == null) {
            return NO_UPSTREAM;
        }
        attempts.start(request, upstream, nowSeconds);
        return ATTEMPT_SENT;
    }

    private UpstreamState select(OpenRequest request, boolean isFirstAttempt) {
        probes.endRound(request);
        return selector.select(request, isFirstAttempt, nowSeconds).upstream();
    }

    /** Queues a request that found no upstream until there is capacity, or schedules its next round of probes. */
    private RequestInput enqueue(OpenRequest request) {
        double waitExpiresAt = PendingRequestQueue.waitExpiresAt(request);
        if (endpoints.areAllDisabled()) {
            return WAIT_EXPIRED;
        }
        if (topology.probesLoad()) {
            double nextProbeAt = nowSeconds + PROBE_INTERVAL_SECONDS;
            timers.schedule(nextProbeAt, request, DEQUEUED);
            return nextProbeAt < waitExpiresAt && !request.arrival.retriedByClient() ? null : WAIT_EXPIRED;
        }
        if (queue.add(request)) {
            timers.schedule(waitExpiresAt, request, WAIT_EXPIRED);
        }
        return null;
    }

    /** Cancels the other attempts in flight, if the attempt rules allow that. */
    private RequestInput cancelOthers(OpenRequest request) {
        if (cancelAllowed) {
            for (int i = 0; i < request.attempts.size(); i++) {
                Attempt attempt = request.attempts.get(i);
                if (attempt.isInFlight() && attempt != request.answeredAttempt) {
                    actions.cancelAttempt(request.arrival.id(), i);
                }
            }
        }
        return null;
    }

    /** Rejects or fails the request at once, so that its client can still be served elsewhere or retry later. */
    private RequestInput rejectOrFail(OpenRequest request) {
        if (retries.isSafeToRepeat(request)) {
            actions.reject(request.arrival.id(), retries.retryAfterSeconds(request));
        } else {
            actions.fail(request.arrival.id());
        }
        return null;
    }
}
