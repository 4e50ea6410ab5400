package portrelay.net.http;

import io.undertow.util.HttpString;

/**
 * Every header, path and field name of the platform's HTTP protocol, and the field names of the sidecar's configuration
 * file. This class is the only place that maps these names to the terms of the code, except for the fields within the
 * sections {@link #SETTINGS} and {@link #ADMISSION}, which {@code portrelay.settings} and {@code portrelay.admission}
 * read.
 */
public final class WireNames {

    private WireNames() {}

    // Request headers, from clients and to upstreams.
    public static final HttpString REQUEST_ID = new HttpString("X-Trace-Id");
    public static final HttpString REQUEST_CLASS = new HttpString("X-Qos");
    public static final HttpString TENANT = new HttpString("X-Customer");
    /** The number of milliseconds left until the deadline. */
    public static final HttpString DEADLINE_MS = new HttpString("X-Expires-In-Ms");
    /** {@link #TRUE} if the client itself retries a request that received no usable response. */
    public static final HttpString RETRIED_BY_CLIENT = new HttpString("X-Second-Try");

    public static final HttpString IDEMPOTENCY_KEY = new HttpString("Idempotency-Key");
    static final HttpString PROXY_CONNECTION = new HttpString("Proxy-Connection");

    // Response headers, from upstreams.
    /** {@link #TRUE} if the upstream has not executed the request. */
    public static final HttpString NOT_EXECUTED = new HttpString("X-Never-Ran");

    /** The value of a header that is a set flag. */
    public static final String TRUE = "1";

    // Readiness of the sidecar, for clients.
    public static final String READINESS_PATH = "/up";

    // The watch call to discovery.
    public static final String ENDPOINTS_PATH = "/discovery/hosts";
    /** Query parameter: the last endpoint list version that the caller has. */
    public static final String AFTER_VERSION = "index";
    /** Query parameter: how long the call may wait for a newer version, in milliseconds. */
    public static final String WATCH_WAIT_MS = "wait";

    // The endpoint list.
    public static final String VERSION = "seq";
    /** Whether the list names every endpoint, or only those that changed. */
    public static final String IS_COMPLETE = "whole";

    public static final String ENDPOINTS = "hosts";
    public static final String ENDPOINT_ID = "host";
    public static final String ADDRESS = "dial";
    public static final String ZONE = "site";
    public static final String INSTANCE_TYPE = "class";
    public static final String GROUP = "block";
    public static final String HEALTH = "health";
    public static final String WEIGHT = "share";
    /** When the instance started, in milliseconds since 1970 (UTC). */
    public static final String STARTED_AT_MS = "born_ms";

    public static final String HEALTH_READY = "SERVING";
    public static final String HEALTH_DRAINING = "DRAINING";
    public static final String HEALTH_GONE = "DELETED";

    // Operator calls.
    public static final String ADMIN_READINESS_PATH = "/control/ready";
    public static final String ADMIN_OUT_OF_SERVICE_PATH = "/control/out-of-service";
    public static final String ADMIN_IN_SERVICE_PATH = "/control/in-service";
    /** Followed by an upstream's id, a slash and {@link #OFFLINE} or {@link #ONLINE}. */
    public static final String ADMIN_UPSTREAMS_PATH = "/control/upstreams/";

    public static final String OFFLINE = "offline";
    public static final String ONLINE = "online";

    // Environment variables.
    public static final String ADMIN_ADDRESS_VARIABLE = "LB_MGMT";
    public static final String CONFIG_FILE_VARIABLE = "LB_CONFIG";

    // The configuration file.
    public static final String NAME = "name";
    public static final String LISTEN = "listen";
    public static final String DISCOVERY = "discovery";
    public static final String ADMIN_ADDRESS = "mgmt";
    public static final String PEER_LISTEN = "peer_listen";
    public static final String PEERS = "peers";
    public static final String PEERS_ALL = "peers_all";
    public static final String SEED = "seed";
    public static final String LIMITS = "limits";
    public static final String MAX_SOCKETS = "sockets";
    public static final String CACHED_ENDPOINTS = "known";
    public static final String SETTINGS = "settings";
    public static final String ADMISSION = "door";
}
