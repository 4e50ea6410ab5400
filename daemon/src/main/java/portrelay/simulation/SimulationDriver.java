package portrelay.simulation;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.LoadReport;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;
import portrelay.policy.LoadBalancer;
import portrelay.settings.Settings;

/**
 * Runs many load balancers in the operators' simulator: reads batches of events and answers each with one batch of
 * actions. All events of a batch happen at the batch's time. Owns the instances and the pages of the endpoint list that
 * their updates refer to. Not thread-safe.
 */
public final class SimulationDriver {

    /** The page number of an update that refers to no page; no page has this number. */
    private static final long NO_PAGE = -1;

    /** The number of an instance in the protocol. */
    private record InstanceId(long value) {}

    private record Instance(InstanceId id, LoadBalancer loadBalancer, Settings settings) {}

    private final SimulationReader in;
    private final ModelReader model;
    private final SimulationWriter out;
    private final Map<InstanceId, Instance> instances = new HashMap<>();
    /** Endpoint lists by page number. Each is sent once as a page, and the instances' updates refer to it by number. */
    private final Map<Long, List<Endpoint>> pages = new HashMap<>();

    private double now;

    /** Creates a driver on streams of the protocol's messages, which are JSON in UTF-8. Closes neither stream. */
    public SimulationDriver(InputStream in, OutputStream out) throws IOException {
        this.in = new SimulationReader(in);
        this.model = new ModelReader(this.in);
        this.out = new SimulationWriter(out);
    }

    /**
     * Processes batches until the input ends between two batches.
     *
     * @throws MalformedInputException if the input violates the protocol; the batch in question is not answered
     */
    public void run() throws IOException, MalformedInputException {
        for (String name = in.nextMessage(); name != null; name = in.nextMessage()) {
            if (!name.equals("clock")) {
                throw in.malformed("a clock message at the start of a batch, not " + name);
            }
            now = SimulationTime.seconds(in.integer("the clock"));
            in.endMessage();
            processBatch();
            out.endBatch();
        }
    }

    private void processBatch() throws IOException, MalformedInputException {
        for (String name = in.nextMessage(); name != null; name = in.nextMessage()) {
            if (name.equals("flush")) {
                in.endMessage();
                return;
            }
            switch (name) {
                case "page" -> readPage();
                case "new-instance" -> startInstance();
                default -> processEvent(name);
            }
            in.endMessage();
        }
        throw new MalformedInputException(in.line(), "flush before the end of input");
    }

    private void readPage() throws IOException, MalformedInputException {
        long number = in.integer("sheet");
        pages.put(number, model.endpoints());
    }

    /** Reads an event and passes it to its instance. Values that no decision depends on are read and dropped. */
    private void processEvent(String name) throws IOException, MalformedInputException {
        EventType type = EventType.of(name);
        if (type == null) {
            throw in.malformed("a known event, not " + name);
        }
        InstanceId id = instanceId();
        Instance instance = instances.get(id);
        if (instance == null) {
            throw in.malformed("an event for a started instance, not for " + id.value());
        }
        switch (type) {
            case INSTANCE_STOPPED -> instances.remove(id);
            case REQUEST_ARRIVED -> requestArrived(instance);
            case ANSWER_BEGAN -> skipAnswerBegan();
            case ATTEMPT_ENDED -> attemptEnded(instance);
            case CLIENT_LEFT -> clientLeft(instance);
            case WAKE_UP -> wakeUp(instance);
            case ENDPOINTS_UPDATED -> endpointsUpdated(instance);
            case LOAD_REPORTED -> loadReported(instance);
            case PEER_MESSAGE_RECEIVED -> peerMessageReceived(instance);
        }
    }

    private InstanceId instanceId() throws IOException, MalformedInputException {
        return new InstanceId(in.integer("sidecar"));
    }

    private void startInstance() throws IOException, MalformedInputException {
        InstanceId id = instanceId();
        long seed = in.integer("init-seed");
        Settings settings = model.settings();
        Instance instance = new Instance(id, settings.create(out.actionsFor(id.value()), seed), settings);
        instances.put(id, instance);
        decide(instance, () -> instance.loadBalancer().start(now));
    }

    private void requestArrived(Instance instance) throws IOException, MalformedInputException {
        RequestArrival arrival = model.requestArrival(instance.settings());
        decide(instance, () -> instance.loadBalancer().requestArrived(now, arrival));
    }

    /** Ignores the event: an answer counts once it is complete, and no deployment streams answers. */
    private void skipAnswerBegan() throws IOException, MalformedInputException {
        model.requestId();
        model.upstreamId();
        in.integer("spent-us");
        in.integer("try");
    }

    private void attemptEnded(Instance instance) throws IOException, MalformedInputException {
        RequestId request = model.requestId();
        int attempt = (int) in.integer("try");
        model.upstreamId();
        Outcome outcome = model.outcome();
        in.integer("spent-us");
        boolean isRequestEnded = in.bool("ended");
        LoadReport report = model.loadReportOrNull();
        decide(
                instance,
                () -> instance.loadBalancer().attemptEnded(now, request, attempt, outcome, isRequestEnded, report));
    }

    private void clientLeft(Instance instance) throws IOException, MalformedInputException {
        RequestId request = model.requestId();
        decide(instance, () -> instance.loadBalancer().clientLeft(now, request));
    }

    private void wakeUp(Instance instance) throws IOException, MalformedInputException {
        in.text("nonce");
        decide(instance, () -> instance.loadBalancer().wakeUp(now));
    }

    private void endpointsUpdated(Instance instance) throws IOException, MalformedInputException {
        in.integer("rev");
        EndpointUpdate update = model.endpointUpdate();
        long number = in.integerOr("sheet", NO_PAGE);
        List<Endpoint> endpoints = update == EndpointUpdate.FAILED ? List.of() : pages.get(number);
        if (endpoints == null) {
            throw in.malformed("the number of a page that was delivered before, not " + number);
        }
        decide(instance, () -> instance.loadBalancer().endpointsUpdated(now, update, endpoints));
    }

    private void loadReported(Instance instance) throws IOException, MalformedInputException {
        boolean answered = model.outcome() == Outcome.SERVED;
        UpstreamId upstream = model.upstreamId();
        in.integer("spent-us");
        LoadReport report = model.loadReportOrNull();
        decide(instance, () -> instance.loadBalancer().loadReported(now, upstream, answered ? report : null));
    }

    private void peerMessageReceived(Instance instance) throws IOException, MalformedInputException {
        int from = (int) in.integer("who");
        String text = in.text("raw");
        decide(instance, () -> instance.loadBalancer().peerMessageReceived(now, from, text));
    }

    /** Runs a decision. An exception in it is reported for its instance; the other instances continue. */
    private void decide(Instance instance, Runnable decision) throws IOException {
        try {
            decision.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            out.instanceFailed(instance.id().value(), e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }
}
