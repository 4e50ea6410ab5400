package portrelay.net.handover;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.Map;
import portrelay.model.UpstreamId;

/**
 * The last operator call for each upstream, from any process of the sidecar. Above the maximum number of calls, the
 * oldest call that enabled an upstream is dropped; calls that disable an upstream are never dropped. Used on the
 * handover thread.
 */
final class OperatorCalls {

    private static final int MAX_CALLS = 4096;

    private final Map<UpstreamId, HandoverState.OperatorCall> latest = new LinkedHashMap<>();

    /** Returns the last call for each upstream, in the order of the first calls for each. */
    Map<UpstreamId, HandoverState.OperatorCall> latest() {
        return latest;
    }

    HandoverState.OperatorCall get(UpstreamId id) {
        return latest.get(id);
    }

    /** Sets a call that was read from a stored state, without comparing it with a known one. */
    void restore(UpstreamId id, HandoverState.OperatorCall call) {
        latest.put(id, call);
    }

    /**
     * Records the call unless one of the same time or later is known.
     *
     * @return whether the call changes the upstream's state, disabled or enabled
     */
    boolean merge(UpstreamId id, HandoverState.OperatorCall call) {
        HandoverState.OperatorCall known = latest.get(id);
        if (known != null && known.calledAt() >= call.calledAt()) {
            return false;
        }
        latest.put(id, call);
        if (latest.size() > MAX_CALLS) {
            latest.entrySet().stream()
                    .filter(entry -> !entry.getValue().takesOutOfService())
                    .min(Comparator.comparingDouble(entry -> entry.getValue().calledAt()))
                    .ifPresent(oldest -> latest.remove(oldest.getKey()));
        }
        return known == null ? call.takesOutOfService() : known.takesOutOfService() != call.takesOutOfService();
    }
}
