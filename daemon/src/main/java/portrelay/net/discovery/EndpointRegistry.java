package portrelay.net.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Function;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.UpstreamId;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.eventloop.Log;
import portrelay.net.http.WireNames;
import portrelay.net.upstream.UpstreamActor;

/**
 * The endpoint list as known to this sidecar: owns the actor of each listed upstream and notifies the load balancer of
 * each change.
 */
final class EndpointRegistry {

    /** Limits the number of remembered ids if upstreams with new ids keep being listed. */
    private static final int MAX_EVER_LISTED = 4096;

    private final Log log;
    private final LoadBalancerActor loadBalancer;
    private final Function<InetSocketAddress, UpstreamActor> upstreamFactory;
    private final Map<UpstreamId, UpstreamActor> upstreams = new HashMap<>();
    /** The rows of the listed upstreams, in discovery's format. */
    private final Map<UpstreamId, Object> rows = new HashMap<>();
    /** The remembered ids, most recently listed last. */
    private final Set<UpstreamId> everListed = new LinkedHashSet<>();

    private BiConsumer<Set<UpstreamId>, Object> onUpdate = (everListed, list) -> {};

    EndpointRegistry(
            Log log, LoadBalancerActor loadBalancer, Function<InetSocketAddress, UpstreamActor> upstreamFactory) {
        this.log = log;
        this.loadBalancer = loadBalancer;
        this.upstreamFactory = upstreamFactory;
    }

    /** Sets the listener for changes, see {@link DiscoveryActor#onUpdate}. */
    void onUpdate(BiConsumer<Set<UpstreamId>, Object> listener, Set<UpstreamId> knownIds) {
        onUpdate = listener;
        knownIds.forEach(this::rememberId);
    }

    boolean wasEverListed(UpstreamId id) {
        return everListed.contains(id);
    }

    Collection<Object> rows() {
        return List.copyOf(rows.values());
    }

    /**
     * Applies a page. If an id occurs on it more than once, the last row counts. After an exception, the next page must
     * be a complete list.
     */
    void apply(EndpointListPage page, EndpointUpdate update) {
        List<Endpoint> changed = new ArrayList<>();
        Map<UpstreamId, UpstreamActor> added = new HashMap<>();
        // With a complete list, all known upstreams count as gone until a row lists them.
        Set<UpstreamId> gone =
                update == EndpointUpdate.INCREMENTAL ? new HashSet<>() : new HashSet<>(upstreams.keySet());
        try {
            for (EndpointListPage.Row row : page.rows()) {
                apply(row, changed, added, gone);
            }
        } catch (RuntimeException e) {
            // The load balancer has not been notified of these upstreams, so they must count as added on a later page.
            upstreams.keySet().removeAll(added.keySet());
            throw e;
        }
        boolean hasChanged = !changed.isEmpty() || !gone.isEmpty();
        if (hasChanged) {
            log.info("endpoint list: version=" + page.version() + " update=" + update + " ready="
                    + count(changed, Endpoint.Health.READY) + " draining=" + count(changed, Endpoint.Health.DRAINING)
                    + " gone=" + gone.size());
        }
        for (UpstreamId id : gone) {
            upstreams.remove(id).close();
        }
        rows.keySet().retainAll(upstreams.keySet());
        if (hasChanged) {
            onUpdate.accept(new LinkedHashSet<>(everListed), asCompletePage(page.version()));
        }
        loadBalancer.endpointsUpdated(update, changed, added, gone);
    }

    /** Reports to the load balancer that no update was received or applied. */
    void updateFailed() {
        loadBalancer.endpointsUpdated(EndpointUpdate.FAILED, List.of(), Map.of(), Set.of());
    }

    private void apply(
            EndpointListPage.Row row,
            List<Endpoint> changed,
            Map<UpstreamId, UpstreamActor> added,
            Set<UpstreamId> gone) {
        Endpoint endpoint = row.endpoint();
        UpstreamId id = endpoint.id();
        UpstreamActor upstream = upstreams.get(id);
        rememberId(id);
        if (row.address() == null) {
            if (upstream != null) {
                gone.add(id);
                changed.add(endpoint);
            }
            return;
        }
        gone.remove(id);
        if (upstream == null) {
            upstream = upstreamFactory.apply(row.address());
            upstreams.put(id, upstream);
            added.put(id, upstream);
        }
        upstream.endpointUpdated(row.address(), endpoint.health() == Endpoint.Health.DRAINING);
        changed.add(endpoint);
        rows.put(id, row.tree());
    }

    private void rememberId(UpstreamId id) {
        everListed.remove(id);
        everListed.add(id);
        if (everListed.size() > MAX_EVER_LISTED) {
            everListed.remove(everListed.iterator().next());
        }
    }

    private Map<String, Object> asCompletePage(long version) {
        return Map.of(WireNames.VERSION, (double) version, WireNames.IS_COMPLETE, true, WireNames.ENDPOINTS, rows());
    }

    private static long count(List<Endpoint> endpoints, Endpoint.Health health) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.health() == health)
                .count();
    }
}
