package portrelay.net.admin;

import static java.nio.charset.StandardCharsets.UTF_8;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.ByteBuffer;
import org.xnio.ChannelListeners;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;
import portrelay.admission.BufferBudget;
import portrelay.admission.ConnectionCapacity;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.model.Hash;
import portrelay.model.UpstreamId;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.client.ClientConnections;
import portrelay.net.client.ClientFrontend;
import portrelay.net.client.ConnectionCounters;
import portrelay.net.client.LingeringClose;
import portrelay.net.client.RequestFramingFilter;
import portrelay.net.discovery.DiscoveryActor;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.handover.HandoverService;
import portrelay.net.http.HeaderForwarding;
import portrelay.net.http.SocketAddresses;
import portrelay.net.http.WireNames;

/**
 * Serves operator calls over HTTP, one call per connection. Each call is answered once its change is in effect. The
 * connections are managed separately from those of clients; under pressure, connections that have sent no call or an
 * incomplete one are evicted. All methods must be called on the event loop, except {@link #listen} and
 * {@link #address}, which may be called from any thread.
 */
public final class AdminEndpoint implements HttpHandler {

    private static final int BACKLOG = 1024;
    private static final int MAX_HEADER_BYTES = 8 * 1024;
    private static final int REQUEST_TIMEOUT_MS = 3000;
    /** Connections are not reused, so none is kept idle; silent and sending ones may use most of the capacity. */
    private static final ConnectionCapacityConfig CONNECTION_CAPACITY = new ConnectionCapacityConfig(
            /* firstByteTimeout= */ 0.25,
            /* sendTimeout= */ 3,
            /* readTimeout= */ 1,
            /* idleTimeout= */ 3,
            /* silentShare= */ 0.9,
            /* sendingShare= */ 0.9,
            /* minIdle= */ 0,
            /* idlePerAwaiting= */ 0,
            /* minIdleTime= */ 0.1);

    private final EventLoop loop;
    private final Log log;
    private final ClientConnections connections;
    private final DiscoveryActor discovery;
    private final LoadBalancerActor loadBalancer;
    private final ClientFrontend frontend;
    /** Null if handover is disabled. */
    private final HandoverService handover;

    private final HttpOpenListener httpListener;
    private final LingeringClose lingeringClose;
    private AcceptingChannel<StreamConnection> listener;
    private boolean isReady;

    /**
     * Creates the endpoint; it accepts calls once {@link #listen} is called.
     *
     * @param maxConnections the maximum number of open operator connections
     * @param handover null if handover is disabled
     */
    public AdminEndpoint(
            EventLoop loop,
            ByteBufferPool buffers,
            Log log,
            int maxConnections,
            DiscoveryActor discovery,
            LoadBalancerActor loadBalancer,
            ClientFrontend frontend,
            HandoverService handover) {
        this.handover = handover;
        this.loop = loop;
        this.log = log;
        this.discovery = discovery;
        this.loadBalancer = loadBalancer;
        this.frontend = frontend;
        connections = new ClientConnections(
                loop, log, CONNECTION_CAPACITY, new BufferBudget(BufferBudget.UNLIMITED), new ConnectionCounters());
        connections.setMaxConnections(maxConnections);
        lingeringClose = new LingeringClose(loop, connections, false, LingeringClose.BRIEF);
        httpListener = new HttpOpenListener(
                buffers,
                OptionMap.builder()
                        .set(UndertowOptions.DECODE_URL, false)
                        .set(UndertowOptions.ALWAYS_SET_DATE, false)
                        .set(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                        .set(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_TIMEOUT_MS)
                        .set(UndertowOptions.NO_REQUEST_TIMEOUT, REQUEST_TIMEOUT_MS)
                        .getMap());
        httpListener.setRootHandler(this);
    }

    /**
     * Starts to accept calls at the given address.
     *
     * @throws IOException if the address cannot be bound; names the setting and the address
     */
    public void listen(XnioWorker worker, InetSocketAddress address) throws IOException {
        try {
            listener = worker.createStreamConnectionServer(
                    address,
                    ChannelListeners.openListenerAdapter(this::accept),
                    OptionMap.builder()
                            .set(Options.TCP_NODELAY, true)
                            .set(Options.REUSE_ADDRESSES, true)
                            .set(Options.BACKLOG, BACKLOG)
                            .getMap());
        } catch (IOException e) {
            throw new IOException(
                    WireNames.ADMIN_ADDRESS + " " + SocketAddresses.format(address) + ": " + e.getMessage(), e);
        }
        listener.resumeAccepts();
    }

    /** Returns the bound address, with the port chosen by the system if the configured port is 0. */
    public InetSocketAddress address() {
        return listener.getLocalAddress(InetSocketAddress.class);
    }

    /** Sets whether this process is ready to serve, regardless of whether operators have taken it out of service. */
    public void setReady(boolean isReady) {
        this.isReady = isReady;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connections.trackClose(connection);
        connections.phaseChanged(connection, ConnectionCapacity.Phase.ASKED);
        exchange.setPersistent(false);
        exchange.dispatch(SameThreadExecutor.INSTANCE, () -> route(exchange));
    }

    private void accept(StreamConnection connection) {
        RequestFramingFilter framing = new RequestFramingFilter(
                connection.getSourceChannel().getConduit(),
                () -> connections.bytesReceived(connection),
                loop::now,
                loop::afterPoll);
        connection.getSourceChannel().setConduit(framing);
        connections.opened(connection, framing);
        httpListener.handleEvent(connection);
    }

    private void route(HttpServerExchange exchange) {
        String path = HeaderForwarding.path(exchange);
        int slash = path.lastIndexOf('/');
        String lastSegment = path.substring(slash + 1);
        boolean isUpstreamCall = path.startsWith(WireNames.ADMIN_UPSTREAMS_PATH)
                && slash >= WireNames.ADMIN_UPSTREAMS_PATH.length()
                && (lastSegment.equals(WireNames.OFFLINE) || lastSegment.equals(WireNames.ONLINE));
        if (path.equals(WireNames.ADMIN_READINESS_PATH)) {
            if (isAllowed(exchange, Methods.GET)) {
                answerReadiness(exchange);
            }
        } else if (path.equals(WireNames.ADMIN_OUT_OF_SERVICE_PATH) || path.equals(WireNames.ADMIN_IN_SERVICE_PATH)) {
            if (isAllowed(exchange, Methods.PUT)) {
                setInService(exchange, path.equals(WireNames.ADMIN_IN_SERVICE_PATH));
            }
        } else if (isUpstreamCall) {
            if (isAllowed(exchange, Methods.PUT)) {
                String escapedId = path.substring(WireNames.ADMIN_UPSTREAMS_PATH.length(), slash);
                setDisabled(exchange, escapedId, lastSegment);
            }
        } else {
            answer(exchange, StatusCodes.NOT_FOUND, "no such call");
        }
    }

    private void answerReadiness(HttpServerExchange exchange) {
        if (isReady) {
            answer(exchange, StatusCodes.OK, "ready");
        } else {
            answer(exchange, StatusCodes.SERVICE_UNAVAILABLE, "not ready");
        }
    }

    private void setInService(HttpServerExchange exchange, boolean isInService) {
        frontend.setInService(isInService);
        if (handover != null) {
            handover.recordOutOfService(!isInService, loop.now());
        }
        log.info("operators: in-service=" + isInService);
        answer(exchange, StatusCodes.OK, isInService ? "in service" : "out of service");
    }

    private void setDisabled(HttpServerExchange exchange, String escapedId, String state) {
        String id;
        try {
            // Unlike in form data, a plus sign in a path is literal.
            id = URLDecoder.decode(escapedId.replace("+", "%2B"), UTF_8);
        } catch (IllegalArgumentException e) {
            answer(exchange, StatusCodes.BAD_REQUEST, "an id that is not well escaped");
            return;
        }
        UpstreamId upstream = new UpstreamId(Hash.of(id));
        boolean isDisabled = state.equals(WireNames.OFFLINE);
        discovery.wasEverListed(upstream, wasEverListed -> {
            if (!wasEverListed) {
                answer(exchange, StatusCodes.NOT_FOUND, "no upstream of this id was ever listed");
                return;
            }
            if (handover != null) {
                handover.recordDisabled(upstream, isDisabled, loop.now());
            }
            loadBalancer.setDisabled(upstream, isDisabled, () -> {
                log.info("operators: upstream=" + Log.clean(id) + " state=" + state);
                answer(exchange, StatusCodes.OK, "upstream " + Log.clean(id) + " " + state);
            });
        });
    }

    /** Returns whether the call uses the given method; answers it with status 405 otherwise. */
    private boolean isAllowed(HttpServerExchange exchange, HttpString method) {
        if (exchange.getRequestMethod().equals(method)) {
            return true;
        }
        exchange.getResponseHeaders().put(Headers.ALLOW, method.toString());
        answer(exchange, StatusCodes.METHOD_NOT_ALLOWED, "takes " + method);
        return false;
    }

    /** Answers the call without waiting for the request body. */
    private void answer(HttpServerExchange exchange, int status, String text) {
        connections.phaseChanged((HttpServerConnection) exchange.getConnection(), ConnectionCapacity.Phase.ANSWERING);
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain");
        byte[] bytes = (text + "\n").getBytes(UTF_8);
        exchange.setResponseContentLength(bytes.length);
        exchange.getResponseSender().send(ByteBuffer.wrap(bytes), lingeringClose);
    }
}
