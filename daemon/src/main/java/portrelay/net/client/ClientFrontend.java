package portrelay.net.client;

import io.undertow.UndertowOptions;
import io.undertow.connector.ByteBufferPool;
import io.undertow.server.handlers.HttpContinueReadHandler;
import io.undertow.server.protocol.http.HttpOpenListener;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import portrelay.admission.ConnectionCapacity;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.net.admission.AdmissionActor;
import portrelay.net.connection.HttpCall;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.http.Framing;
import portrelay.shutdown.Shutdown;

/**
 * Accepts clients' connections and puts the handlers of this package behind them. Owner of the listener; the sockets
 * belong to {@link ClientConnections}. All methods but the constructor run on the loop.
 */
public final class ClientFrontend {

    /** Most connections that one turn of the loop closes, so that other tasks have their turn between. */
    private static final int MAX_CLOSED_PER_TURN = 64;

    private final EventLoop loop;
    private final AdmissionActor admission;
    private final ClientConnections connections;
    private final ClientListener listener;
    private final ServiceState service;
    private final RequestDispatcher dispatcher;
    private final LateRequestRejecter lateRequests;
    private final HttpOpenListener http;

    /**
     * @param buffers pool that Undertow and the transfer of long bodies take their buffers from
     * @param counters where ended connections are counted
     * @param retryAfterSeconds what a request that is rejected because of the shutdown is told, 0 for no advice
     */
    public ClientFrontend(
            EventLoop loop,
            Log log,
            ByteBufferPool buffers,
            RequestReader reader,
            AdmissionActor admission,
            ConnectionCapacityConfig capacity,
            ConnectionCounters counters,
            Shutdown shutdown,
            double retryAfterSeconds) {
        this.loop = loop;
        this.admission = admission;
        connections = new ClientConnections(loop, log, capacity, counters);
        listener = new ClientListener(
                loop,
                log,
                this::accept,
                () -> connections.closeIdle(ConnectionCapacity.Cause.NOT_NEEDED, 0, MAX_CLOSED_PER_TURN));
        service = new ServiceState(loop, connections, shutdown);
        ResponseWriter responses = new ResponseWriter(loop, log, connections, service);
        dispatcher = new RequestDispatcher(
                loop, log, reader, admission, connections, counters, responses, shutdown, retryAfterSeconds);
        lateRequests = new LateRequestRejecter(loop, connections, shutdown, retryAfterSeconds);
        http = new HttpOpenListener(buffers, undertowOptions());
        http.setRootHandler(new HttpContinueReadHandler(
                new RequestHandler(loop, reader, connections, service, responses, dispatcher)));
    }

    /**
     * Undertow's own timeouts for heads and for the next request stay unset: where the loop was late they would end
     * connections in which a request lies unread. {@link ClientConnections} has both, and checks for unread bytes
     * first. Undertow's default limit of 2 MiB for a body would cut longer ones off without a response. The limit here
     * is twice that of {@link RequestReader}, which is therefore reached first and answered.
     */
    private static OptionMap undertowOptions() {
        return OptionMap.builder()
                .set(UndertowOptions.DECODE_URL, false)
                .set(UndertowOptions.ALWAYS_SET_DATE, false)
                .set(UndertowOptions.ALWAYS_SET_KEEP_ALIVE, false)
                .set(UndertowOptions.MAX_HEADER_SIZE, Framing.MAX_HEAD_BYTES)
                .set(UndertowOptions.MAX_ENTITY_SIZE, 2L * HttpCall.MAX_BODY)
                .getMap();
    }

    /**
     * Accepts connections at this address. Past {@code maxClients} another connection is evicted for each that comes,
     * as nobody would notice one that is left waiting in the listen queue.
     *
     * @throws IOException where the address can't be bound
     */
    public void listen(XnioWorker worker, InetSocketAddress at, int maxClients) throws IOException {
        connections.setMaxConnections(maxClients);
        listener.listen(worker, at, maxClients);
    }

    /** Part of the warm-up: the listener is closed once, when connections depend on how long that takes. */
    public void warmUpStopListening(XnioWorker worker) {
        listener.warmUpClose(worker);
    }

    /** Whether it has ever listened. */
    public boolean isListening() {
        return listener.hasListened();
    }

    /** The bound address; only once it listens. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /**
     * Takes over an open connection, be it from the listener or from within the process; closing it is left to this.
     */
    public void accept(StreamConnection client) {
        RequestFramingFilter filter = new RequestFramingFilter(
                client.getSourceChannel().getConduit(), () -> connections.bytesReceived(client), loop::earliestArrival);
        client.getSourceChannel().setConduit(filter);
        connections.opened(client, filter);
        if (!lateRequests.watch(client, filter)) {
            http.handleEvent(client);
        }
    }

    /** What the readiness path says from here on, as long as the sidecar is in service. */
    public void setReady(boolean ready) {
        service.setReady(ready);
    }

    /** Takes clients out of service or puts them back, as operators ask for; no request is cut off. */
    public void setInService(boolean inService) {
        service.setInService(inService);
    }

    /** No new connections from here on; those that wait in the kernel's queue are taken. */
    public void stopListening() {
        listener.close();
    }

    /** The shutdown has begun: open connections stay open, as their clients will soon not be able to open others. */
    public void keepConnections() {
        connections.keepSurplus();
    }

    /** Rejects the requests that are queued, and those that are read from here on. */
    public void rejectNewRequests() {
        admission.close();
    }

    /** In a shutdown: closes connections on which nothing was received for so long; a limited number in one call. */
    public void closeIdle(double minIdleSeconds) {
        connections.closeIdle(ConnectionCapacity.Cause.SHUTDOWN, minIdleSeconds, MAX_CLOSED_PER_TURN);
    }

    /** Closes the listener and the connections at once, without a graceful shutdown. */
    public void closeNow() {
        listener.closeNow();
        admission.close();
        connections.closeIdle(ConnectionCapacity.Cause.SHUTDOWN, 0, Integer.MAX_VALUE);
    }

    /** How many requests were rejected because the process shuts down. */
    public int rejectedDuringShutdown() {
        return dispatcher.rejectedDuringShutdown() + lateRequests.rejectedCount();
    }

    /** Clients may hold so many connections from here on; those past the limit are evicted at once. */
    public void setMaxClients(int maxConnections) {
        connections.setMaxConnections(maxConnections);
    }

    /** How many clients are connected, those included whose connections still wait to be handled. */
    public int clientCount() {
        return connections.count() + listener.pendingCount();
    }
}
