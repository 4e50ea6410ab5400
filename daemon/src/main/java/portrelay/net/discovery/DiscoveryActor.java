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
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Function;
import org.xnio.XnioExecutor;
import portrelay.discovery.WatchCalls;
import portrelay.json.JsonTree;
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
import portrelay.settings.JsonFields;

/**
 * Keeps one watch of the endpoint list going: owns the connections to discovery and carries out the calls that
 * {@link WatchCalls} decides on.
 */
public final class DiscoveryActor implements LoadBalancerActor.Watch, WatchCalls.Actions {

    private static final int MAX_LIST_BYTES = 4 * 1024 * 1024;
    /** Of no list yet, or of one that later changes do not apply to: the next call fetches the complete list. */
    private static final long NO_VERSION = -1;

    private static final double CONNECT_TIMEOUT_SECONDS = 1;

    /** A call that is outstanding: it waits for a connect, or has a connection. */
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
    private final WatchCalls watchCalls = new WatchCalls(this);
    private final Map<Integer, OutstandingCall> outstanding = new HashMap<>();
    private InetSocketAddress address;
    private long version = NO_VERSION;
    /** The connection that the last answer came on, until the next call takes it. */
    private HttpConnection idleConnection;

    private boolean isFailing;

    /**
     * Asks nothing before {@link #watch} is called.
     *
     * @param upstreamFactory makes the actor of an upstream that is listed for the first time
     */
    public DiscoveryActor(
            EventLoop loop,
            Log log,
            Connector connector,
            InetSocketAddress address,
            LoadBalancerActor loadBalancer,
            Function<InetSocketAddress, UpstreamActor> upstreamFactory) {
        this.loop = loop;
        this.log = log;
        this.connector = connector;
        this.address = address;
        mailbox = new Mailbox(loop, log);
        registry = new EndpointRegistry(log, loadBalancer, upstreamFactory);
    }

    /**
     * Until discovery answers, works with the endpoint list that this sidecar last knew.
     *
     * @throws InvalidSettingException names the field that is not in discovery's form
     */
    public void loadCached(JsonFields list) throws InvalidSettingException {
        EndpointListPage page = EndpointListPage.read(list);
        version = page.version();
        registry.apply(page, EndpointUpdate.CACHED);
    }

    @Override
    public void watch() {
        mailbox.post(() -> {
            if (!watchCalls.isOutstanding()) {
                callNext();
            }
        });
    }

    /** Asks another discovery, at once and for its complete list: its versions need not follow the other's. */
    public void setAddress(InetSocketAddress newAddress) {
        mailbox.post(() -> {
            log.info("discovery address changed: address=" + SocketAddresses.format(newAddress));
            address = newAddress;
            version = NO_VERSION;
            watchCalls.addressChanged();
            closeIdleConnection();
            callNext();
        });
    }

    /** Calls back by the mailbox with whether the id was ever listed, as far as that is remembered. */
    public void wasEverListed(UpstreamId id, Consumer<Boolean> callback) {
        mailbox.post(() -> callback.accept(registry.wasEverListed(id)));
    }

    /**
     * From here on the listener is called with each change: the ids that were ever listed, and the list in discovery's
     * form. The listener may keep both: nobody changes them any longer.
     *
     * @param knownIds ids that count as listed before
     */
    public void onUpdate(BiConsumer<Set<UpstreamId>, Object> listener, Set<UpstreamId> knownIds) {
        registry.onUpdate(listener, knownIds);
    }

    /** The rows of the list as it stands, in discovery's form. */
    public Collection<Object> endpointRows() {
        return registry.rows();
    }

    @Override
    public void beginCall(int callId, double waitSeconds, double timeoutSeconds) {
        OutstandingCall call = new OutstandingCall();
        outstanding.put(callId, call);
        // After a poll, so that an answer counts that has arrived and was not read yet.
        call.timeout = loop.schedule(timeoutSeconds, () -> loop.afterPoll(() -> mailbox.post(() -> timedOut(callId))));
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
                connection -> mailbox.post(() -> connected(callId, call, connection, waitSeconds)),
                () -> mailbox.post(() -> failed(callId, "no connection")));
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

    private void callNext() {
        watchCalls.begin(version == NO_VERSION);
    }

    private void connected(int callId, OutstandingCall call, HttpConnection connection, double waitSeconds) {
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
        connection.exchange(request, MAX_LIST_BYTES, result -> mailbox.post(() -> answered(callId, call, result)));
    }

    private void answered(int callId, OutstandingCall call, HttpResult result) {
        if (outstanding.get(callId) != call) {
            return;
        }
        EndpointListPage page = result.status() == StatusCodes.OK ? parse(result) : null;
        if (page == null) {
            failed(callId, "answer status=" + result.status());
            return;
        }
        log.info("discovery call answered: call=" + callId + " version=" + page.version() + " complete="
                + page.isComplete() + " rows=" + page.rows().size() + " bytes=" + result.body().length);
        outstanding.remove(callId);
        call.timeout.remove();
        idleConnection = call.connection;
        watchCalls.answered(callId);
        if (!page.isComplete() && page.version() < version) {
            // Guards against the changes of an older list: they would undo newer ones, an upstream's drain among them.
            log.warn("discovery version went back: from=" + version + " to=" + page.version());
            version = NO_VERSION;
            callNext();
            return;
        }
        if (!apply(page)) {
            // Asked for anew after the backoff: without a call no further change would be heard of.
            version = NO_VERSION;
            registry.updateFailed();
            return;
        }
        if (isFailing) {
            isFailing = false;
            log.info("discovery answers again");
        }
        callNext();
    }

    /** False, with the fault in the log, where the list could not be taken over whole. */
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

    /** Null, with a line in the log, where the answer is no list. */
    private EndpointListPage parse(HttpResult result) {
        try {
            return EndpointListPage.read(JsonFields.of(JsonTree.parse(result.body()), ""));
        } catch (IOException | InvalidSettingException e) {
            log.warn("discovery sent no list: cause="
                    + e.getMessage().lines().findFirst().orElse(""));
            return null;
        }
    }

    private void timedOut(int callId) {
        if (watchCalls.isOutstanding(callId)) {
            if (!isFailing) {
                isFailing = true;
                log.warn("discovery call timed out: another begins");
            }
            watchCalls.timedOut(callId);
        }
    }

    /** Checks the call, as this may arrive after the call was given up. */
    private void failed(int callId, String reason) {
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
        // The load balancer asks again after its backoff.
        registry.updateFailed();
    }

    private void closeIdleConnection() {
        if (idleConnection != null) {
            idleConnection.close();
            idleConnection = null;
        }
    }
}
