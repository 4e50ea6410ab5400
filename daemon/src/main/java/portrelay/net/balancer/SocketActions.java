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

/** Carries out the load balancer's decisions over sockets. */
final class SocketActions implements LoadBalancerActions {

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final OpenRequests openRequests;
    private final DoubleConsumer onWakeUp;
    /** The listed upstreams, maintained by {@link LoadBalancerActor}. */
    final Map<UpstreamId, UpstreamActor> upstreams = new HashMap<>();

    /** Set by {@link LoadBalancerActor#setDeduplicationWindows}; infinite if upstreams never discard a key. */
    ToDoubleFunction<RequestArrival> deduplicationWindowSeconds = arrival -> Double.POSITIVE_INFINITY;

    private LoadBalancerActor.Watch watch;
    /** Null if sidecars exchange no messages. */
    private PeerActor peers;

    /** @param onWakeUp called in the mailbox with the current time, never before the requested time */
    SocketActions(EventLoop loop, Log log, Mailbox mailbox, OpenRequests openRequests, DoubleConsumer onWakeUp) {
        this.loop = loop;
        this.log = log;
        this.mailbox = mailbox;
        this.openRequests = openRequests;
        this.onWakeUp = onWakeUp;
    }

    /** @param peers null if sidecars exchange no messages */
    void start(LoadBalancerActor.Watch watch, PeerActor peers) {
        this.watch = watch;
        this.peers = peers;
    }

    @Override
    public void sendAttempt(RequestId id, UpstreamId upstreamId) {
        OpenRequest request = openRequests.get(id);
        UpstreamActor upstream = upstreams.get(upstreamId);
        // Guards against a duplicate execution: a connect may take longer than the rest of the deduplication window.
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
        OpenRequest request = openRequests.getUnanswered(id);
        if (request != null) {
            openRequests.markAnswered(request);
            request.incoming.responder().rejected(retryAfter);
        }
    }

    @Override
    public void fail(RequestId id) {
        OpenRequest request = openRequests.getUnanswered(id);
        if (request != null) {
            openRequests.markAnswered(request);
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
        throw unsupportedOverSockets();
    }

    @Override
    public void closeIdleConnections(UpstreamId upstream) {
        throw unsupportedOverSockets();
    }

    @Override
    public void log(String text) {
        log.info(text);
    }

    /** Reschedules a wake-up that is early, as the load balancer ignores a wake-up before its time. */
    private void wakeUp(double time) {
        double now = loop.now();
        if (now < time) {
            wakeUpAt(time);
        } else {
            onWakeUp.accept(now);
        }
    }

    /** The platform's protocol has no load probes, and does not report which connections an upstream drops. */
    private static UnsupportedOperationException unsupportedOverSockets() {
        return new UnsupportedOperationException(
                "not supported over sockets; the load balancer is configured not to use it");
    }
}
