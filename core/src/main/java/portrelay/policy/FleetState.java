package portrelay.policy;

import java.util.List;
import portrelay.model.Topology;

/** What this sidecar knows about the fleet. The policies share it; each changes only the part that it owns. */
record FleetState(Topology topology, EndpointTable endpoints, Subset subset, SlowStart slowStart, LoadEstimator load) {

    /** Returns the upstreams that this sidecar uses, in the order of the endpoint table or of the subset assignment. */
    List<UpstreamState> subsetUpstreams() {
        return subset.upstreamsOrAll(endpoints.upstreams());
    }
}
