package portrelay.net.balancer;

import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.ToDoubleFunction;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;
import portrelay.net.connection.HttpResult;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.Mailbox;
import portrelay.net.peer.PeerActor;
import portrelay.net.upstream.AttemptId;
import portrelay.net.upstream.IncomingRequest;
import portrelay.net.upstream.UpstreamActor;
import portrelay.policy.LoadBalancer;
import portrelay.shutdown.Shutdown;

/**
 * Passes events to the {@link LoadBalancer} and owns the open requests. All methods must be called on the event loop;
 * methods that change state only post a message to the mailbox and return at once.
 */
public final class LoadBalancerActor implements UpstreamActor.Listener {

    /** Watches the endpoint list. */
    public interface Watch {

        /** Starts watching discovery for changes, unless a call to discovery is outstanding. */
        void watch();
    }

    /** Interval at which the arrival of a streamed body is observed; the platform's time limits have this tolerance. */
    private static final double BODY_CHECK_INTERVAL_SECONDS = 0.05;

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final Shutdown shutdown;
    private final OpenRequests openRequests = new OpenRequests();
    private final SocketActions actions;
    private final LoadBalancer loadBalancer;
    private Runnable onCapacityChanged = () -> {};

    /** Creates the actor for a process that never shuts down. */
    public LoadBalancerActor(EventLoop loop, Log log, Function<LoadBalancerActions, LoadBalancer> factory) {
        this(loop, log, Shutdown.never(), factory);
    }

    /**
     * Creates the actor for a process with the given shutdown schedule.
     *
     * @param factory creates the load balancer, whose decisions are carried out by the given actions
     */
    public LoadBalancerActor(
            EventLoop loop, Log log, Shutdown shutdown, Function<LoadBalancerActions, LoadBalancer> factory) {
        this.loop = loop;
        this.log = log;
        this.shutdown = shutdown;
        mailbox = new Mailbox(loop, log);
        actions = new SocketActions(loop, log, mailbox, openRequests, this::handleWakeUp);
        loadBalancer = factory.apply(actions);
    }

    /**
     * Starts the load balancer. Must be called once, before the mailbox has run any message. Messages posted before
     * this call, such as the cached endpoint list, are applied before the load balancer starts.
     *
     * @param peers null if sidecars exchange no messages
     */
    public void start(Watch watch, PeerActor peers) {
        actions.start(watch, peers);
        mailbox.post(() -> loadBalancer.start(loop.now()));
    }

    /** Sets the listener that is called whenever there may be capacity for another request. */
    public void onCapacityChanged(Runnable listener) {
        onCapacityChanged = listener;
    }

    /**
     * Sets the deduplication window of each request. No attempt is written once this many seconds have passed since the
     * first attempt of its request that may have been executed. Guards against a duplicate execution after upstreams
     * have discarded the idempotency key.
     */
    public void setDeduplicationWindows(ToDoubleFunction<RequestArrival> windowSeconds) {
        actions.deduplicationWindowSeconds = windowSeconds;
    }

    /** Returns whether the load balancer has capacity for another request now. */
    public boolean hasCapacity() {
        return loadBalancer.hasCapacity(loop.now());
    }

    /** Returns the number of requests that are unanswered, or answered with an attempt still running. */
    public int openCount() {
        return openRequests.count();
    }

    /** Accepts a request. Its responder receives exactly one answer, unless the client leaves first. */
    public void requestArrived(IncomingRequest incoming) {
        mailbox.post(() -> handleArrival(incoming));
    }

    /** Reports that the client of a request has left. Has no effect if the request is answered or not open. */
    public void clientLeft(RequestId id) {
        mailbox.post(() -> handleClientLeft(id));
    }

    /**
     * Reports a message from a peer.
     *
     * @param from the number of the sending sidecar
     */
    public void peerMessageReceived(int from, String text) {
        mailbox.post(() -> loadBalancer.peerMessageReceived(loop.now(), from, text));
    }

    @Override
    public void attemptEnded(AttemptId attempt, Outcome outcome, HttpResult result) {
        mailbox.post(() -> handleAttemptEnd(attempt, outcome, result));
    }

    /**
     * Reports a change of the endpoint list, or that an update has failed.
     *
     * @param added upstreams that were not listed before
     * @param gone upstreams that are no longer listed; no new attempts are sent to them, running ones may finish
     */
    public void endpointsUpdated(
            EndpointUpdate update,
            List<Endpoint> endpoints,
            Map<UpstreamId, UpstreamActor> added,
            Set<UpstreamId> gone) {
        mailbox.post(() -> {
            actions.upstreams.putAll(added);
            actions.upstreams.keySet().removeAll(gone);
            loadBalancer.endpointsUpdated(loop.now(), update, endpoints);
            onCapacityChanged.run();
        });
    }

    /**
     * Disables an upstream, or enables it again, for an operator call.
     *
     * @param onApplied called once the change is in effect
     */
    public void setDisabled(UpstreamId id, boolean isDisabled, Runnable onApplied) {
        mailbox.post(() -> {
            loadBalancer.setDisabled(loop.now(), id, isDisabled);
            UpstreamActor upstream = actions.upstreams.get(id);
            if (upstream != null) {
                upstream.setDisabled(isDisabled);
            }
            onApplied.run();
            onCapacityChanged.run();
        });
    }

    /**
     * Answers all unanswered requests, as the process is about to end. A request is rejected, which tells the client
     * that a retry is safe, only if none of its attempts may have been executed; otherwise it fails.
     */
    public void failOpenRequests() {
        if (openRequests.count() > 0) {
            mailbox.post(() -> openRequests.ids().forEach(this::failOpenRequest));
        }
    }

    private void failOpenRequest(RequestId id) {
        OpenRequest request = openRequests.getUnanswered(id);
        if (request == null) {
            return;
        }
        boolean mayHaveBeenExecuted = request.mayHaveBeenExecuted();
        loadBalancer.clientLeft(loop.now(), id);
        if (mayHaveBeenExecuted) {
            actions.fail(id);
        } else {
            actions.reject(id, 0);
        }
    }

    private void handleArrival(IncomingRequest incoming) {
        OpenRequest request = new OpenRequest(incoming);
        if (!openRequests.add(request)) {
            incoming.responder().failed();
            return;
        }
        double now = loop.now();
        if (incoming.requestBody() == null) {
            double remainingSeconds = incoming.arrival().deadline() - now;
            request.deadlineTimer = loop.schedule(remainingSeconds, () -> mailbox.post(() -> handleDeadline(request)));
        } else {
            mailbox.post(() -> checkDeadlineOfStreamedRequest(request));
        }
        loadBalancer.requestArrived(now, incoming.arrival());
    }

    /**
     * Handles the deadline of a streamed request once it is due, and checks again until then. The client's time runs
     * from the arrival of the last byte of the body, as the client may send the body slowly; not from when that byte is
     * forwarded, as the upstream may never accept it.
     */
    private void checkDeadlineOfStreamedRequest(OpenRequest request) {
        if (openRequests.get(request.id()) != request) {
            return;
        }
        double deadline = request.incoming.arrival().deadline()
                + request.incoming.requestBody().secondsToLastByte();
        double remainingSeconds = deadline - loop.now();
        if (deadline != Double.POSITIVE_INFINITY) {
            remainingSeconds = Math.min(remainingSeconds, shutdown.answerDeadline() - loop.now());
        }
        if (remainingSeconds <= 0) {
            handleDeadline(request);
            return;
        }
        request.deadlineTimer = loop.schedule(
                Math.min(remainingSeconds, BODY_CHECK_INTERVAL_SECONDS),
                () -> mailbox.post(() -> checkDeadlineOfStreamedRequest(request)));
    }

    /** Ends the running attempts as timed out. The load balancer is notified of each, and answers the request. */
    private void handleDeadline(OpenRequest request) {
        if (request.runningAttempts == 0 && !request.isAnswered) {
            // The load balancer's own wake-up for this request may be due at the same time.
            loadBalancer.wakeUp(loop.now());
        }
        if (request.runningAttempts == 0 && !request.isAnswered) {
            // Ensures an answer even if the load balancer waits for an event that will not occur.
            log.warn("request open at its deadline with no attempt running");
            loadBalancer.clientLeft(loop.now(), request.id());
            actions.fail(request.id());
        }
        request.cancelAttempts(Outcome.TIMED_OUT);
    }

    private void handleClientLeft(RequestId id) {
        OpenRequest request = openRequests.getUnanswered(id);
        if (request == null) {
            return;
        }
        openRequests.markAnswered(request);
        loadBalancer.clientLeft(loop.now(), id);
        if (request.incoming.requestBody() != null
                && !request.incoming.requestBody().isLastByteSent()) {
            // The rest of the body will not arrive, so the attempts are cancelled even if the settings forbid it.
            request.cancelAttempts(Outcome.CANCELLED);
        }
        onCapacityChanged.run();
    }

    private void handleAttemptEnd(AttemptId attempt, Outcome outcome, HttpResult result) {
        RequestId id = attempt.request();
        OpenRequest request = openRequests.get(id);
        log.debug(() -> "attempt ended: request=" + Log.clean(id.value()) + " attempt=" + attempt.index() + " outcome="
                + outcome);
        if (outcome != Outcome.SERVED
                && !request.isAnswered
                && request.incoming.responder().isOver()) {
            // Must precede the report of this attempt: the load balancer would retry for a client that has left.
            handleClientLeft(id);
        }
        if (outcome.provablyNotExecuted) {
            request.markNotExecuted(attempt.index());
        }
        request.runningAttempts--;
        boolean wasAnswered = request.isAnswered;
        if (outcome == Outcome.SERVED && !wasAnswered) {
            openRequests.markAnswered(request);
            request.incoming.responder().served(result);
        } else if (result != null && result.streamedBody() != null) {
            result.streamedBody().cancel();
        }
        openRequests.removeIfDone(request);
        boolean isAnswered = wasAnswered || outcome == Outcome.SERVED;
        double now = loop.now();
        try {
            loadBalancer.attemptEnded(now, id, attempt.index(), outcome, isAnswered, null);
        } finally {
            // Ensures an answer at the deadline even if the load balancer throws an exception.
            if (request.runningAttempts == 0
                    && now >= request.incoming.arrival().deadline()) {
                actions.fail(id);
            }
        }
        onCapacityChanged.run();
    }

    private void handleWakeUp(double now) {
        loadBalancer.wakeUp(now);
        onCapacityChanged.run();
    }
}
