package portrelay.policy;

import java.util.ArrayList;
import java.util.List;
import portrelay.model.RequestClass;

/**
 * The upstreams that a decision looks at: all of them, or where there are many, a window that moves on over the subset
 * with each selection. Bounds the time of each decision, however long the endpoint list is; no decision on a request
 * may walk the endpoint list itself.
 */
final class CandidateWindow {

    /** Maximum number of upstreams that one decision looks at. */
    static final int MAX_UPSTREAMS = 256;

    /** Maximum number of windows that a selection passes over because all their upstreams are avoided. */
    private static final int MAX_AVOIDED_WINDOWS = 3;

    /** Whether an upstream gets trial requests only, as long as others are available. */
    interface AvoidedCheck {
        boolean isAvoided(UpstreamState upstream);
    }

    private final EndpointTable endpoints;
    private final Subset subset;
    private final List<UpstreamState> window = new ArrayList<>();
    /** The position in the subset at which the next window begins. */
    private int nextStart;

    CandidateWindow(EndpointTable endpoints, Subset subset) {
        this.endpoints = endpoints;
        this.subset = subset;
    }

    /**
     * Returns the candidates of the current window, in the order of the endpoint table where that is short. Some may be
     * outside of the subset, or no longer listed.
     */
    List<UpstreamState> upstreams() {
        return isBounded() ? current() : endpoints.upstreams();
    }

    /** Returns the candidates of the current window that are in the subset, in the subset's order. */
    List<UpstreamState> subsetUpstreams() {
        return isBounded() ? current() : subset.upstreamsOrAll(endpoints.upstreams());
    }

    /** Returns the size of the subset, divided by that of the window: 1 unless the window is smaller. */
    double subsetPerWindow() {
        if (!isBounded() || window.isEmpty()) {
            return 1;
        }
        return (double) subset.upstreamsOrAll(endpoints.upstreams()).size()
                / current().size();
    }

    /** Moves the window on for the next selection, past windows whose upstreams are all avoided. */
    void moveOn(AvoidedCheck check) {
        if (!isBounded()) {
            window.clear();
            return;
        }
        moveOn();
        for (int i = 0; i < MAX_AVOIDED_WINDOWS && window.stream().allMatch(check::isAvoided); i++) {
            moveOn();
        }
    }

    /**
     * Returns the candidates of a selection for the request: those of the current window, or where a keyed request may
     * only be repeated in the cell of an earlier attempt, the upstreams of that cell.
     */
    List<UpstreamState> upstreamsFor(OpenRequest request) {
        Attempt possiblyExecuted = isBounded() ? request.firstPossiblyExecuted() : null;
        if (possiblyExecuted == null || !isBoundToCell(request.requestClass)) {
            return upstreams();
        }
        List<UpstreamState> cell = endpoints.upstreamsOfCell(possiblyExecuted.endpoint.cell());
        return cell.size() <= MAX_UPSTREAMS ? cell : cell.subList(0, MAX_UPSTREAMS);
    }

    private static boolean isBoundToCell(RequestClass requestClass) {
        return requestClass.idempotency() == RequestClass.Idempotency.KEYED
                && requestClass.deduplicationScope() == RequestClass.DeduplicationScope.CELL;
    }

    private boolean isBounded() {
        return endpoints.upstreams().size() > MAX_UPSTREAMS;
    }

    private List<UpstreamState> current() {
        if (window.isEmpty()) {
            moveOn();
        }
        return window;
    }

    private void moveOn() {
        List<UpstreamState> all = subset.upstreamsOrAll(endpoints.upstreams());
        int size = Math.min(MAX_UPSTREAMS, all.size());
        int start = nextStart < all.size() ? nextStart : 0;
        window.clear();
        for (int i = 0; i < size; i++) {
            window.add(all.get((start + i) % all.size()));
        }
        nextStart = all.isEmpty() ? 0 : (start + size) % all.size();
    }
}
