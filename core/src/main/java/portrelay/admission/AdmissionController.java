package portrelay.admission;

import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import portrelay.admission.OpenRequest.State;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantId;
import portrelay.model.TransitionTable;
import portrelay.model.WakeUp;

/**
 * Decides which requests are admitted to the load balancer and in what order, and which are rejected and with which
 * Retry-After. A request is rejected as soon as its expected wait exceeds the maximum wait. Flows share the capacity by
 * weight ({@link FairQueue}), a Retry-After is a reservation ({@link RetryAfterScheduler}), and memory stays within
 * {@link AdmissionConfig#maxQueueMemory}.
 *
 * <p>The controller has no clock and never blocks. Its owner reports the events on one thread, in the order in which
 * they occur, each with the time in seconds, which never decreases, and carries out the {@link AdmissionActions}. Not
 * thread-safe.
 */
public final class AdmissionController {

    enum Input {
        ARRIVED,
        WAIT_TOO_LONG,
        ADMITTED,
        WAIT_EXPIRED,
        EVICTED,
        CLIENT_LEFT,
        ANSWERED
    }

    private static final TransitionTable<State, Input, AdmissionController, OpenRequest> TABLE = new TransitionTable<
                    State, Input, AdmissionController, OpenRequest>(State.class, Input.class)
            .row(State.NEW, Input.ARRIVED, State.QUEUED, AdmissionController::enqueue)
            .row(State.QUEUED, Input.WAIT_TOO_LONG, State.DONE, AdmissionController::reject)
            .row(State.QUEUED, Input.EVICTED, State.DONE, AdmissionController::reject)
            .row(State.QUEUED, Input.WAIT_EXPIRED, State.DONE, AdmissionController::reject)
            .row(State.QUEUED, Input.ADMITTED, State.IN_FLIGHT, AdmissionController::admit)
            .row(State.QUEUED, Input.CLIENT_LEFT, State.DONE, AdmissionController::abandon)
            .row(State.IN_FLIGHT, Input.ANSWERED, State.DONE, AdmissionController::complete);

    private final AdmissionConfig config;
    private final AdmissionActions actions;
    private final FairQueue queue;
    private final RetryAfterScheduler retryAfter;
    private final ReturningClients returningClients;
    private final AdmissionRate rate = new AdmissionRate();
    private final Map<RequestId, OpenRequest> requests = new HashMap<>();
    /** Queued requests by the end of their maximum wait, the earliest first. */
    private final TreeSet<OpenRequest> byWaitEnd =
            new TreeSet<>(Comparator.<OpenRequest>comparingDouble(open -> open.request.waitUntil())
                    .thenComparingLong(open -> open.arrivalOrder));

    private final ServiceTimes serviceTimes = new ServiceTimes();
    private final Map<TenantId, TenantCounters> counters = new HashMap<>();
    private int inFlight;
    private long nextOrder;
    private boolean closed;
    private final WakeUp pendingWakeUp = new WakeUp();
    /** The time of the last event. */
    private double now;

    /**
     * Creates a controller with an empty queue.
     *
     * @param maxRetryAfter the longest Retry-After that clients honour, in seconds; 0 if they honour none
     * @param seed seed of the jitter of Retry-After times
     */
    public AdmissionController(AdmissionConfig config, double maxRetryAfter, long seed, AdmissionActions actions) {
        this.config = config;
        this.actions = actions;
        this.queue = new FairQueue(config.maxQueued(), config.maxQueuedBytes(), config.maxFlows());
        this.returningClients = new ReturningClients(config.maxFlows());
        this.retryAfter = new RetryAfterScheduler(new SplittableRandom(seed), maxRetryAfter, config.maxQueued());
    }

    // ---- Events -----------------------------------------------------------------------------------------

    /**
     * Queues a request that has been read, and admits or rejects it at once where that is already decided.
     *
     * @throws IllegalStateException if a request of this id is open
     */
    public void requestArrived(double time, AdmissionRequest request) {
        now = time;
        boolean flowsAreTenants = config.flowsBy() == AdmissionConfig.FlowsBy.TENANT;
        AdmissionRequest assigned = flowsAreTenants ? request : returningClients.assignFlow(now, request);
        OpenRequest open = new OpenRequest(assigned, request.flow(), nextOrder++);
        if (requests.putIfAbsent(request.id(), open) != null) {
            throw new IllegalStateException("a request of this id is open: " + request.id());
        }
        step(open, Input.ARRIVED);
        processQueue();
    }

    /** Removes a queued request whose client has disconnected. Does nothing for an admitted request. */
    public void clientLeft(double time, RequestId id) {
        now = time;
        step(requests.get(id), Input.CLIENT_LEFT);
        processQueue();
    }

    /** Releases the capacity of an admitted request that has been answered or whose client has disconnected. */
    public void requestAnswered(double time, RequestId id) {
        now = time;
        step(requests.get(id), Input.ANSWERED);
        processQueue();
    }

    /** Admits queued requests after a change by which the load balancer may have capacity again. */
    public void capacityChanged(double time) {
        now = time;
        processQueue();
    }

    /** Handles the wake-up that {@link AdmissionActions#wakeUpAt} scheduled. */
    public void wakeUp(double time) {
        now = time;
        pendingWakeUp.fired(now);
        processQueue();
    }

    /** Rejects all queued requests and every later request, without Retry-After. */
    public void close(double time) {
        now = time;
        closed = true;
        processQueue();
    }

    // ---- Queries ----------------------------------------------------------------------------------------

    /** Whether the request is queued or in flight. */
    public boolean isOpen(RequestId id) {
        return requests.containsKey(id);
    }

    /** Whether the request is queued, that is, has not been passed to the load balancer. */
    public boolean isQueued(RequestId id) {
        OpenRequest open = requests.get(id);
        return open != null && open.state() == State.QUEUED;
    }

    /**
     * Returns the mean time from admission to answer of the last requests of the class, in seconds, for use as
     * {@link AdmissionRequest#work}.
     */
    public double expectedWork(RequestClassId requestClass) {
        return serviceTimes.mean(requestClass);
    }

    /** Returns the number of queued requests. */
    public int queuedCount() {
        return queue.size();
    }

    /** Returns the number of admitted requests that are not yet answered. */
    public int inFlightCount() {
        return inFlight;
    }

    /** Returns the number of reserved Retry-After times that are neither redeemed nor expired. */
    public int openRetryAfterCount() {
        return retryAfter.reservationCount();
    }

    /** Returns the counters of each tenant as a read-only live view. The key is null for requests without a tenant. */
    public Map<TenantId, TenantCounters> countersByTenant() {
        return Collections.unmodifiableMap(counters);
    }

    // ---- Actions of the transition table ----------------------------------------------------------------

    private void step(OpenRequest open, Input input) {
        if (open != null) {
            TABLE.step(this, open, input);
        }
    }

    private Input enqueue(OpenRequest open) {
        AdmissionRequest request = open.request;
        open.honoursRetryAfter = retryAfter.redeem(now, request.flow(), request.retriedByClient());
        double workAhead = open.honoursRetryAfter ? 0 : queue.queuedWorkOf(request.flow());
        byWaitEnd.add(open);
        countersOf(open).queuedChanged(1);
        List<AdmissionRequest> evicted = queue.add(request, open.honoursRetryAfter);
        for (AdmissionRequest each : evicted) {
            step(requests.get(each.id()), Input.EVICTED);
        }
        boolean waitTooLong = now + secondsToAdmit(request, workAhead + request.work()) > request.waitUntil();
        boolean isQueued = open.state() == State.QUEUED;
        return isQueued && (closed || waitTooLong && !hasCapacity()) ? Input.WAIT_TOO_LONG : null;
    }

    private Input reject(OpenRequest open) {
        AdmissionRequest request = open.request;
        dequeue(open);
        double seconds = 0;
        if (rate.workPerSecond(now) > 0 && !closed) {
            double drainTime = secondsToAdmit(request, queue.queuedWorkOf(request.flow()));
            seconds = retryAfter.reserve(now, request.flow(), drainTime, secondsToAdmit(request, request.work()));
        }
        countersOf(open).rejected(open.honoursRetryAfter, seconds > 0);
        requests.remove(request.id());
        actions.reject(request.id(), seconds);
        return null;
    }

    private Input admit(OpenRequest open) {
        dequeue(open);
        inFlight++;
        returningClients.admitted(now, open.clientFlow);
        open.admittedAt = now;
        countersOf(open).admitted(open.honoursRetryAfter);
        actions.admit(open.request.id());
        return null;
    }

    private Input abandon(OpenRequest open) {
        dequeue(open);
        requests.remove(open.request.id());
        countersOf(open).clientLeft();
        return null;
    }

    private Input complete(OpenRequest open) {
        inFlight--;
        requests.remove(open.request.id());
        serviceTimes.add(open.request.requestClass(), now - open.admittedAt);
        return null;
    }

    /** Removes a request from the queue with all its bookkeeping. Every transition out of QUEUED calls it. */
    private void dequeue(OpenRequest open) {
        queue.remove(open.request.id());
        byWaitEnd.remove(open);
        countersOf(open).queuedChanged(-1);
    }

    // ---- The queue --------------------------------------------------------------------------------------

    /** Returns the seconds to admit the work at the flow's share of the admission rate; 0 while the rate is unknown. */
    private double secondsToAdmit(AdmissionRequest request, double work) {
        double workPerSecond = rate.workPerSecond(now);
        return workPerSecond == 0 ? 0 : work / (workPerSecond * queue.shareOf(request.flow(), request.weight()));
    }

    private boolean hasCapacity() {
        return (config.maxInFlight() == 0 || inFlight < config.maxInFlight())
                && (!config.followLoadBalancer() || actions.loadBalancerHasCapacity());
    }

    /**
     * Rejects requests whose maximum wait has passed, admits others while there is capacity, and schedules a wake-up
     * for the next end of a wait.
     */
    private void processQueue() {
        retryAfter.removeExpired(now);
        while (!byWaitEnd.isEmpty() && (closed || byWaitEnd.first().request.waitUntil() <= now)) {
            step(byWaitEnd.first(), Input.WAIT_EXPIRED);
        }
        while (queue.size() > 0 && hasCapacity()) {
            AdmissionRequest next = queue.next();
            if (queue.size() > 0) {
                rate.admittedWithBacklog(now, next.work());
            } else {
                rate.queueEmptied();
            }
            step(requests.get(next.id()), Input.ADMITTED);
        }
        if (!byWaitEnd.isEmpty()) {
            pendingWakeUp.requestAt(byWaitEnd.first().request.waitUntil(), actions::wakeUpAt);
        }
    }

    private TenantCounters countersOf(OpenRequest open) {
        return counters.computeIfAbsent(open.request.tenant(), id -> new TenantCounters());
    }
}
