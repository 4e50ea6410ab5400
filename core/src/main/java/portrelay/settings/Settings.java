package portrelay.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import portrelay.model.DiscoveryRules;
import portrelay.model.LoadBalancerActions;
import portrelay.model.LoadBalancerConfig;
import portrelay.model.RequestClass;
import portrelay.model.RequestClassId;
import portrelay.model.Tenant;
import portrelay.model.TenantId;
import portrelay.model.Topology;
import portrelay.policy.LoadBalancer;

/** A sidecar's settings: looks up names and limits, and creates load balancers that follow them. Immutable. */
public final class Settings {

    private static final double DEFAULT_TENANT_WEIGHT = 1;

    private final LoadBalancerConfig config;
    private final NameIndex<RequestClassId> requestClassNames;
    private final NameIndex<TenantId> tenantNames;
    private final double connectTimeout;
    private final double connectionIdleTimeout;
    private final int streamsPerConnection;

    /**
     * Reads the settings of a configuration.
     *
     * @throws InvalidSettingException for the first field that is missing, of the wrong type or out of range
     */
    public Settings(JsonFields root) throws InvalidSettingException {
        SettingsParser.Result parsed = SettingsParser.parse(root);
        config = parsed.config();
        requestClassNames = parsed.requestClassNames();
        tenantNames = parsed.tenantNames();
        connectTimeout = parsed.connectTimeout();
        connectionIdleTimeout = parsed.connectionIdleTimeout();
        streamsPerConnection = parsed.streamsPerConnection();
    }

    // ---- Load balancers ---------------------------------------------------------------------------------

    /** Creates a load balancer that follows these settings exactly, as in a simulation. */
    public LoadBalancer create(LoadBalancerActions actions, long seed) {
        return create(actions, seed, discoveryIsPolled(), topology());
    }

    /**
     * Creates a load balancer for use over sockets. Whatever the settings say, discovery is polled and upstreams are
     * not probed for their load; peers are used only if the settings allow it and messages can be sent.
     */
    public LoadBalancer createForSockets(LoadBalancerActions actions, long seed, boolean canSendMessages) {
        return create(actions, seed, true, topology().overSockets(canSendMessages));
    }

    /**
     * Creates a load balancer over sockets that acts as the only sidecar, for the warm-up. A load balancer that keeps
     * to its share of a fleet could use hardly any of the warm-up's few upstreams.
     */
    public LoadBalancer createStandalone(LoadBalancerActions actions, long seed) {
        return create(actions, seed, true, topology().overSockets(false).standalone());
    }

    /** Returns a line for each setting that is not supported over sockets: the field and what happens instead. */
    public List<String> unsupportedOverSockets(boolean canSendMessages) {
        List<String> lines = new ArrayList<>();
        if (!discoveryIsPolled()) {
            lines.add("settings.discovery: over sockets, discovery is always polled");
        }
        if (topology().probesLoad()) {
            lines.add("settings.load-report.how: no load probes over sockets; selects upstreams by its own attempts");
        }
        if (topology().sharesLoad() && !canSendMessages) {
            lines.add("settings.allowed.peers: no peer_listen or no peers; selects upstreams by its own attempts");
        }
        if (streamsPerConnection > 1) {
            lines.add("settings.allowed.streams-per-conn: over sockets, one request at a time on each connection");
        }
        return lines;
    }

    // ---- Request classes and tenants --------------------------------------------------------------------

    /** Returns the id of a request class; null for an unknown name. */
    public RequestClassId requestClass(String name) {
        return requestClassNames.id(name);
    }

    /** Returns the request class of an id. */
    public RequestClass requestClass(RequestClassId id) {
        return config.requestClasses().get(id.value());
    }

    /** Returns the request classes in the order of the settings, which is the order of their ids. */
    public List<RequestClass> requestClasses() {
        return List.copyOf(config.requestClasses());
    }

    /** Returns the names of all request classes, in no particular order. */
    public Set<String> requestClassNames() {
        return requestClassNames.names();
    }

    /** Returns the name of a request class. */
    public String name(RequestClassId id) {
        return requestClassNames.name(id);
    }

    /** Whether the settings define any tenant. */
    public boolean hasTenants() {
        return !config.tenants().isEmpty();
    }

    /** Returns the id of a tenant; null for an unknown name. */
    public TenantId tenant(String name) {
        return tenantNames.id(name);
    }

    /** Returns the name of the first tenant; null if there is none. */
    public String firstTenantName() {
        List<Tenant> tenants = config.tenants();
        return tenants.isEmpty() ? null : tenantNames.name(tenants.get(0).id());
    }

    /** Returns the name of a tenant; "none" for null. */
    public String name(TenantId id) {
        return id == null ? "none" : tenantNames.name(id);
    }

    /** Returns a tenant's weight relative to other tenants; 1 for null or if the settings give the tenant no share. */
    public double weight(TenantId id) {
        double share = id == null ? 0 : config.tenants().get(id.value()).share();
        return share > 0 ? share : DEFAULT_TENANT_WEIGHT;
    }

    // ---- Limits and topology ----------------------------------------------------------------------------

    /** Returns the position of this sidecar in its fleet, as the settings define it. */
    public Topology topology() {
        return config.topology();
    }

    /** Whether the endpoint list has to be polled; otherwise updates are pushed. */
    public boolean discoveryIsPolled() {
        return config.discovery().polled();
    }

    /** Returns how many attempts one connection may carry at once; at least 1. */
    public int streamsPerConnection() {
        return streamsPerConnection;
    }

    /** Returns the longest Retry-After, in seconds, that clients honour; 0 if they honour none. */
    public double maxRetryAfter() {
        return config.attemptRules().maxRetryAfter();
    }

    /** Returns the timeout, in seconds, for connecting to an upstream; 0 for none. */
    public double connectTimeout() {
        return connectTimeout;
    }

    /** Returns how long, in seconds, an idle connection to an upstream is kept; 0 for no limit. */
    public double connectionIdleTimeout() {
        return connectionIdleTimeout;
    }

    private LoadBalancer create(LoadBalancerActions actions, long seed, boolean isDiscoveryPolled, Topology topology) {
        LoadBalancerConfig adapted = new LoadBalancerConfig(
                config.requestClasses(),
                config.tenants(),
                config.attemptRules(),
                config.slowStart(),
                new DiscoveryRules(isDiscoveryPolled, config.discovery().maxAge()),
                topology);
        return new LoadBalancer(actions, seed, adapted);
    }
}
