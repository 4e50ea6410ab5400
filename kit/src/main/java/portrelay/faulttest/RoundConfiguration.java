package portrelay.faulttest;

import java.util.List;
import portrelay.standin.HangingUpstream;

/**
 * Builds the sidecar's configuration for a round as JSON: three request classes with the plan's deadline, one tenant.
 */
final class RoundConfiguration {

    private static final int DEFAULT_SOCKETS = 1024;
    private static final int DEFAULT_MEMORY_MB = 192;

    private RoundConfiguration() {}

    /** Returns one row per upstream of an endpoint list in the protocol's format, without the enclosing brackets. */
    static String endpointRows(List<HangingUpstream> upstreams) {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < upstreams.size(); i++) {
            rows.append(i > 0 ? "," : "")
                    .append("{\"host\":\"s-" + i + "\",\"dial\":\""
                            + upstreams.get(i).address()
                            + "\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"SERVING\",\"share\":1.0,"
                            + "\"born_ms\":0}");
        }
        return rows.toString();
    }

    /**
     * Returns the configuration of one sidecar.
     *
     * @param port the loopback port on which it listens
     * @param discovery the address of discovery
     * @param rows the rows of the endpoint list that it has at its start
     * @param deadline the deadline of each request class, in seconds
     */
    static String json(int port, String discovery, String rows, double deadline) {
        return json(port, discovery, rows, deadline, DEFAULT_SOCKETS);
    }

    /**
     * Returns the configuration of one sidecar with a limit of descriptors.
     *
     * @param sockets the number of descriptors that the sidecar may use
     */
    static String json(int port, String discovery, String rows, double deadline, int sockets) {
        return json(port, discovery, rows, deadline, sockets, DEFAULT_MEMORY_MB);
    }

    /**
     * Returns the configuration of one sidecar with a limit of descriptors and of memory.
     *
     * @param sockets the number of descriptors that the sidecar may use
     * @param memoryMb its memory limit in MB
     */
    static String json(int port, String discovery, String rows, double deadline, int sockets, int memoryMb) {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb
                + ",\"sockets\":" + sockets + "},"
                + "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + rows + "]},\"settings\":{"
                + "\"discovery\":\"on_request\",\"siblings\":1,"
                + "\"tenants\":[{\"name\":\"acme\",\"share\":1}],\"classes\":["
                + requestClass("read", "read_like", deadline) + ","
                + requestClass("save", "idempotency_key", deadline) + ","
                + requestClass("issue", "non_idempotent", deadline)
                + "],\"allowed\":{\"max-attempts\":4,\"cancel\":true,\"parallel-tries\":true,"
                + "\"retry-after\":true,\"max-retry-after-us\":250000,\"dial-timeout-us\":150000,"
                + "\"conn-idle-us\":10000000},\"invariants\":{\"ask-within-us\":2000000,\"cold-share\":0.3,"
                + "\"cold-us\":1000000}}}";
    }

    private static String requestClass(String name, String effect, double deadline) {
        long deadlineMicros = (long) (deadline * 1e6);
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"cell\",\"aim-us\":"
                + deadlineMicros * 6 / 10 + ",\"hard-limit-us\":" + deadlineMicros + ",\"dedup-window-us\":900000}";
    }
}
