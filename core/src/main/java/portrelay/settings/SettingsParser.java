package portrelay.settings;

import java.util.ArrayList;
import java.util.List;
import portrelay.model.AttemptRules;
import portrelay.model.DiscoveryRules;
import portrelay.model.LoadBalancerConfig;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.SlowStartRule;
import portrelay.model.Tenant;
import portrelay.model.TenantId;
import portrelay.model.Topology;
import portrelay.model.ZoneId;

/**
 * Reads the settings field by field in a fixed order and reports the first invalid field. The default of an absent
 * field is given where the field is read.
 */
final class SettingsParser {

    /** The settings as read. Timeouts are in seconds; 0 means none. */
    record Result(
            LoadBalancerConfig config,
            NameIndex<RequestClassId> requestClassNames,
            NameIndex<TenantId> tenantNames,
            double connectTimeout,
            double connectionIdleTimeout,
            int streamsPerConnection) {}

    private static final int MAX_SIDECARS = 1_000_000;
    private static final int MAX_STREAMS = 1_000_000;
    private static final int MAX_ATTEMPTS = 1_000;
    // Larger than in any deployment, and exactly representable as a double.
    private static final double MAX_AMOUNT = 1e15;
    private static final double MAX_MICROS = 1e15;
    private static final double MICROS_PER_SECOND = 1e6;

    private final JsonFields root;
    private final NameIndex<RequestClassId> requestClassNames = new NameIndex<>();
    private final NameIndex<TenantId> tenantNames = new NameIndex<>();

    private SettingsParser(JsonFields root) {
        this.root = root;
    }

    /**
     * Reads the settings.
     *
     * @throws InvalidSettingException for the first field that is missing, of the wrong type or out of range
     */
    static Result parse(JsonFields root) throws InvalidSettingException {
        return new SettingsParser(root).parse();
    }

    private Result parse() throws InvalidSettingException {
        List<RequestClass> requestClasses = requestClasses();
        List<Tenant> tenants = tenants();
        JsonFields allowed = root.section("allowed");
        JsonFields invariants = root.section("invariants");
        AttemptRules attemptRules = attemptRules(allowed);
        double connectTimeout = seconds(allowed, "dial-timeout-us");
        double connectionIdleTimeout = seconds(allowed, "conn-idle-us");
        SlowStartRule slowStart = slowStart(invariants);
        DiscoveryRules discovery = new DiscoveryRules(isDiscoveryPolled(), seconds(invariants, "ask-within-us"));
        Topology topology = topology(allowed);
        int streamsPerConnection = allowed.integer("streams-per-conn", 1, 1, MAX_STREAMS);
        return new Result(
                new LoadBalancerConfig(requestClasses, tenants, attemptRules, slowStart, discovery, topology),
                requestClassNames,
                tenantNames,
                connectTimeout,
                connectionIdleTimeout,
                streamsPerConnection);
    }

    private List<RequestClass> requestClasses() throws InvalidSettingException {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (JsonFields fields : root.objects("classes")) {
            RequestClassId id = new RequestClassId(requestClasses.size());
            addName(fields, requestClassNames, id);
            requestClasses.add(new RequestClass(
                    id,
                    idempotency(fields),
                    deduplicationScope(fields),
                    seconds(fields, "aim-us"),
                    seconds(fields, "hard-limit-us"),
                    seconds(fields, "dedup-window-us"),
                    amount(fields, "worth", 1),
                    amount(fields, "late-worth", 0),
                    fields.optionalBoolean("streaming")));
        }
        return requestClasses;
    }

    private List<Tenant> tenants() throws InvalidSettingException {
        List<Tenant> tenants = new ArrayList<>();
        for (JsonFields fields : root.objects("tenants")) {
            TenantId id = new TenantId(tenants.size());
            addName(fields, tenantNames, id);
            tenants.add(new Tenant(id, amount(fields, "share", 0), amount(fields, "quota-per-s", 0)));
        }
        return tenants;
    }

    private static <I> void addName(JsonFields fields, NameIndex<I> names, I id) throws InvalidSettingException {
        if (!names.add(fields.string("name"), id)) {
            throw fields.invalid("name", "a unique name");
        }
    }

    private static AttemptRules attemptRules(JsonFields allowed) throws InvalidSettingException {
        return new AttemptRules(
                allowed.integer("max-attempts", 1, 1, MAX_ATTEMPTS),
                allowed.optionalBoolean("cancel"),
                allowed.optionalBoolean("parallel-tries"),
                allowed.optionalBoolean("probes"),
                allowed.optionalBoolean("retry-after") ? seconds(allowed, "max-retry-after-us") : 0);
    }

    private static SlowStartRule slowStart(JsonFields invariants) throws InvalidSettingException {
        return new SlowStartRule(
                invariants.range("cold-share", 1, 0, 1),
                seconds(invariants, "cold-us"),
                amount(invariants, "overload-factor", 1),
                seconds(invariants, "tip-after-us"));
    }

    private boolean isDiscoveryPolled() throws InvalidSettingException {
        return switch (root.string("discovery", "pushed")) {
            case "on_request" -> true;
            case "pushed" -> false;
            default -> throw root.invalid("discovery", "pushed or on_request");
        };
    }

    private Topology topology(JsonFields allowed) throws InvalidSettingException {
        int sidecars = root.integer("siblings", 1, 1, MAX_SIDECARS);
        return new Topology(
                root.integer("me", 0, 0, sidecars - 1),
                sidecars,
                zone(),
                weights(),
                reports(),
                allowed.optionalBoolean("peers"),
                allowed.optionalBoolean("probes"));
    }

    /** Returns the sidecar's zone; null if none is set. If the settings list zones, it has to be one of them. */
    private ZoneId zone() throws InvalidSettingException {
        if (!root.has("zone")) {
            return null;
        }
        String zone = root.string("zone");
        if (root.has("dcs") && !root.strings("dcs").contains(zone)) {
            throw root.invalid("zone", "one of dcs, not " + zone);
        }
        return ZoneId.of(zone);
    }

    private Topology.Weights weights() throws InvalidSettingException {
        return switch (root.string("weights", "silent")) {
            case "silent" -> Topology.Weights.SILENT;
            case "nominal" -> Topology.Weights.NOMINAL;
            case "rough" -> Topology.Weights.ROUGH;
            case "live" -> Topology.Weights.LIVE;
            default -> throw root.invalid("weights", "silent, nominal, rough or live");
        };
    }

    /** Reads how upstreams report their load. The columns are only checked to be strings. */
    private Topology.Reports reports() throws InvalidSettingException {
        if (!root.has("load-report")) {
            return Topology.Reports.SILENT;
        }
        JsonFields report = root.section("load-report");
        if (report.has("columns")) {
            report.strings("columns");
        }
        return switch (report.string("how", "silent")) {
            case "silent" -> Topology.Reports.SILENT;
            case "piggyback" -> Topology.Reports.WITH_ANSWERS;
            case "pull" -> Topology.Reports.WITH_PROBES;
            default -> throw report.invalid("how", "silent, piggyback or pull");
        };
    }

    private static RequestClass.Idempotency idempotency(JsonFields fields) throws InvalidSettingException {
        return switch (fields.string("effect")) {
            case "read_like" -> RequestClass.Idempotency.SAFE;
            case "idempotency_key" -> RequestClass.Idempotency.KEYED;
            case "non_idempotent" -> RequestClass.Idempotency.UNSAFE;
            default -> throw fields.invalid("effect", "read_like, idempotency_key or non_idempotent");
        };
    }

    private static RequestClass.DeduplicationScope deduplicationScope(JsonFields fields)
            throws InvalidSettingException {
        return switch (fields.string("group")) {
            case "all" -> RequestClass.DeduplicationScope.ALL;
            case "zone" -> RequestClass.DeduplicationScope.ZONE;
            case "cell" -> RequestClass.DeduplicationScope.CELL;
            default -> throw fields.invalid("group", "all, zone or cell");
        };
    }

    private static double amount(JsonFields fields, String name, double defaultValue) throws InvalidSettingException {
        return fields.range(name, defaultValue, 0, MAX_AMOUNT);
    }

    /** Returns in seconds a duration that the settings give in microseconds; 0 if absent. */
    private static double seconds(JsonFields fields, String name) throws InvalidSettingException {
        return fields.range(name, 0, 0, MAX_MICROS) / MICROS_PER_SECOND;
    }
}
