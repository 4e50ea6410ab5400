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
 * Drives the {@link AdmissionController}: owns the queued requests, passes admitted ones to the load balancer and
 * answers rejected ones, without any decisions of its own. Events reach the controller only through this actor's
 * mailbox, so none reaches it while it makes a decision.
 */
public final class AdmissionActor implements AdmissionActions {

    private final EventLoop loop;
    private final Mailbox mailbox;
    private final Log log;
    private final Settings settings;
    private final AdmissionConfig config;
    private final LoadBalancerActor loadBalancer;
    private final AdmissionController controller;
    /** The requests that are neither admitted nor rejected yet. */
    private final Map<RequestId, IncomingRequest> queued = new HashMap<>();
    /** The number of rejected requests at the last call of {@link #logCounters}. */
    private long loggedRejections;

    /** @param seed the seed of the controller's random number generator */
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
     * Accepts a request, whose result is passed to its responder.
     *
     * @param clientAddress null if the client has no address, as in the warm-up
     */
    public void requestArrived(IncomingRequest incoming, InetAddress clientAddress) {
        mailbox.post(() -> handleArrival(incoming, clientAddress));
    }

    /** Reports that the client of a queued or admitted request has left. */
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

    /** Rejects all queued requests and all that arrive later. */
    public void close() {
        mailbox.post(() -> controller.close(loop.now()));
    }

    /**
     * Logs a line of counters for each tenant if any request was rejected since the last call. The counters are totals
     * since the start.
     */
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
                        flowId(arrival, clientAddress),
                        arrival.tenant(),
                        arrival.requestClass(),
                        settings.weight(arrival.tenant()),
                        controller.expectedWork(arrival.requestClass()),
                        bytes,
                        queueDeadline,
                        arrival.retriedByClient()));
    }

    /**
     * Returns the size of the headers. It counts towards the memory of a queued request, as headers may be many times
     * as long as the body.
     */
    private static int headerBytes(IncomingRequest incoming) {
        int totalBytes = 0;
        for (HeaderValues header : incoming.headers()) {
            totalBytes += header.getHeaderName().length();
            for (String value : header) {
                totalBytes += value.length();
            }
        }
        return totalBytes;
    }

    private FlowId flowId(RequestArrival arrival, InetAddress clientAddress) {
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

    /**
     * Reschedules a wake-up that is early: the controller requests each wake-up only once, and would lose it if it were
     * called before its time.
     */
    private void wakeUp(double time) {
        if (loop.now() < time) {
            wakeUpAt(time);
        } else {
            controller.wakeUp(loop.now());
        }
    }

    // ---- Decisions of the controller --------------------------------------------------------------------

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

    /** Forwards the answer to an admitted request, and reports to the controller that its capacity is free. */
    private final class AdmittedResponder implements IncomingRequest.Responder {

        private final RequestId id;
        private final IncomingRequest.Responder clientResponder;

        AdmittedResponder(RequestId id, IncomingRequest.Responder clientResponder) {
            this.id = id;
            this.clientResponder = clientResponder;
        }

        @Override
        public boolean isOver() {
            return clientResponder.isOver();
        }

        @Override
        public void served(HttpResult result) {
            clientResponder.served(result);
            reportAnswered();
        }

        @Override
        public void rejected(double retryAfterSeconds) {
            clientResponder.rejected(retryAfterSeconds);
            reportAnswered();
        }

        @Override
        public void failed() {
            clientResponder.failed();
            reportAnswered();
        }

        private void reportAnswered() {
            mailbox.post(() -> controller.requestAnswered(loop.now(), id));
        }
    }
}
