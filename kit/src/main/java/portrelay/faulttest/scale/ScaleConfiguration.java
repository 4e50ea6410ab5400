package portrelay.faulttest.scale;

import java.util.List;
import java.util.stream.Collectors;

/** Builds the configuration of one sidecar of a round as JSON. */
final class ScaleConfiguration {

    /** The descriptors that the processes of a sidecar may hold together. */
    static final int SOCKETS = 1024;

    /** How long upstreams recognise a repeat of a keyed request. */
    static final double WINDOW_SECONDS = 0.9;

    private static final long SEED = 0x8c1f30d27a5be964L;

    private ScaleConfiguration() {}

    /**
     * Returns the configuration.
     *
     * @param index the number of the sidecar, from 0
     * @param port the loopback port on which it listens
     * @param discovery the address of discovery
     * @param rows the rows of the endpoint list that it has at its start; empty for none
     * @param peerPorts the UDP ports of all sidecars
     */
    static String json(ScalePlan plan, int index, int port, String discovery, String rows, List<Integer> peerPorts) {
        String known = rows.isEmpty() ? "" : "\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + rows + "]},";
        String peers =
                peerPorts.stream().map(each -> "\"127.0.0.1:" + each + "\"").collect(Collectors.joining(","));
        String peerFields = plan.hasPeers()
                ? "\"peer_listen\":\"127.0.0.1:" + peerPorts.get(index) + "\",\"peers\":[" + peers + "],"
                : "";
        return "{\"name\":\"n" + index + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"" + Long.toHexString(SEED + index) + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                + plan.memoryMb() + ",\"sockets\":" + SOCKETS + "}," + peerFields + known
                + "\"settings\":{\"discovery\":\"on_request\",\"siblings\":" + plan.sidecars() + ",\"me\":" + index
                + ",\"tenants\":[{\"name\":\"acme\",\"share\":1}],\"classes\":[" + requestClass("read", "read_like")
                + "," + requestClass("save", "idempotency_key") + "," + requestClass("issue", "non_idempotent")
                + "],\"allowed\":{\"max-attempts\":" + ScaleRuleChecker.MAX_ATTEMPTS + ",\"cancel\":true,"
                + "\"parallel-tries\":true,\"peers\":" + plan.hasPeers()
                + ",\"retry-after\":true,\"max-retry-after-us\":250000,\"dial-timeout-us\":150000,"
                + "\"conn-idle-us\":10000000},\"invariants\":{\"ask-within-us\":10000000,\"cold-share\":0.3,"
                + "\"cold-us\":5000000,\"overload-factor\":4,\"tip-after-us\":3000000}}}";
    }

    private static String requestClass(String name, String effect) {
        long deadlineMicros = (long) (ScaleClient.LONG_DEADLINE_SECONDS * 1e6);
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"cell\",\"aim-us\":"
                + deadlineMicros * 3 / 10 + ",\"hard-limit-us\":" + deadlineMicros + ",\"dedup-window-us\":"
                + (long) (WINDOW_SECONDS * 1e6) + "}";
    }
}
