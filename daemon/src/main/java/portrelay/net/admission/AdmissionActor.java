package portrelay.net.admission;

import io.undertow.util.HeaderValues;
import java.net.InetAddress;
import java.util.HashMap;
import java.util.Map;
import portrelay.admission.AdmissionActions;
import portrelay.admission.AdmissionConfig;
import portrelay.admission.AdmissionController;
import portrelay.admission.AdmissionRequest;
import portrelay.admission.FlowId;
import portrelay.admission.TenantCounters;
import portrelay.model.RequestArrival;
import portrelay.model.RequestId;
import portrelay.model.TenantId;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.connection.HttpResult;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.Mailbox;
import portrelay.net.upstream.IncomingRequest;
import portrelay.settings.Settings;

/**
 * Drives the {@link AdmissionController}: owns the requests that are queued, hands the load balancer those that are
 * admitted and answers those that are rejected. Decides nothing itself. The controller is entered by this actor's
 * mailbox alone, so never while it is deciding.
 */
public final class AdmissionActor implements AdmissionActions {

    private final EventLoop loop;
    private final Mailbox mailbox;
    private final Log log;
    private final Settings settings;
    private final AdmissionConfig config;
    private final LoadBalancerActor loadBalancer;
    private final AdmissionController controller;
    /** Those that have arrived and are neither admitted nor rejected. */
    private final Map<RequestId, IncomingRequest> queued = new HashMap<>();
    /** Requests rejected up to the last {@link #logCounters}. */
    private long loggedRejections;

    /** @param seed of the controller's random draws */
    public AdmissionActor(
            EventLoop loop,
            Log log,
            Settings settings,
            AdmissionConfig config,
            LoadBalancerActor loadBalancer,
            long seed) {
        this.loop = loop;
        this.mailbox = new Mailbox(loop, log);
        this.log = log;
        this.settings = settings;
        this.config = config;
        this.loadBalancer = loadBalancer;
        this.controller = new AdmissionController(config, settings.maxRetryAfter(), seed, this);
        loadBalancer.onCapacityChanged(this::capacityChanged);
    }

    /**
     * A request has come; its responder is told of the result.
     *
     * @param clientAddress null where the client has none, as in the warm-up
     */
    public void requestArrived(IncomingRequest incoming, InetAddress clientAddress) {
        mailbox.post(() -> handleArrival(incoming, clientAddress));
    }

    /** The client of a request, queued or admitted, waits for its response no more. */
    public void clientLeft(RequestId id) {
        mailbox.post(() -> {
            if (controller.isQueued(id)) {
                queued.remove(id);
                controller.clientLeft(loop.now(), id);
            } else {
                loadBalancer.clientLeft(id);
                controller.requestAnswered(loop.now(), id);
            }
        });
    }

    /** Rejects what is queued, and what still arrives. */
    public void close() {
        mailbox.post(() -> controller.close(loop.now()));
    }

    /** A line for each tenant, where requests were rejected since the last call; counts are since the start. */
    public void logCounters() {
        Map<TenantId, TenantCounters> byTenant = controller.countersByTenant();
        long rejections =
                byTenant.values().stream().mapToLong(TenantCounters::rejected).sum();
        if (rejections > loggedRejections) {
            byTenant.forEach(
                    (tenant, counters) -> log.info("admission: tenant=" + settings.name(tenant) + " " + counters));
        }
        loggedRejections = rejections;
    }

    private void handleArrival(IncomingRequest incoming, InetAddress clientAddress) {
        RequestArrival arrival = incoming.arrival();
        queued.put(arrival.id(), incoming);
        double now = loop.now();
        double queueDeadline = now + config.waitShare() * (arrival.deadline() - now);
        int bytes = incoming.body().length + incoming.target().length() + headerBytes(incoming);
        controller.requestArrived(
                now,
                new AdmissionRequest(
                        arrival.id(),
                        flow(arrival, clientAddress),
                        arrival.tenant(),
                        arrival.requestClass(),
                        settings.weight(arrival.tenant()),
                        controller.expectedWork(arrival.requestClass()),
                        bytes,
                        queueDeadline,
                        arrival.retriedByClient()));
    }

    /** Headers count towards what a queued request holds: they may be many times as long as its body. */
    private static int headerBytes(IncomingRequest incoming) {
        int sum = 0;
        for (HeaderValues header : incoming.headers()) {
            sum += header.getHeaderName().length();
            for (String value : header) {
                sum += value.length();
            }
        }
        return sum;
    }

    private FlowId flow(RequestArrival arrival, InetAddress clientAddress) {
        String tenant = arrival.tenant() == null
                ? ""
                : Integer.toString(arrival.tenant().value());
        String client = clientAddress == null ? "" : clientAddress.getHostAddress();
        return new FlowId(
                switch (config.flowsBy()) {
                    case TENANT -> tenant;
                    case CLIENT -> client;
                    case BOTH -> tenant + " " + client;
                });
    }

    private void capacityChanged() {
        if (controller.queuedCount() > 0) {
            mailbox.post(() -> controller.capacityChanged(loop.now()));
        }
    }

    /** Not passed on before its time: the controller asks once for each time, and an early wake-up would use it up. */
    private void wakeUp(double time) {
        if (loop.now() < time) {
            wakeUpAt(time);
        } else {
            controller.wakeUp(loop.now());
        }
    }

    // ---- What the controller decides --------------------------------------------------------------------

    @Override
    public void admit(RequestId request) {
        IncomingRequest incoming = queued.remove(request);
        loadBalancer.requestArrived(incoming.withResponder(new AdmittedResponder(request, incoming.responder())));
    }

    @Override
    public void reject(RequestId request, double retryAfterSeconds) {
        queued.remove(request).responder().rejected(retryAfterSeconds);
    }

    @Override
    public void wakeUpAt(double time) {
        loop.schedule(time - loop.now(), () -> mailbox.post(() -> wakeUp(time)));
    }

    @Override
    public boolean loadBalancerHasCapacity() {
        return loadBalancer.hasCapacity();
    }

    /** Passes on the response to an admitted request and tells the controller, whose capacity it frees. */
    private final class AdmittedResponder implements IncomingRequest.Responder {

        private final RequestId id;
        private final IncomingRequest.Responder client;

        AdmittedResponder(RequestId id, IncomingRequest.Responder client) {
            this.id = id;
            this.client = client;
        }

        @Override
        public boolean isOver() {
            return client.isOver();
        }

        @Override
        public void served(HttpResult result) {
            client.served(result);
            answered();
        }

        @Override
        public void rejected(double retryAfterSeconds) {
            client.rejected(retryAfterSeconds);
            answered();
        }

        @Override
        public void failed() {
            client.failed();
            answered();
        }

        private void answered() {
            mailbox.post(() -> controller.requestAnswered(loop.now(), id));
        }
    }
}
