package portrelay.net.lifecycle;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import org.xnio.XnioWorker;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.connection.Connector;
import portrelay.net.discovery.EndpointListPage;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.MonotonicClock;
import portrelay.net.handover.HandoverService;
import portrelay.settings.InvalidSettingException;

/**
 * One sidecar: its load balancing, its sockets and the event loop thread that runs both. The methods of this class may
 * be called from any thread except the event loop's.
 */
public final class Sidecar implements AutoCloseable {

    /** The event loop that the whole sidecar runs on; for tests. */
    public final EventLoop loop;
    /** Opens the connections to upstreams; for tests, to be used on the loop. */
    public final Connector upstreamConnector;
    /** Owns the open requests; for tests, to be used on the loop. */
    public final LoadBalancerActor loadBalancer;

    private final SidecarComponents components;
    private final Startup startup;
    private volatile boolean closed;

    private Sidecar(SidecarConfig config, PrintStream logTo, Path handoverDirectory, WarmUp.Length warmUpLength)
            throws IOException, InvalidSettingException {
        components = new SidecarComponents(config, logTo, handoverDirectory);
        loop = components.loop;
        upstreamConnector = components.upstreamConnector;
        loadBalancer = components.loadBalancer;
        startup = new Startup(config.withoutCachedEndpoints(), components);
        boolean hasServingSibling = components.siblingAtStart() == HandoverService.Sibling.SERVING;
        WarmUp.Length defaultLength = hasServingSibling ? WarmUp.Length.SUCCESSOR : WarmUp.Length.FIRST;
        WarmUp warmUp = new WarmUp(
                loop,
                components.buffers,
                config.withoutCachedEndpoints(),
                warmUpLength == null ? defaultLength : warmUpLength);
        try {
            if (components.admin != null) {
                components.admin.listen(components.worker, config.adminAddress());
            }
            runOnLoop(() -> startActors(config, warmUp));
            if (!hasServingSibling) {
                // Listens only now: a request that is read before the actors run, or before a signal can reach them,
                // may wait too long.
                startup.listenOnceAddressIsFree();
            }
        } catch (InterruptedException e) {
            close();
            Thread.currentThread().interrupt();
            throw new IOException(e);
        } catch (IOException e) {
            // Otherwise the JVM keeps the handover lock, and the next process assumes that this one serves.
            close();
            throw e;
        }
    }

    /**
     * Starts a sidecar without handover to other processes. Returns once the sidecar is ready, or once its shutdown has
     * begun if that comes first.
     *
     * @param logTo receives one line per event
     * @throws IOException if the sidecar can't listen at an address
     * @throws InvalidSettingException if the configuration is invalid; names the field
     */
    public static Sidecar start(SidecarConfig config, PrintStream logTo) throws IOException, InvalidSettingException {
        return start(config, logTo, null);
    }

    /**
     * Starts a sidecar as {@link #start(SidecarConfig, PrintStream)} does, with handover from and to other processes of
     * this sidecar.
     *
     * @param handoverDirectory holds the handover files of this sidecar's processes and nothing else; null to disable
     *     handover
     */
    public static Sidecar start(SidecarConfig config, PrintStream logTo, Path handoverDirectory)
            throws IOException, InvalidSettingException {
        Sidecar sidecar = open(config, logTo, handoverDirectory);
        sidecar.awaitReady();
        return sidecar;
    }

    /**
     * Starts a sidecar as {@link #start(SidecarConfig, PrintStream, Path)} does, but returns before the warm-up has
     * ended. The sidecar listens and serves when this method returns, unless a sibling process serves. The caller has
     * to call {@link #awaitReady} as well.
     */
    public static Sidecar open(SidecarConfig config, PrintStream logTo, Path handoverDirectory)
            throws IOException, InvalidSettingException {
        return open(config, logTo, handoverDirectory, null);
    }

    /**
     * Starts a sidecar as {@link #open(SidecarConfig, PrintStream, Path)} does, with a warm-up of the given length.
     *
     * @param warmUpLength null for the default length
     */
    public static Sidecar open(
            SidecarConfig config, PrintStream logTo, Path handoverDirectory, WarmUp.Length warmUpLength)
            throws IOException, InvalidSettingException {
        return new Sidecar(config, logTo, handoverDirectory, warmUpLength);
    }

    /** Runs only the warm-up, without sockets, and returns whether any of its requests was served. */
    public static boolean check(SidecarConfig config) throws IOException {
        XnioWorker worker = SidecarComponents.createWorker();
        EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        CompletableFuture<Integer> servedCount = new CompletableFuture<>();
        WarmUp warmUp = new WarmUp(loop, SidecarComponents.createBufferPool(), config, WarmUp.Length.FIRST);
        loop.execute(() -> warmUp.run(() -> servedCount.complete(warmUp.servedCount())));
        boolean servesAny = servedCount.join() > 0;
        worker.shutdownNow();
        return servesAny;
    }

    /**
     * Blocks until the sidecar is ready, or until its shutdown has begun if that comes first.
     *
     * @throws IOException if the sidecar could not listen; it is closed then
     */
    public void awaitReady() throws IOException {
        try {
            startup.awaitReady();
        } catch (IOException e) {
            close();
            throw e;
        }
    }

    /** Returns the address that clients connect to, with the port that the system chose for a configured port of 0. */
    public InetSocketAddress address() {
        return components.frontend.address();
    }

    /** Returns the address of the admin endpoint; null without one. */
    public InetSocketAddress adminAddress() {
        return components.admin == null ? null : components.admin.address();
    }

    /**
     * Applies the part of a configuration that may change while the sidecar runs: the address of discovery. All other
     * fields are ignored.
     */
    public void reload(SidecarConfig config) {
        components.discovery.setAddress(config.discovery());
    }

    /** Shuts down as {@link #drain(long)} does, with a signal that arrives now. */
    public void drain() {
        drain(System.nanoTime());
    }

    /**
     * Shuts down gracefully and returns when all clients have disconnected or the time is over
     * ({@link portrelay.shutdown.ShutdownBudget}). Without a successor the sidecar goes on listening for half a second
     * and serving the open connections, as clients have no other process to connect to. A successor that serves gets
     * the address at once.
     *
     * @param signalledAtNanos when the signal arrived, by {@link System#nanoTime}
     */
    public void drain(long signalledAtNanos) {
        double signalledAt = loop.toLoopTime(signalledAtNanos);
        ShutdownActor shutdown = components.shutdown;
        shutdown.signalReceived(signalledAt);
        if (components.handover == null) {
            loop.execute(() -> shutdown.successorChecked(false));
        } else {
            components.handover.announceShutdown(shutdown::successorChecked);
        }
        if (closed) {
            // The loop of a closed sidecar runs no tasks, so the wait below would last until the end time.
            return;
        }
        try {
            shutdown.awaitEnd(signalledAt);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Closes at once, without draining, and releases the handover lock. Forwarded requests get no answer. */
    @Override
    public void close() {
        closed = true;
        if (components.handover != null) {
            components.handover.close();
        }
        loop.execute(components.frontend::closeNow);
        if (components.peers != null) {
            components.peers.close();
        }
        components.worker.shutdownNow();
    }

    private void startActors(SidecarConfig config, WarmUp warmUp) {
        restoreState(config.cachedEndpoints());
        if (components.peers != null) {
            components.peers.start();
        }
        loadBalancer.start(components.discovery, components.peers);
        loop.startLagBeat();
        components.shutdown.start(components.frontend, loadBalancer, components.admin, warmUp);
        new StatusLog(components, config.admission().counterLogInterval()).start();
        warmUp.run(startup::warmUpEnded);
    }

    /** Restores state from the previous process, or from the configuration if there was none. */
    private void restoreState(EndpointListPage cachedEndpoints) {
        EndpointListPage endpoints = cachedEndpoints;
        HandoverService handover = components.handover;
        if (handover != null) {
            handover.operatorCalls().forEach((id, call) -> {
                if (call.takesOutOfService()) {
                    loadBalancer.setDisabled(id, true, () -> {});
                }
            });
            components.frontend.setInService(!handover.isOutOfService());
            components.discovery.onUpdate(handover::recordEndpointList, handover.everListed());
            endpoints = handover.endpointList() == null ? endpoints : handover.endpointList();
            handover.start(new SiblingListener(components, startup));
        }
        if (endpoints != null) {
            components.discovery.loadCached(endpoints);
        }
    }

    private interface LoopTask {
        void run() throws InvalidSettingException;
    }

    /** Runs the task on the loop and blocks until it has run. */
    private void runOnLoop(LoopTask task) throws IOException, InvalidSettingException {
        FutureTask<Void> future = new FutureTask<>(() -> {
            task.run();
            return null;
        });
        loop.execute(future);
        try {
            future.get();
        } catch (ExecutionException e) {
            if (e.getCause() instanceof InvalidSettingException invalid) {
                throw invalid;
            }
            throw new IOException(e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException(e);
        }
    }
}
