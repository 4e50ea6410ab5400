package portrelay.net.lifecycle;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.admission.BufferBudget;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.net.admin.AdminEndpoint;
import portrelay.net.admission.AdmissionActor;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.client.ClientFrontend;
import portrelay.net.client.ConnectionCounters;
import portrelay.net.client.RequestReader;
import portrelay.net.connection.Connector;
import portrelay.net.discovery.DiscoveryActor;
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.MonotonicClock;
import portrelay.net.handover.HandoverService;
import portrelay.net.handover.HandoverState;
import portrelay.net.handover.RequestIdTable;
import portrelay.net.http.SocketAddresses;
import portrelay.net.peer.PeerActor;
import portrelay.net.upstream.UpstreamActor;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.Settings;

/**
 * Creates and connects the actors of one sidecar, on the thread that starts it. No actor runs before {@link Sidecar}
 * starts it on the event loop.
 */
final class SidecarComponents {

    private static final int BUFFER_BYTES = 16 * 1024;
    private static final int MAX_POOLED_BUFFERS = 256;
    private static final int MAX_DISCOVERY_CONNECTIONS = 3;
    /**
     * Idle timeout of this side as a share of the upstream's own. The rest is a margin for requests that are in transit
     * when the upstream closes the connection.
     */
    private static final double IDLE_TIMEOUT_SHARE = 0.5;

    /** The upstreams' idle timeout that is assumed where the settings do not set one. */
    private static final double DEFAULT_UPSTREAM_IDLE_TIMEOUT_SECONDS = 10;

    final Log log;
    final XnioWorker worker;
    final EventLoop loop;
    final ByteBufferPool buffers;
    /** Null where handover is disabled. */
    final HandoverService handover;

    final DescriptorBudget descriptors;
    final Connector upstreamConnector;
    final ShutdownActor shutdown;
    final LoadBalancerActor loadBalancer;
    /** Null where sidecars exchange no peer messages. */
    final PeerActor peers;

    final DiscoveryActor discovery;
    final AdmissionActor admission;
    final ConnectionCounters connectionCounters = new ConnectionCounters();
    /** The bytes that are held for clients. */
    final BufferBudget buffered = BufferBudget.ofHeap(Runtime.getRuntime().maxMemory());

    final ClientFrontend frontend;
    /** Null without an admin endpoint. */
    final AdminEndpoint admin;

    /** @param handoverDirectory null to disable handover */
    SidecarComponents(SidecarConfig config, PrintStream logTo, Path handoverDirectory)
            throws IOException, InvalidSettingException {
        Settings settings = config.settings();
        log = new Log(logTo, config.name());
        worker = createWorker();
        loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        buffers = createBufferPool();
        EndpointListLimit listLimit = EndpointListLimit.ofHeap(config.seed());
        handover = HandoverService.open(loop, log, handoverDirectory, owner(config), listLimit);
        descriptors = new DescriptorBudget(config.descriptorLimit(), config.adminAddress() != null, siblingAtStart());
        upstreamConnector =
                new Connector(loop, buffers, descriptors.maxUpstreamConnections(), open -> updateClientLimit());
        shutdown = new ShutdownActor(loop, log, maxDeadlineSeconds(settings));
        boolean hasPeers = config.peers() != null && settings.topology().peerMessagesAllowed();
        loadBalancer = new LoadBalancerActor(
                loop, log, shutdown.shutdown(), actions -> settings.createForSockets(actions, config.seed(), hasPeers));
        loadBalancer.setDeduplicationWindows(arrival -> deduplicationWindowSeconds(settings, arrival));
        peers = hasPeers ? peerActor(config) : null;
        discovery = discoveryActor(config, listLimit);
        admission = new AdmissionActor(loop, log, settings, config.admission(), loadBalancer, config.seed());
        log.info("admission: max-queued-bytes=" + config.admission().maxQueueMemory());
        frontend = new ClientFrontend(
                loop,
                log,
                buffers,
                new RequestReader(settings),
                RequestIdTable.open(handover == null ? null : handoverDirectory, config.name(), log),
                admission,
                config.admission().connectionCapacity(),
                buffered,
                connectionCounters,
                shutdown.shutdown(),
                settings.maxRetryAfter());
        admin = config.adminAddress() == null ? null : adminEndpoint();
    }

    /** Creates a worker with one event loop thread. The caller ends it with {@code shutdownNow}. */
    static XnioWorker createWorker() throws IOException {
        return Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 1)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.THREAD_DAEMON, true)
                        .set(Options.WORKER_NAME, EventLoop.WORKER_NAME)
                        .getMap());
    }

    static ByteBufferPool createBufferPool() {
        return new DefaultByteBufferPool(true, BUFFER_BYTES, MAX_POOLED_BUFFERS, 0);
    }

    /** Returns the state of the sibling process as it was found when handover was opened. */
    HandoverService.Sibling siblingAtStart() {
        return handover == null ? HandoverService.Sibling.NONE : handover.sibling();
    }

    boolean isShuttingDown() {
        return shutdown.shutdown().hasBegun();
    }

    /**
     * Adapts the limit of client connections to the number of connections that upstreams hold. Runs on the loop, with
     * each connect to an upstream, so that clients give descriptors back as soon as upstreams need them, and get those
     * that upstreams no longer hold.
     */
    void updateClientLimit() {
        frontend.setMaxStreamedBodies(descriptors.maxStreamedBodies());
        frontend.setMaxClients(descriptors.maxClientConnections(upstreamConnector.openCount()));
    }

    /**
     * Adapts all limits of connections to a sibling process that started, began to serve, or ended. Runs on the loop.
     */
    void updateLimits(HandoverService.Sibling sibling) {
        descriptors.siblingChanged(sibling);
        upstreamConnector.setMaxConnections(descriptors.maxUpstreamConnections());
        updateClientLimit();
    }

    private static HandoverState.Owner owner(SidecarConfig config) {
        String listen = config.listen().getPort() == 0 ? "" : SocketAddresses.format(config.listen());
        return new HandoverState.Owner(config.name(), listen, config.settings().requestClassNames());
    }

    private static double maxDeadlineSeconds(Settings settings) {
        return settings.requestClasses().stream()
                .mapToDouble(RequestClass::deadline)
                .max()
                .orElse(0);
    }

    /** Infinite where upstreams do not deduplicate by key, as only a recorded key can expire. */
    private static double deduplicationWindowSeconds(Settings settings, RequestArrival arrival) {
        RequestClass requestClass = settings.requestClass(arrival.requestClass());
        return requestClass.idempotency() == RequestClass.Idempotency.KEYED
                ? requestClass.deduplicationWindow()
                : Double.POSITIVE_INFINITY;
    }

    private PeerActor peerActor(SidecarConfig config) {
        int sidecarCount = config.settings().topology().sidecarCount();
        return new PeerActor(loop, log, worker, config.peers(), sidecarCount, loadBalancer::peerMessageReceived);
    }

    private DiscoveryActor discoveryActor(SidecarConfig config, EndpointListLimit listLimit) {
        double connectTimeoutSeconds = config.settings().connectTimeout();
        double configuredIdleTimeoutSeconds = config.settings().connectionIdleTimeout();
        double upstreamIdleTimeoutSeconds =
                configuredIdleTimeoutSeconds > 0 ? configuredIdleTimeoutSeconds : DEFAULT_UPSTREAM_IDLE_TIMEOUT_SECONDS;
        double idleTimeoutSeconds = IDLE_TIMEOUT_SHARE * upstreamIdleTimeoutSeconds;
        return new DiscoveryActor(
                loop,
                log,
                new Connector(loop, buffers, MAX_DISCOVERY_CONNECTIONS, open -> {}),
                config.discovery(),
                loadBalancer,
                listLimit,
                address -> new UpstreamActor(
                        loop,
                        log,
                        upstreamConnector,
                        loadBalancer,
                        connectTimeoutSeconds,
                        idleTimeoutSeconds,
                        address));
    }

    private AdminEndpoint adminEndpoint() {
        int maxConnections = Math.max(1, descriptors.maxAdminConnections());
        return new AdminEndpoint(loop, buffers, log, maxConnections, discovery, loadBalancer, frontend, handover);
    }
}
