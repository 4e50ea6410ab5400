package portrelay.admission;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Distinguishes returning clients from new ones. A client becomes a returning client if it sends a request at least
 * {@code MIN_AGE_SECONDS} after its first admitted one, and has a flow of its own from then on. All new clients share a
 * few flows that together have the weight of one. This guards against a flood of new client names that would take the
 * share of regular clients. Returning and new clients are kept in two bounded maps with least-recently-used eviction,
 * so that new clients never evict a returning one.
 */
final class ReturningClients {

    /**
     * Number of flows that new clients share, by hash of their name, so that one client can't fill the queue of all.
     */
    static final int SHARED_FLOWS = 16;

    /** Minimum time from a client's first admitted request to the request that makes it a returning client. */
    private static final double MIN_AGE_SECONDS = 1;

    private static final class LruMap<V> extends LinkedHashMap<FlowId, V> {
        private static final long serialVersionUID = 1;
        private final int maxEntries;

        LruMap(int maxEntries) {
            super(16, 0.75f, true);
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<FlowId, V> eldest) {
            return size() > maxEntries;
        }
    }

    private final Map<FlowId, Boolean> returning;
    private final Map<FlowId, Double> firstAdmittedAt;

    /** Keeps at most {@code maxClients} returning clients, and as many new ones. */
    ReturningClients(int maxClients) {
        returning = new LruMap<>(maxClients);
        firstAdmittedAt = new LruMap<>(maxClients);
    }

    /** Returns the request as it is to be queued: unchanged for a returning client, otherwise in a shared flow. */
    AdmissionRequest assignFlow(double now, AdmissionRequest request) {
        FlowId flow = request.flow();
        if (returning.get(flow) != null) {
            return request;
        }
        Double first = firstAdmittedAt.get(flow);
        if (first != null && now >= first + MIN_AGE_SECONDS) {
            firstAdmittedAt.remove(flow);
            returning.put(flow, true);
            return request;
        }
        FlowId shared = new FlowId("strangers " + Math.floorMod(flow.value().hashCode(), SHARED_FLOWS));
        return request.inFlow(shared, request.weight() / SHARED_FLOWS);
    }

    /** Records that a request was admitted. The flow is the client's own, not a shared one. */
    void admitted(double now, FlowId flow) {
        if (!returning.containsKey(flow)) {
            firstAdmittedAt.putIfAbsent(flow, now);
        }
    }
}
