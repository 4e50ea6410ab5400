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
import portrelay.admission.BufferBudget;
import portrelay.admission.ConnectionCapacity;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.net.admission.AdmissionActor;
import portrelay.net.connection.HttpCall;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.handover.RequestIdTable;
import portrelay.net.http.Framing;
import portrelay.net.http.ReceiverTimeout;
import portrelay.shutdown.Shutdown;

/**
 * Accepts clients' connections and connects them to the handlers of this package. Owns the listener; the sockets belong
 * to {@link ClientConnections}. All methods except the constructor run on the loop.
 */
public final class ClientFrontend {

    /** Maximum number of connections closed in one turn of the loop, so that other tasks run in between. */
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
     * @param executedIds the ids of requests that may have been executed
     * @param budget the bytes that all connections may hold
     * @param counters receives the accepted and evicted connections
     * @param retryAfterSeconds the Retry-After sent with a request rejected because of the shutdown, 0 for none
     */
    public ClientFrontend(
            EventLoop loop,
            Log log,
            ByteBufferPool buffers,
            RequestReader reader,
            RequestIdTable executedIds,
            AdmissionActor admission,
            ConnectionCapacityConfig capacity,
            BufferBudget budget,
            ConnectionCounters counters,
            Shutdown shutdown,
            double retryAfterSeconds) {
        this.loop = loop;
        this.admission = admission;
        connections = new ClientConnections(loop, log, capacity, budget, counters);
        listener = new ClientListener(
                loop,
                log,
                this::accept,
                () -> connections.closeIdle(ConnectionCapacity.Cause.NOT_NEEDED, 0, MAX_CLOSED_PER_TURN));
        service = new ServiceState(loop, connections, shutdown);
        ResponseWriter responses = new ResponseWriter(loop, log, connections, service);
        dispatcher = new RequestDispatcher(
                loop,
                log,
                reader,
                new RepeatGuard(reader.settings(), executedIds),
                admission,
                connections,
                counters,
                responses,
                shutdown,
                retryAfterSeconds);
        lateRequests = new LateRequestRejecter(loop, connections, shutdown, retryAfterSeconds);
        http = new HttpOpenListener(buffers, undertowOptions());
        http.setRootHandler(new HttpContinueReadHandler(
                new RequestHandler(loop, reader, connections, service, responses, dispatcher)));
    }

    /**
     * Returns the options of Undertow's listener. Undertow's own timeouts for heads and for the next request stay
     * unset: after event loop lag they would close connections that hold an unread request. {@link ClientConnections}
     * implements both timeouts and checks for unread bytes first. Undertow's default limit of 2 MiB for a body would
     * cut off longer ones without a response. The limit here is twice that of {@link RequestReader}, which is therefore
     * reached first and answered with a response.
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
     * Starts accepting connections at this address. Above {@code maxClients} an open connection is evicted for each new
     * one, as one that is left waiting in the listen queue would go unnoticed.
     *
     * @throws IOException if the address can't be bound
     */
    public void listen(XnioWorker worker, InetSocketAddress address, int maxClients) throws IOException {
        connections.setMaxConnections(maxClients);
        listener.listen(worker, address, maxClients);
    }

    /**
     * Warms up the close of the listener, which happens only once, at a time when connections depend on how long it
     * takes.
     */
    public void warmUpStopListening(XnioWorker worker) {
        listener.warmUpClose(worker);
    }

    /** Whether {@link #listen} has succeeded; also after {@link #stopListening}. */
    public boolean isListening() {
        return listener.hasListened();
    }

    /** Returns the bound address; may be called only after {@link #listen}. */
    public InetSocketAddress address() {
        return listener.address();
    }

    /** Takes ownership of an open connection that was made within the process, and closes it. */
    public void accept(StreamConnection client) {
        accept(client, loop.now());
    }

    private void accept(StreamConnection client, double arrivedAfter) {
        ArrivalClock arrivalClock = new ArrivalClock(loop, arrivedAfter);
        RequestFramingFilter filter = new RequestFramingFilter(
                client.getSourceChannel().getConduit(),
                () -> connections.bytesReceived(client),
                arrivalClock,
                loop::afterPoll);
        client.getSourceChannel().setConduit(filter);
        ReceiverTimeout.boundSendBuffer(client);
        connections.opened(client, filter);
        if (!lateRequests.interceptLateRequests(client, filter)) {
            http.handleEvent(client);
        }
        arrivalClock.connectionHandled();
    }

    /** Sets what the readiness path reports while the sidecar is in service. */
    public void setReady(boolean ready) {
        service.setReady(ready);
    }

    /** Takes the sidecar out of service or puts it back, as requested by an operator; no request is cut off. */
    public void setInService(boolean inService) {
        service.setInService(inService);
    }

    /** Stops accepting new connections; those that wait in the kernel's queue are still accepted. */
    public void stopListening() {
        listener.close();
    }

    /**
     * Stops closing surplus connections once the shutdown has begun, as their clients will soon be unable to open new
     * ones.
     */
    public void keepConnections() {
        connections.keepSurplusConnections();
    }

    /** Rejects the queued requests and all that are read from now on. */
    public void rejectNewRequests() {
        admission.close();
    }

    /**
     * Closes connections on which nothing was received for {@code minIdleSeconds}, in a shutdown; a limited number in
     * one call.
     */
    public void closeIdle(double minIdleSeconds) {
        connections.closeIdle(ConnectionCapacity.Cause.SHUTDOWN, minIdleSeconds, MAX_CLOSED_PER_TURN);
    }

    /** Closes the listener and the connections at once, without a graceful shutdown. */
    public void closeNow() {
        listener.closeNow();
        admission.close();
        connections.closeIdle(ConnectionCapacity.Cause.SHUTDOWN, 0, Integer.MAX_VALUE);
    }

    /** Returns the number of requests rejected because of the shutdown. */
    public int rejectedDuringShutdown() {
        return dispatcher.rejectedDuringShutdown() + lateRequests.rejectedCount();
    }

    /** Sets the maximum number of client connections; those over the limit are evicted at once. */
    public void setMaxClients(int maxConnections) {
        connections.setMaxConnections(maxConnections);
    }

    /** As {@link RequestDispatcher#setMaxStreamedBodies}. */
    public void setMaxStreamedBodies(int maxStreamedBodies) {
        dispatcher.setMaxStreamedBodies(maxStreamedBodies);
    }

    /** Returns the number of connected clients, including those whose connections still wait to be handled. */
    public int clientCount() {
        return connections.count() + listener.pendingCount();
    }
}
