package portrelay.net.discovery;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.UpstreamId;
import portrelay.net.balancer.LoadBalancerActor;
import portrelay.net.eventloop.Log;
import portrelay.net.upstream.UpstreamActor;

/**
 * The endpoint list as known to this sidecar: owns the actor of each listed upstream and notifies the load balancer of
 * each change.
 */
final class EndpointRegistry {

    /** Limits the number of remembered ids besides the listed ones, if upstreams with new ids keep being listed. */
    private static final int MAX_FORMERLY_LISTED = 4096;

    /** A listed upstream. */
    private record ListedUpstream(UpstreamActor actor, EndpointListPage.Row row) {}

    private final Log log;
    private final LoadBalancerActor loadBalancer;
    private final EndpointListLimit limit;
    private final Function<InetSocketAddress, UpstreamActor> upstreamFactory;
    private final Map<UpstreamId, ListedUpstream> upstreams = new HashMap<>();
    /** The remembered ids, most recently listed last; includes all listed ones. */
    private final Set<UpstreamId> everListed = new LinkedHashSet<>();

    private Consumer<EndpointListSnapshot> onUpdate = snapshot -> {};
    private long rowBytes;

    EndpointRegistry(
            Log log,
            LoadBalancerActor loadBalancer,
            EndpointListLimit limit,
            Function<InetSocketAddress, UpstreamActor> upstreamFactory) {
        this.log = log;
        this.loadBalancer = loadBalancer;
        this.limit = limit;
        this.upstreamFactory = upstreamFactory;
    }

    /** Sets the listener for changes, see {@link DiscoveryActor#onUpdate}. */
    void onUpdate(Consumer<EndpointListSnapshot> listener, Iterable<UpstreamId> knownIds) {
        onUpdate = listener;
        knownIds.forEach(this::rememberId);
    }

    boolean wasEverListed(UpstreamId id) {
        return everListed.contains(id);
    }

    /** Returns the rows in discovery's format as JSON trees. */
    Collection<Object> rows() {
        List<Object> rows = new ArrayList<>();
        upstreams.values().forEach(each -> rows.add(each.row.tree()));
        return rows;
    }

    /**
     * Applies a page. If an id occurs on it more than once, the last row counts. After an exception, the next page must
     * be a complete list.
     */
    void apply(EndpointListPage page, EndpointUpdate update) {
        PageChanges changes = new PageChanges();
        if (update != EndpointUpdate.INCREMENTAL) {
            // All known upstreams count as gone until a row lists them.
            changes.gone.addAll(upstreams.keySet());
        }
        try {
            for (EndpointListPage.Row row : page.rows()) {
                apply(row, update, changes);
            }
        } catch (RuntimeException e) {
            // The load balancer has not been notified of these upstreams, so they must count as added on a later page.
            changes.added.keySet().forEach(this::remove);
            throw e;
        }
        boolean hasChanged = !changes.endpoints.isEmpty() || !changes.gone.isEmpty();
        if (hasChanged) {
            log.info("endpoint list: version=" + page.version() + " update=" + update + " ready="
                    + count(changes.endpoints, Endpoint.Health.READY) + " draining="
                    + count(changes.endpoints, Endpoint.Health.DRAINING) + " gone=" + changes.gone.size());
        }
        for (UpstreamId id : changes.gone) {
            remove(id).close();
        }
        int leftOut = page.leftOut() + changes.leftOut;
        if (leftOut > 0) {
            log.warn("endpoint list too long for the memory: held=" + upstreams.size() + " left-out=" + leftOut
                    + " max-bytes=" + limit.maxBytes());
        }
        if (hasChanged) {
            onUpdate.accept(snapshot(page.version()));
        }
        loadBalancer.endpointsUpdated(update, changes.endpoints, changes.added, changes.gone);
    }

    /** Reports to the load balancer that no update was received or applied. */
    void updateFailed() {
        loadBalancer.endpointsUpdated(EndpointUpdate.FAILED, List.of(), Map.of(), Set.of());
    }

    /** What a page changes, as the load balancer is told. */
    private static final class PageChanges {
        private final List<Endpoint> endpoints = new ArrayList<>();
        private final Map<UpstreamId, UpstreamActor> added = new HashMap<>();
        private final Set<UpstreamId> gone = new HashSet<>();
        private int leftOut;
    }

    private void apply(EndpointListPage.Row received, EndpointUpdate update, PageChanges changes) {
        UpstreamId id = received.endpoint().id();
        ListedUpstream listed = upstreams.get(id);
        // The row that is held already, if it is the same, so that no second copy stays in memory.
        boolean isSame = listed != null && Arrays.equals(listed.row.json(), received.json());
        EndpointListPage.Row row = isSame ? listed.row : received;
        Endpoint endpoint = row.endpoint();
        rememberId(id);
        if (row.address() == null) {
            if (listed != null) {
                changes.gone.add(id);
                changes.endpoints.add(endpoint);
            }
            return;
        }
        // A complete page has been shortened to the limit as it was read.
        if (listed == null
                && update == EndpointUpdate.INCREMENTAL
                && rowBytes + EndpointListLimit.bytesOf(row) > limit.maxBytes()) {
            changes.leftOut++;
            return;
        }
        changes.gone.remove(id);
        UpstreamActor actor = listed == null ? upstreamFactory.apply(row.address()) : listed.actor;
        put(id, new ListedUpstream(actor, row));
        if (listed == null) {
            changes.added.put(id, actor);
        }
        if (listed == null ? isDraining(row) : hasMovedOrDrains(listed.row, row)) {
            actor.endpointUpdated(row.address(), isDraining(row));
        }
        changes.endpoints.add(endpoint);
    }

    private static boolean isDraining(EndpointListPage.Row row) {
        return row.endpoint().health() == Endpoint.Health.DRAINING;
    }

    private static boolean hasMovedOrDrains(EndpointListPage.Row before, EndpointListPage.Row now) {
        return !before.address().equals(now.address()) || isDraining(before) || isDraining(now);
    }

    private void put(UpstreamId id, ListedUpstream listed) {
        ListedUpstream previous = upstreams.put(id, listed);
        rowBytes += EndpointListLimit.bytesOf(listed.row);
        rowBytes -= previous == null ? 0 : EndpointListLimit.bytesOf(previous.row);
    }

    private UpstreamActor remove(UpstreamId id) {
        ListedUpstream removed = upstreams.remove(id);
        rowBytes -= EndpointListLimit.bytesOf(removed.row);
        return removed.actor;
    }

    private void rememberId(UpstreamId id) {
        everListed.remove(id);
        everListed.add(id);
        while (everListed.size() > MAX_FORMERLY_LISTED + upstreams.size()) {
            UpstreamId oldest = everListed.iterator().next();
            everListed.remove(oldest);
            if (upstreams.containsKey(oldest)) {
                everListed.add(oldest);
            }
        }
    }

    private EndpointListSnapshot snapshot(long version) {
        return new EndpointListSnapshot(
                version, upstreams.values().stream().map(ListedUpstream::row).toList(), List.copyOf(everListed));
    }

    private static long count(List<Endpoint> endpoints, Endpoint.Health health) {
        return endpoints.stream()
                .filter(endpoint -> endpoint.health() == health)
                .count();
    }
}
