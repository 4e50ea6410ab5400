package portrelay.net.lifecycle;

import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import portrelay.net.admin.AdminEndpoint;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.client.ClientFrontend;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.shutdown.Shutdown;
import portrelay.shutdown.ShutdownActions;
import portrelay.shutdown.ShutdownBudget;

/**
 * Carries out the graceful shutdown that {@link Shutdown} decides, and logs each step with the number of clients and
 * requests that are still open. Runs on the event loop except where a method says otherwise.
 */
final class ShutdownActor implements ShutdownActions {

    /** How often this class looks for connections to close and checks whether the last client has gone. */
    private static final double POLL_INTERVAL_SECONDS = 0.01;
    /** Idle time after which a connection is closed while a successor serves. */
    private static final double IDLE_BEFORE_CLOSE_SECONDS = 0.2;
    /** Time after which readiness requests are answered with not ready unless a successor is known by then. */
    private static final double SUCCESSOR_TIMEOUT_SECONDS = 0.3;
    /** How long the process waits past its end time for clients that are still connected; SIGKILL may come first. */
    private static final double MAX_END_DELAY_SECONDS = 0.5;

    private final EventLoop loop;
    private final Log log;
    private final double maxDeadlineSeconds;
    private final Shutdown shutdown;
    private final CountDownLatch ended = new CountDownLatch(1);
    private ClientFrontend frontend;
    private LoadBalancerActor loadBalancer;
    /** Null without an admin endpoint. */
    private AdminEndpoint admin;

    private WarmUp warmUp;
    private double signalledAt;

    /** @param maxDeadlineSeconds the longest deadline of all request classes */
    ShutdownActor(EventLoop loop, Log log, double maxDeadlineSeconds) {
        this.loop = loop;
        this.log = log;
        this.maxDeadlineSeconds = maxDeadlineSeconds;
        this.shutdown = new Shutdown(maxDeadlineSeconds, this);
    }

    Shutdown shutdown() {
        return shutdown;
    }

    /** @param admin null without an admin endpoint */
    void start(ClientFrontend frontend, LoadBalancerActor loadBalancer, AdminEndpoint admin, WarmUp warmUp) {
        this.frontend = frontend;
        this.loadBalancer = loadBalancer;
        this.admin = admin;
        this.warmUp = warmUp;
    }

    /**
     * Begins the shutdown. May be called from any thread; returns at once.
     *
     * @param signalledAt when the signal arrived, on the loop's clock
     */
    void signalReceived(double signalledAt) {
        loop.execute(() -> begin(signalledAt));
    }

    /**
     * Blocks until the process may end, at most until {@link #MAX_END_DELAY_SECONDS} after its end time. May be called
     * from any thread but the loop's.
     */
    void awaitEnd(double signalledAt) throws InterruptedException {
        // The latest possible end. The shutdown itself may end earlier, as its budget counts from the earliest time
        // at which the signal may have been sent.
        double endBy =
                ShutdownBudget.of(signalledAt, signalledAt, maxDeadlineSeconds).endBy();
        double remainingSeconds = endBy + MAX_END_DELAY_SECONDS - loop.now();
        ended.await(Math.max(0, (long) (remainingSeconds * 1e3)), TimeUnit.MILLISECONDS);
    }

    /**
     * Called once it is known whether a successor exists.
     *
     * @param isServing whether a successor serves at this address
     */
    void successorChecked(boolean isServing) {
        if (isServing) {
            shutdown.successorStarted();
        } else {
            frontend.setReady(false);
        }
    }

    // ---- ShutdownActions --------------------------------------------------------------------------------

    @Override
    public void drain() {
        ShutdownBudget budget = shutdown.budget();
        double now = loop.now();
        log.info(String.format(
                Locale.ROOT,
                "draining: since-signal-s=%.3f listen-for-s=%.3f forward-for-s=%.3f answer-within-s=%.3f"
                        + " killed-in-s=%.3f max-loop-lag-s=%.3f",
                now - signalledAt,
                budget.listenUntil() - now,
                budget.forwardUntil() - now,
                budget.answerBy() - now,
                budget.killAt() - now,
                loop.lag().takeMaxLag()));
        if (admin != null) {
            admin.setReady(false);
        }
        frontend.keepConnections();
        // Leaves the event loop to the connected clients.
        warmUp.end();
        loop.schedule(SUCCESSOR_TIMEOUT_SECONDS, () -> {
            if (!shutdown.closesConnections()) {
                frontend.setReady(false);
            }
        });
    }

    @Override
    public void stopListening() {
        frontend.stopListening();
        logStep("listener closed");
    }

    @Override
    public void handOver() {
        // No action here: poll closes idle connections from now on.
        logStep("handing over to successor");
    }

    @Override
    public void rejectNewRequests() {
        logStep("rejecting new requests");
        frontend.rejectNewRequests();
    }

    @Override
    public void answerOpenRequests() {
        logStep("failing open requests");
        loadBalancer.failOpenRequests();
    }

    @Override
    public void end() {
        endOnceAnswered(loop.now() + MAX_END_DELAY_SECONDS);
    }

    /**
     * Ends once no client is connected, at the given time at the latest. Requests that are still unread at the end
     * time, for example because the process was stopped (SIGSTOP), are answered first: exiting would lose them just as
     * SIGKILL does.
     */
    private void endOnceAnswered(double latestEnd) {
        if (frontend.clientCount() == 0 || loop.now() >= latestEnd) {
            logStep("ended");
            ended.countDown();
            return;
        }
        loadBalancer.failOpenRequests();
        frontend.closeIdle(0);
        loop.schedule(POLL_INTERVAL_SECONDS, () -> endOnceAnswered(latestEnd));
    }

    @Override
    public void wakeUpAt(double time) {
        loop.schedule(time - loop.now(), () -> wakeUp(time));
    }

    private void begin(double signalledAt) {
        if (shutdown.hasBegun()) {
            log.info("signal ignored: already shutting down");
            return;
        }
        this.signalledAt = signalledAt;
        if (!frontend.isListening()) {
            shutdown.listenerNeverStarted();
        }
        // Measures the lag up to now, as the signal may have been sent while the loop was late.
        loop.lag().beat(loop.now());
        shutdown.signalReceived(loop.now(), loop.lag().earliestSignal(signalledAt), signalledAt);
        poll(loop.now());
    }

    /**
     * Closes idle connections, fails open requests in the closing phase, and reports when no client is connected.
     * Repeats itself until the shutdown has ended.
     *
     * @param scheduledAt the time this call was scheduled for
     */
    private void poll(double scheduledAt) {
        observeLag(loop.now() - scheduledAt);
        Shutdown.Phase phase = shutdown.phase();
        if (phase == Shutdown.Phase.ENDED) {
            return;
        }
        if (shutdown.closesConnections()) {
            frontend.closeIdle(phase == Shutdown.Phase.DRAINING ? IDLE_BEFORE_CLOSE_SECONDS : 0);
        }
        if (phase == Shutdown.Phase.CLOSING) {
            loadBalancer.failOpenRequests();
        }
        if (frontend.clientCount() == 0) {
            shutdown.noClientsConnected(loop.now());
        }
        double next = loop.now() + POLL_INTERVAL_SECONDS;
        loop.schedule(POLL_INTERVAL_SECONDS, () -> poll(next));
    }

    private void observeLag(double seconds) {
        boolean wasBehind = shutdown.hasFallenBehind();
        shutdown.loopLagMeasured(seconds);
        if (!wasBehind && shutdown.hasFallenBehind()) {
            logStep("event loop too late, forwarding nothing more");
        }
    }

    /** Waits again where the timer ran some milliseconds before the loop's clock reaches the time. */
    private void wakeUp(double time) {
        if (loop.now() < time) {
            wakeUpAt(time);
        } else {
            shutdown.wakeUp(loop.now());
        }
    }

    private void logStep(String step) {
        log.info(String.format(
                Locale.ROOT,
                "%s: since-signal-s=%.3f clients=%d requests=%d rejected=%d max-loop-lag-s=%.3f",
                step,
                loop.now() - signalledAt,
                frontend.clientCount(),
                loadBalancer.openCount(),
                frontend.rejectedDuringShutdown(),
                loop.lag().takeMaxLag()));
    }
}
