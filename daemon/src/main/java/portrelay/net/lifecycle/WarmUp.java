package portrelay.net.lifecycle;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpOpenListener;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.StatusCodes;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import portrelay.admission.AdmissionConfig;
import portrelay.admission.BufferBudget;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.RequestClass;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;
import portrelay.net.admission.AdmissionActor;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.client.ClientFrontend;
import portrelay.net.client.ConnectionCounters;
import portrelay.net.client.RequestReader;
import portrelay.net.connection.Connector;
import portrelay.net.connection.HttpCall;
import portrelay.net.connection.HttpConnection;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.handover.RequestIdTable;
import portrelay.net.http.WireNames;
import portrelay.net.upstream.UpstreamActor;
import portrelay.settings.Settings;
import portrelay.shutdown.Shutdown;

/**
 * Sends generated requests through a second set of actors, over pipes inside the process, before the sidecar is ready.
 * Without it the JVM would load and compile classes while it serves the first clients, and answer them late. Runs on
 * the event loop.
 */
public final class WarmUp {

    /**
     * How long a warm-up lasts: until either limit is reached.
     *
     * @param requests number of requests that have been answered
     * @param seconds time since the start of the warm-up
     */
    public record Length(int requests, double seconds) {

        /** For a process without a serving sibling: clients wait for it. */
        static final Length FIRST = new Length(1000, 1.5);
        /** For a process whose clients are served by a sibling process meanwhile. */
        static final Length SUCCESSOR = new Length(6000, 3);
    }

    private static final int CLIENT_COUNT = 2;
    private static final int UPSTREAM_COUNT = 3;
    private static final int MAX_CONNECTIONS = 100;
    private static final int DEADLINE_MS = 1000;
    /** The body of each request that is not safe, and of each response. */
    private static final byte[] BODY = new byte[256];
    /** Never used, as connections are pipes. */
    private static final InetSocketAddress UNUSED_ADDRESS = new InetSocketAddress(InetAddress.getLoopbackAddress(), 1);

    private final EventLoop loop;
    private final Length length;
    private final Settings settings;
    private final String tenant;
    private final LoadBalancerActor loadBalancer;
    private final Connector clientConnector;
    private final List<UpstreamActor> upstreams = new ArrayList<>();
    private final List<HttpConnection> clients = new ArrayList<>();
    private final List<RequestClass> requestClasses;
    /** Null before the start and after the end. */
    private Runnable onEnd;

    private int sentCount;
    private int answeredCount;
    private int servedCount;

    WarmUp(EventLoop loop, ByteBufferPool buffers, SidecarConfig config, Length length) {
        this.loop = loop;
        this.length = length;
        this.settings = config.settings();
        this.tenant = settings.firstTenantName();
        this.requestClasses = settings.requestClasses();
        Log noLog = new Log(new PrintStream(OutputStream.nullOutputStream()), config.name());
        loadBalancer = new LoadBalancerActor(loop, noLog, actions -> settings.createStandalone(actions, config.seed()));
        ClientFrontend frontend = new ClientFrontend(
                loop,
                noLog,
                buffers,
                new RequestReader(settings),
                RequestIdTable.ofProcess(),
                new AdmissionActor(loop, noLog, settings, AdmissionConfig.DEFAULTS, loadBalancer, config.seed()),
                ConnectionCapacityConfig.DEFAULTS,
                new BufferBudget(BufferBudget.UNLIMITED),
                new ConnectionCounters(),
                Shutdown.never(),
                0);
        HttpOpenListener upstreamServer = new HttpOpenListener(buffers);
        upstreamServer.setRootHandler(WarmUp::serve);
        Connector upstreamConnector = new Connector(
                loop, buffers, MAX_CONNECTIONS, open -> {}, new InProcessOpener(loop, upstreamServer::handleEvent));
        clientConnector =
                new Connector(loop, buffers, MAX_CONNECTIONS, open -> {}, new InProcessOpener(loop, frontend::accept));
        for (int i = 0; i < UPSTREAM_COUNT; i++) {
            upstreams.add(new UpstreamActor(loop, noLog, upstreamConnector, loadBalancer, 0, 0, UNUSED_ADDRESS));
        }
    }

    /**
     * Starts the warm-up.
     *
     * @param onEnd called once, when the length is reached or {@link #end} is called
     */
    void run(Runnable onEnd) {
        this.onEnd = onEnd;
        if (requestClasses.isEmpty()) {
            onEnd.run();
            return;
        }
        startLoadBalancer();
        for (int i = 0; i < CLIENT_COUNT; i++) {
            clientConnector.connect(
                    UNUSED_ADDRESS,
                    0,
                    client -> {
                        clients.add(client);
                        sendNext(client);
                    },
                    this::end);
        }
        loop.schedule(length.seconds, this::end);
    }

    /** Ends the warm-up now and calls the callback given to {@link #run}. Does nothing after the end. */
    void end() {
        if (onEnd == null) {
            return;
        }
        Runnable callback = onEnd;
        onEnd = null;
        clients.forEach(HttpConnection::close);
        upstreams.forEach(UpstreamActor::close);
        callback.run();
    }

    /** Returns the number of requests that were answered, with any status. */
    int answeredCount() {
        return answeredCount;
    }

    /** Returns the number of requests that were answered with status 200. */
    int servedCount() {
        return servedCount;
    }

    /** Starts the load balancer with the warm-up's upstreams as its endpoint list. */
    private void startLoadBalancer() {
        List<Endpoint> endpoints = new ArrayList<>();
        Map<UpstreamId, UpstreamActor> upstreamsById = new HashMap<>();
        for (UpstreamActor upstream : upstreams) {
            Endpoint endpoint = new Endpoint(
                    new UpstreamId(endpoints.size()),
                    Endpoint.Health.READY,
                    0,
                    1,
                    new CellId(0),
                    new ZoneId(0),
                    new InstanceTypeId(0));
            endpoints.add(endpoint);
            upstreamsById.put(endpoint.id(), upstream);
        }
        loadBalancer.start(() -> {}, null);
        loadBalancer.endpointsUpdated(EndpointUpdate.COMPLETE, endpoints, upstreamsById, Set.of());
    }

    private void sendNext(HttpConnection client) {
        if (onEnd == null || sentCount >= length.requests) {
            return;
        }
        RequestClass requestClass = requestClasses.get(sentCount % requestClasses.size());
        sentCount++;
        client.exchange(
                call(requestClass),
                HttpCall.MAX_BUFFERED_BODY,
                result -> loop.execute(() -> answered(client, result.status())));
    }

    private void answered(HttpConnection client, int status) {
        answeredCount++;
        servedCount += status == StatusCodes.OK ? 1 : 0;
        if (answeredCount >= length.requests) {
            end();
        } else {
            sendNext(client);
        }
    }

    private HttpCall call(RequestClass requestClass) {
        boolean isSafe = requestClass.idempotency() == RequestClass.Idempotency.SAFE;
        String name = settings.name(requestClass.id());
        HttpCall call = HttpCall.of(
                isSafe ? Methods.GET : Methods.POST,
                "/" + name + "/warm-up?n=" + sentCount,
                isSafe ? HttpCall.NO_BODY : BODY);
        HeaderMap headers = call.headers();
        headers.put(Headers.HOST, "warm.up");
        headers.put(WireNames.REQUEST_ID, "warm-up-" + sentCount);
        headers.put(WireNames.REQUEST_CLASS, name);
        headers.put(WireNames.DEADLINE_MS, DEADLINE_MS);
        if (tenant != null) {
            headers.put(WireNames.TENANT, tenant);
        }
        if (requestClass.idempotency() == RequestClass.Idempotency.KEYED) {
            headers.put(WireNames.IDEMPOTENCY_KEY, "warm-up-" + sentCount);
        }
        if (!isSafe) {
            headers.put(Headers.CONTENT_LENGTH, BODY.length);
        }
        return call;
    }

    private static void serve(HttpServerExchange exchange) {
        exchange.getRequestReceiver()
                .receiveFullBytes((whole, body) -> whole.getResponseSender().send(ByteBuffer.wrap(BODY)));
    }
}
