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
 * Tells the {@link LoadBalancer} what happens and owns the open requests. All methods are called on the event loop;
 * those that change something return at once and take effect by the mailbox.
 */
public final class LoadBalancerActor implements UpstreamActor.Listener {

    /** Follows the endpoint list. */
    public interface Watch {

        /** Asks discovery for changes from now on, unless it is being asked. */
        void watch();
    }

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final Shutdown shutdown;
    private final OpenRequests openRequests = new OpenRequests();
    private final SocketActions actions;
    private final LoadBalancer loadBalancer;
    private Runnable onCapacityChanged = () -> {};

    /** For a process that never shuts down. */
    public LoadBalancerActor(EventLoop loop, Log log, Function<LoadBalancerActions, LoadBalancer> factory) {
        this(loop, log, Shutdown.never(), factory);
    }

    /**
     * For a process that shuts down as the given object says.
     *
     * @param factory makes the load balancer whose decisions the given actions carry out
     */
    public LoadBalancerActor(
            EventLoop loop, Log log, Shutdown shutdown, Function<LoadBalancerActions, LoadBalancer> factory) {
        this.loop = loop;
        this.log = log;
        this.shutdown = shutdown;
        mailbox = new Mailbox(loop, log);
        actions = new SocketActions(loop, log, mailbox, openRequests, this::wokenUp);
        loadBalancer = factory.apply(actions);
    }

    /**
     * Called once, before the mailbox has run anything: what was posted before, as the cached endpoint list, is taken
     * in first.
     *
     * @param peers null where sidecars exchange no messages
     */
    public void start(Watch watch, PeerActor peers) {
        actions.start(watch, peers);
        mailbox.post(() -> loadBalancer.start(loop.now()));
    }

    /** From here on called whenever there may be capacity for another request. */
    public void onCapacityChanged(Runnable listener) {
        onCapacityChanged = listener;
    }

    /**
     * From here on no attempt is written once this many seconds have passed since the first attempt of its request that
     * may have been executed. Guards against a duplicate execution once upstreams have forgotten the idempotency key.
     */
    public void setDeduplicationWindows(ToDoubleFunction<RequestArrival> windowSeconds) {
        actions.deduplicationWindowSeconds = windowSeconds;
    }

    public boolean hasCapacity() {
        return loadBalancer.hasCapacity(loop.now());
    }

    /** Open requests: those without an answer, and answered ones with an attempt that still runs. */
    public int openCount() {
        return openRequests.count();
    }

    /** The request's responder gets one answer, unless its client leaves before. */
    public void requestArrived(IncomingRequest incoming) {
        mailbox.post(() -> arrived(incoming));
    }

    public void clientLeft(RequestId id) {
        mailbox.post(() -> left(id));
    }

    /** A message from another sidecar, by its number. */
    public void peerMessageReceived(int from, String text) {
        mailbox.post(() -> loadBalancer.peerMessageReceived(loop.now(), from, text));
    }

    @Override
    public void attemptEnded(AttemptId attempt, Outcome outcome, HttpResult answer) {
        mailbox.post(() -> ended(attempt, outcome, answer));
    }

    /**
     * The endpoint list has changed.
     *
     * @param added upstreams that were not listed before
     * @param gone those that are no longer listed: nothing more is sent to them, what runs there ends by itself
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
     * Operators disable an upstream, or enable it again.
     *
     * @param onApplied called once no request goes there any longer, or may again
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
     * The process ends: each request that waits gets its final answer now. It is rejected, which tells the client that
     * a retry is safe, only where no attempt may have been executed.
     */
    public void failOpenRequests() {
        if (openRequests.count() > 0) {
            mailbox.post(() -> openRequests.ids().forEach(this::failOpenRequest));
        }
    }

    private void failOpenRequest(RequestId id) {
        OpenRequest request = openRequests.unanswered(id);
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

    private void arrived(IncomingRequest incoming) {
        OpenRequest request = new OpenRequest(incoming);
        if (!openRequests.add(request)) {
            incoming.responder().failed();
            return;
        }
        double now = loop.now();
        double leftSeconds = incoming.arrival().deadline() - now;
        if (incoming.requestBody() == null) {
            startDeadlineTimer(request, leftSeconds);
        } else {
            // The time to the deadline counts from the body's last byte: until it is sent on, the client may be late.
            incoming.requestBody()
                    .onWritten(() -> mailbox.post(() -> startDeadlineTimer(
                            request, Math.min(leftSeconds, shutdown.answerDeadline() - loop.now()))));
        }
        loadBalancer.requestArrived(now, incoming.arrival());
    }

    private void startDeadlineTimer(OpenRequest request, double seconds) {
        request.deadlineTimer = loop.schedule(seconds, () -> mailbox.post(() -> deadlineReached(request)));
    }

    /** Ends the attempts that run; the load balancer learns of each as timed out, and answers. */
    private void deadlineReached(OpenRequest request) {
        if (request.runningAttempts == 0 && !request.isAnswered) {
            // The load balancer's own wake-up for this request may be due in this very moment too.
            loadBalancer.wakeUp(loop.now());
        }
        if (request.runningAttempts == 0 && !request.isAnswered) {
            // Guards the client against a load balancer that waits for an event that will not come.
            log.warn("request open at its deadline with no attempt running");
            loadBalancer.clientLeft(loop.now(), request.id());
            actions.fail(request.id());
        }
        request.cancelAttempts(Outcome.TIMED_OUT);
    }

    private void left(RequestId id) {
        OpenRequest request = openRequests.unanswered(id);
        if (request == null) {
            return;
        }
        openRequests.answered(request);
        loadBalancer.clientLeft(loop.now(), id);
        if (request.incoming.requestBody() != null
                && !request.incoming.requestBody().isWritten()) {
            // The rest of the body will not come: cancelled even where the settings allow no cancelling of attempts.
            request.cancelAttempts(Outcome.CANCELLED);
        }
        onCapacityChanged.run();
    }

    private void ended(AttemptId attempt, Outcome outcome, HttpResult answer) {
        RequestId id = attempt.request();
        OpenRequest request = openRequests.get(id);
        log.debug(() -> "attempt ended: request=" + Log.clean(id.value()) + " attempt=" + attempt.index() + " outcome="
                + outcome);
        if (outcome != Outcome.SERVED
                && !request.isAnswered
                && request.incoming.responder().isOver()) {
            // Before the load balancer hears of the attempt: it would retry for a client that has left.
            left(id);
        }
        if (outcome.provablyNotExecuted) {
            request.attemptNotExecuted(attempt.index());
        }
        request.runningAttempts--;
        boolean wasAnswered = request.isAnswered;
        if (outcome == Outcome.SERVED && !wasAnswered) {
            openRequests.answered(request);
            request.incoming.responder().served(answer);
        } else if (answer != null && answer.remainder() != null) {
            answer.remainder().cancel();
        }
        openRequests.removeIfDone(request);
        boolean isAnswered = wasAnswered || outcome == Outcome.SERVED;
        double now = loop.now();
        try {
            loadBalancer.attemptEnded(now, id, attempt.index(), outcome, isAnswered, null);
        } finally {
            // Guards the client against an exception in the load balancer: at the deadline it has its answer.
            if (request.runningAttempts == 0
                    && now >= request.incoming.arrival().deadline()) {
                actions.fail(id);
            }
        }
        onCapacityChanged.run();
    }

    private void wokenUp(double now) {
        loadBalancer.wakeUp(now);
        onCapacityChanged.run();
    }
}
