package portrelay.policy;

import portrelay.model.Topology;

/** What this sidecar knows about the fleet. The policies share it; each changes only the part that it owns. */
record FleetState(
        Topology topology,
        EndpointTable endpoints,
        Subset subset,
        CandidateWindow candidates,
        SlowStart slowStart,
        LoadEstimator load) {}
