package portrelay.net.balancer;

import java.util.HashMap;
import java.util.Map;
import java.util.function.DoubleConsumer;
import java.util.function.ToDoubleFunction;
import portrelay.model.LoadBalancerActions;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.Mailbox;
import portrelay.net.peer.PeerActor;
import portrelay.net.upstream.AttemptId;
import portrelay.net.upstream.UpstreamActor;

/** Carries out over sockets what the load balancer decides. */
final class SocketActions implements LoadBalancerActions {

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final OpenRequests openRequests;
    private final DoubleConsumer onWakeUp;
    /** The upstreams that are listed; {@link LoadBalancerActor} keeps them. */
    final Map<UpstreamId, UpstreamActor> upstreams = new HashMap<>();

    /** Set by {@link LoadBalancerActor#setDeduplicationWindows}; infinite where upstreams forget no key. */
    ToDoubleFunction<RequestArrival> deduplicationWindowSeconds = arrival -> Double.POSITIVE_INFINITY;

    private LoadBalancerActor.Watch watch;
    /** Null where sidecars exchange no messages. */
    private PeerActor peers;

    /** @param onWakeUp called in the mailbox with the time, never before the time that was asked for */
    SocketActions(EventLoop loop, Log log, Mailbox mailbox, OpenRequests openRequests, DoubleConsumer onWakeUp) {
        this.loop = loop;
        this.log = log;
        this.mailbox = mailbox;
        this.openRequests = openRequests;
        this.onWakeUp = onWakeUp;
    }

    /** @param peers null where sidecars exchange no messages */
    void start(LoadBalancerActor.Watch watch, PeerActor peers) {
        this.watch = watch;
        this.peers = peers;
    }

    @Override
    public void sendAttempt(RequestId id, UpstreamId upstreamId) {
        OpenRequest request = openRequests.get(id);
        UpstreamActor upstream = upstreams.get(upstreamId);
        // Guards against a duplicate execution: the decision was in time, but a connect may outlast the window.
        double sendBefore = request.firstPossiblyExecutedAt()
                + deduplicationWindowSeconds.applyAsDouble(request.incoming.arrival());
        AttemptId attempt = request.addAttempt(upstream, loop.now());
        log.debug(() -> "attempt begins: request=" + Log.clean(id.value()) + " attempt=" + attempt.index()
                + " upstream=" + Long.toHexString(upstreamId.value()));
        upstream.sendAttempt(attempt, request.incoming, sendBefore);
    }

    @Override
    public void cancelAttempt(RequestId id, int attempt) {
        OpenRequest request = openRequests.get(id);
        if (request != null) {
            request.cancelAttempt(attempt, Outcome.CANCELLED);
        }
    }

    @Override
    public void reject(RequestId id, double retryAfter) {
        OpenRequest request = openRequests.unanswered(id);
        if (request != null) {
            openRequests.answered(request);
            request.incoming.responder().rejected(retryAfter);
        }
    }

    @Override
    public void fail(RequestId id) {
        OpenRequest request = openRequests.unanswered(id);
        if (request != null) {
            openRequests.answered(request);
            request.incoming.responder().failed();
        }
    }

    @Override
    public void wakeUpAt(double time) {
        loop.schedule(time - loop.now(), () -> mailbox.post(() -> wakeUp(time)));
    }

    @Override
    public void pollDiscovery() {
        watch.watch();
    }

    @Override
    public void sendToPeer(int sidecar, String text) {
        peers.send(sidecar, text);
    }

    @Override
    public boolean canSendToPeers() {
        return peers.isBound();
    }

    @Override
    public void broadcastToPeers(String text) {
        peers.broadcast(text);
    }

    @Override
    public void probeLoad(UpstreamId upstream) {
        throw notOverSockets();
    }

    @Override
    public void closeIdleConnections(UpstreamId upstream) {
        throw notOverSockets();
    }

    @Override
    public void log(String text) {
        log.info(text);
    }

    /** Never early: the load balancer drops a wake-up that comes before its time. */
    private void wakeUp(double time) {
        double now = loop.now();
        if (now < time) {
            wakeUpAt(time);
        } else {
            onWakeUp.accept(now);
        }
    }

    /** The platform's protocol has no load probe, and does not say which connections an upstream drops. */
    private static UnsupportedOperationException notOverSockets() {
        return new UnsupportedOperationException("the load balancer was told that sockets do not offer this");
    }
}
