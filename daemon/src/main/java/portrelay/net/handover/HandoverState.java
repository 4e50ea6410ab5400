package portrelay.net.handover;

import java.util.Collections;
import java.util.Set;
import portrelay.net.discovery.EndpointListSnapshot;

/**
 * The state that one process of a sidecar hands over to its successor. Of several operator calls for the same upstream,
 * or for the sidecar, the latest one applies. Times are Unix seconds. Used on the handover thread, and before that
 * thread starts by the thread that starts the sidecar.
 */
public final class HandoverState {

    /**
     * A call by an operator.
     *
     * @param takesOutOfService whether the call disabled the upstream, or took the sidecar out of service
     * @param calledAt when the call was received
     */
    public record OperatorCall(boolean takesOutOfService, double calledAt) {}

    /**
     * The process that a state belongs to.
     *
     * @param name name of the sidecar
     * @param listen the address that the processes of one sidecar share, as text; empty while it is not known yet, null
     *     if an older version, which does not store it, wrote the file
     * @param requestClasses names of the request classes that the sidecar is configured with
     */
    public record Owner(String name, String listen, Set<String> requestClasses) {

        /**
         * Whether the other is a process of the same sidecar of the same deployment. Two deployments may share name and
         * directory, so the listen address and the request classes are compared too. An upgrade may change some request
         * classes, but not all of them.
         */
        boolean isSameSidecar(Owner other) {
            if (!name.equals(other.name)) {
                return false;
            }
            return other.listen == null
                    || !other.listen.isEmpty()
                            && other.listen.equals(listen)
                            && (requestClasses.isEmpty()
                                    || other.requestClasses.isEmpty()
                                    || !Collections.disjoint(requestClasses, other.requestClasses));
        }
    }

    Owner owner;
    /** Whether the process listens and has ended its warm-up. */
    boolean isServing;
    /**
     * Whether the process is shutting down: another process that shuts down must not hand its clients over to this one.
     */
    boolean isShuttingDown;
    /** The last call that took the sidecar out of service or back into service; its time is 0 if there was none. */
    OperatorCall sidecarCall = new OperatorCall(false, 0);

    final OperatorCalls upstreamCalls = new OperatorCalls();
    /** The endpoint list, with the ids that discovery ever listed; null if there is none yet. */
    EndpointListSnapshot endpointList;

    HandoverState(Owner owner) {
        this.owner = owner;
    }
}
