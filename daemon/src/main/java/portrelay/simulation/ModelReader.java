package portrelay.simulation;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.InstanceTypeId;
import portrelay.model.LoadReport;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantId;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;
import portrelay.settings.Settings;

/** Reads the model's types from the input. Each method consumes the values of its type in the protocol's order. */
final class ModelReader {

    /** Bit of an arrival's {@code state-bits}: the predicted work is given. */
    private static final int WORK_IS_KNOWN_BIT = 1;

    /** Bit of an arrival's {@code state-bits}: the client retries a request. */
    private static final int RETRIED_BY_CLIENT_BIT = 2;

    private static final double MILLIS_PER_SECOND = 1e3;
    private static final String LOAD_REPORT = "telemetry";

    private final SimulationReader in;
    private final Map<String, InstanceTypeId> instanceTypes = new HashMap<>();

    ModelReader(SimulationReader in) {
        this.in = in;
    }

    Settings settings() throws IOException, MalformedInputException {
        try {
            return new Settings(JsonFields.of(in.tree(), "boot-info"));
        } catch (InvalidSettingException e) {
            throw new MalformedInputException(in.line(), e);
        }
    }

    RequestId requestId() throws IOException, MalformedInputException {
        return new RequestId(in.text("request-id"));
    }

    UpstreamId upstreamId() throws IOException, MalformedInputException {
        return new UpstreamId(in.integer("upstream"));
    }

    RequestArrival requestArrival(Settings settings) throws IOException, MalformedInputException {
        RequestId request = requestId();
        RequestClassId requestClass = settings.requestClass(in.text("priority"));
        if (requestClass == null) {
            throw in.malformed("priority as one of the classes in boot-info");
        }
        String tenantName = in.textOrNull("tenant");
        TenantId tenant = tenantName == null ? null : settings.tenant(tenantName);
        String idempotencyKey = in.textOrNull("target-key");
        double deadline = SimulationTime.seconds(in.integer("due-us"));
        long workMicros = in.integerOr("predicted-us", 0);
        long flags = in.integerOr("state-bits", 0);
        boolean isWorkKnown = (flags & WORK_IS_KNOWN_BIT) != 0;
        return new RequestArrival(
                request,
                requestClass,
                tenant,
                idempotencyKey,
                deadline,
                isWorkKnown ? SimulationTime.seconds(workMicros) : Double.NaN,
                (flags & RETRIED_BY_CLIENT_BIT) != 0);
    }

    /**
     * Reads an outcome by its code in the protocol: 0 is an answer; the other outcomes are numbered downwards from 255,
     * an error of the upstream, to 249.
     */
    Outcome outcome() throws IOException, MalformedInputException {
        long code = in.integer("code");
        return switch ((int) code) {
            case 0 -> Outcome.SERVED;
            case 255 -> Outcome.ERROR;
            case 254 -> Outcome.OVERLOADED;
            case 253 -> Outcome.TIMED_OUT;
            case 252 -> Outcome.CONNECT_FAILED;
            case 251 -> Outcome.CONNECTION_LOST;
            case 250 -> Outcome.CANCELLED;
            case 249 -> Outcome.NOT_SENT;
            default -> throw in.malformed("code 0 or 249 to 255, not " + code);
        };
    }

    /** Reads a load report; null if the upstream reported nothing. Unknown fields are ignored. */
    LoadReport loadReportOrNull() throws IOException, MalformedInputException {
        if (!in.enterObject(LOAD_REPORT)) {
            return null;
        }
        double inFlight = Double.NaN;
        double queued = Double.NaN;
        double utilization = Double.NaN;
        double meanLatency = Double.NaN;
        double servedRate = Double.NaN;
        double errorRate = Double.NaN;
        for (String name = in.nextField(); name != null; name = in.nextField()) {
            double value = in.numberOrNaN();
            switch (name) {
                case "concurrent" -> inFlight = value;
                case "depth" -> queued = value;
                case "load_share" -> utilization = value;
                case "mean_ms" -> meanLatency = value / MILLIS_PER_SECOND;
                case "tps" -> servedRate = value;
                case "err_ps" -> errorRate = value;
                default -> {}
            }
        }
        return new LoadReport(inFlight, queued, utilization, meanLatency, servedRate, errorRate);
    }

    EndpointUpdate endpointUpdate() throws IOException, MalformedInputException {
        String mode = in.text("mode");
        return switch (mode) {
            case "Partial" -> EndpointUpdate.INCREMENTAL;
            case "Complete" -> EndpointUpdate.COMPLETE;
            case "Persisted" -> EndpointUpdate.CACHED;
            case "Error" -> EndpointUpdate.FAILED;
            default -> throw in.malformed("mode Partial, Complete, Persisted or Error, not " + mode);
        };
    }

    List<Endpoint> endpoints() throws IOException, MalformedInputException {
        List<Endpoint> endpoints = new ArrayList<>();
        in.enterList("rows");
        while (in.nextRow()) {
            endpoints.add(endpoint());
            in.endMessage();
        }
        return endpoints;
    }

    private Endpoint endpoint() throws IOException, MalformedInputException {
        double weight = in.number("scale");
        CellId cell = new CellId(in.integerOr("group", 0));
        UpstreamId upstream = upstreamId();
        double startedAt = SimulationTime.seconds(in.integerOr("online-since-us", 0));
        Endpoint.Health health = health();
        InstanceTypeId instanceType =
                instanceTypes.computeIfAbsent(in.text("shape"), shape -> new InstanceTypeId(instanceTypes.size()));
        ZoneId zone = ZoneId.of(in.text("zone"));
        return new Endpoint(upstream, health, startedAt, weight, cell, zone, instanceType);
    }

    private Endpoint.Health health() throws IOException, MalformedInputException {
        String health = in.text("health");
        return switch (health) {
            case "Ready" -> Endpoint.Health.READY;
            case "Terminating" -> Endpoint.Health.DRAINING;
            case "Gone" -> Endpoint.Health.GONE;
            default -> throw in.malformed("health Ready, Terminating or Gone, not " + health);
        };
    }
}
