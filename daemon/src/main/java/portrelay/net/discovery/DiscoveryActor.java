package portrelay.net.discovery;

import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.XnioExecutor;
import portrelay.discovery.WatchCalls;
import portrelay.model.EndpointUpdate;
import portrelay.model.UpstreamId;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.connection.Connector;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.HttpConnection;
import portrelay.net.connection.HttpResult;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.Mailbox;
import portrelay.net.http.SocketAddresses;
import portrelay.net.http.WireNames;
import portrelay.net.upstream.UpstreamActor;
import portrelay.settings.InvalidSettingException;

/**
 * Watches the endpoint list: owns the connections to discovery and performs the calls that {@link WatchCalls} decides
 * on. All methods must be called on the event loop.
 */
public final class DiscoveryActor implements LoadBalancerActor.Watch, WatchCalls.Actions {

    /** Longer than any list that a process can hold; read piece by piece, so it bounds no memory. */
    private static final int MAX_LIST_BYTES = 256 * 1024 * 1024;
    /**
     * The version while there is no list, or one that incremental changes cannot be applied to. The next call then
     * fetches the complete list.
     */
    private static final long NO_VERSION = -1;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** An outstanding call: it is waiting for a connect, or has a connection. */
    private static final class OutstandingCall {
        private Connector.ConnectAttempt connectAttempt;
        private HttpConnection connection;
        private XnioExecutor.Key timeout;
    }

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final Connector connector;
    private final EndpointRegistry registry;
    private final EndpointListLimit limit;
    private final WatchCalls watchCalls = new WatchCalls(this);
    private final Map<Integer, OutstandingCall> outstanding = new HashMap<>();
    private InetSocketAddress address;
    private long version = NO_VERSION;
    /** The connection of the last answered call, until the next call reuses it; null if there is none. */
    private HttpConnection idleConnection;

    private boolean isFailing;

    /**
     * Creates the actor; calls to discovery begin with {@link #watch}.
     *
     * @param upstreamFactory creates the actor of a newly listed upstream, from its address
     */
    public DiscoveryActor(
            EventLoop loop,
            Log log,
            Connector connector,
            InetSocketAddress address,
            LoadBalancerActor loadBalancer,
            EndpointListLimit limit,
            Function<InetSocketAddress, UpstreamActor> upstreamFactory) {
        this.loop = loop;
        this.log = log;
        this.connector = connector;
        this.address = address;
        mailbox = new Mailbox(loop, log);
        this.limit = limit;
        registry = new EndpointRegistry(log, loadBalancer, limit, upstreamFactory);
    }

    /** Loads the cached endpoint list, which is used until discovery answers. */
    public void loadCached(EndpointListPage page) {
        version = page.version();
        registry.apply(page, EndpointUpdate.CACHED);
    }

    @Override
    public void watch() {
        mailbox.post(() -> {
            if (!watchCalls.isOutstanding()) {
                beginNextCall();
            }
        });
    }

    /**
     * Switches to discovery at another address. Fetches its complete list at once, as its versions may be unrelated to
     * those of the previous address.
     */
    public void setAddress(InetSocketAddress newAddress) {
        mailbox.post(() -> {
            log.info("discovery address changed: address=" + SocketAddresses.format(newAddress));
            address = newAddress;
            version = NO_VERSION;
            watchCalls.addressChanged();
            closeIdleConnection();
            beginNextCall();
        });
    }

    /**
     * Checks whether an upstream was ever listed, as far as remembered. The result is passed to the callback in the
     * mailbox.
     */
    public void wasEverListed(UpstreamId id, Consumer<Boolean> callback) {
        mailbox.post(() -> callback.accept(registry.wasEverListed(id)));
    }

    /**
     * Sets the listener for changes of the endpoint list.
     *
     * @param knownIds ids to be treated as listed before
     */
    public void onUpdate(Consumer<EndpointListSnapshot> listener, Iterable<UpstreamId> knownIds) {
        registry.onUpdate(listener, knownIds);
    }

    /** Returns the rows of the current endpoint list in discovery's format, as JSON trees. */
    public Collection<Object> endpointRows() {
        return registry.rows();
    }

    @Override
    public void beginCall(int callId, double waitSeconds, double timeoutSeconds) {
        OutstandingCall call = new OutstandingCall();
        outstanding.put(callId, call);
        // Runs after a poll, so that an answer that has arrived but was not yet read still counts.
        call.timeout =
                loop.schedule(timeoutSeconds, () -> loop.afterPoll(() -> mailbox.post(() -> handleTimeout(callId))));
        HttpConnection idle = idleConnection;
        idleConnection = null;
        boolean isReused = idle != null && idle.isUsable();
        log.info("discovery call begins: call=" + callId + " after=" + version + " wait-s=" + waitSeconds
                + " connection=" + (isReused ? "reused" : "new"));
        if (isReused) {
            send(callId, call, idle, waitSeconds);
            return;
        }
        call.connectAttempt = connector.connect(
                address,
                CONNECT_TIMEOUT_SECONDS,
                connection -> mailbox.post(() -> handleConnected(callId, call, connection, waitSeconds)),
                () -> mailbox.post(() -> handleFailure(callId, "no connection")));
    }

    @Override
    public void endCall(int callId, WatchCalls.EndReason reason) {
        end(callId, reason.name().toLowerCase(Locale.ROOT));
    }

    private void end(int callId, String reason) {
        log.info("discovery call ends: call=" + callId + " reason=" + reason);
        OutstandingCall call = outstanding.remove(callId);
        call.timeout.remove();
        if (call.connectAttempt != null) {
            call.connectAttempt.cancel();
        }
        if (call.connection != null) {
            call.connection.close();
        }
    }

    private void beginNextCall() {
        watchCalls.begin(version == NO_VERSION);
    }

    private void handleConnected(int callId, OutstandingCall call, HttpConnection connection, double waitSeconds) {
        if (outstanding.get(callId) == call) {
            call.connectAttempt = null;
            send(callId, call, connection, waitSeconds);
        } else {
            connection.close();
        }
    }

    private void send(int callId, OutstandingCall call, HttpConnection connection, double waitSeconds) {
        call.connection = connection;
        String target = waitSeconds == 0
                ? WireNames.ENDPOINTS_PATH
                : WireNames.ENDPOINTS_PATH + "?" + WireNames.AFTER_VERSION + "=" + version + "&"
                        + WireNames.WATCH_WAIT_MS + "=" + (long) (waitSeconds * 1e3);
        HttpCall request = HttpCall.of(Methods.GET, target, HttpCall.NO_BODY);
        request.headers().put(Headers.HOST, SocketAddresses.format(address));
        ListTransfer transfer = new ListTransfer(limit);
        connection.exchange(
                request,
                MAX_LIST_BYTES,
                transfer::receive,
                result -> mailbox.post(() -> handleResult(callId, call, result, transfer)));
    }

    private void handleResult(int callId, OutstandingCall call, HttpResult result, ListTransfer transfer) {
        if (outstanding.get(callId) != call) {
            return;
        }
        EndpointListPage page = result.status() == StatusCodes.OK ? parse(transfer) : null;
        if (page == null) {
            handleFailure(callId, "answer status=" + result.status());
            return;
        }
        log.info("discovery call answered: call=" + callId + " version=" + page.version() + " complete="
                + page.isComplete() + " rows=" + page.rows().size() + " left-out=" + page.leftOut() + " bytes="
                + transfer.bytes());
        outstanding.remove(callId);
        call.timeout.remove();
        idleConnection = call.connection;
        watchCalls.answered(callId);
        if (!page.isComplete() && page.version() < version) {
            // Changes of an older list would revert newer ones, such as the draining of an upstream.
            log.warn("discovery version went back: from=" + version + " to=" + page.version());
            version = NO_VERSION;
            beginNextCall();
            return;
        }
        if (!page.isComplete() && page.leftOut() > 0) {
            log.warn("discovery sent more changes than fit into memory: the complete list is fetched");
            version = NO_VERSION;
            beginNextCall();
            return;
        }
        if (!apply(page)) {
            // The list is fetched again after the backoff; without another call no further change would be received.
            version = NO_VERSION;
            registry.updateFailed();
            return;
        }
        if (isFailing) {
            isFailing = false;
            log.info("discovery answers again");
        }
        beginNextCall();
    }

    /** Applies the page; logs the exception and returns false if that fails. */
    private boolean apply(EndpointListPage page) {
        try {
            registry.apply(page, page.isComplete() ? EndpointUpdate.COMPLETE : EndpointUpdate.INCREMENTAL);
            version = page.version();
            return true;
        } catch (RuntimeException e) {
            log.fault("endpoint list not applied: version=" + page.version(), e);
            return false;
        }
    }

    /** Returns the list that was received; logs a warning and returns null if it is not an endpoint list. */
    private EndpointListPage parse(ListTransfer transfer) {
        try {
            return transfer.page();
        } catch (IOException | InvalidSettingException e) {
            log.warn("discovery sent no list: cause="
                    + e.getMessage().lines().findFirst().orElse(""));
            return null;
        }
    }

    private void handleTimeout(int callId) {
        if (watchCalls.isOutstanding(callId)) {
            if (!isFailing) {
                isFailing = true;
                log.warn("discovery call timed out: another begins");
            }
            watchCalls.timedOut(callId);
        }
    }

    /** Handles the failure of a call; ignores it if the call was abandoned in the meantime. */
    private void handleFailure(int callId, String reason) {
        if (!watchCalls.isOutstanding(callId)) {
            return;
        }
        end(callId, reason);
        watchCalls.failed(callId);
        closeIdleConnection();
        if (!isFailing) {
            isFailing = true;
            log.warn("discovery does not answer");
        }
        // The load balancer polls discovery again after its backoff.
        registry.updateFailed();
    }

    private void closeIdleConnection() {
        if (idleConnection != null) {
            idleConnection.close();
            idleConnection = null;
        }
    }
}
