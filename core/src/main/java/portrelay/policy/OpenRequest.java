package portrelay.policy;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClass;
import portrelay.model.RequestInput;
import portrelay.model.RequestState;
import portrelay.model.TransitionTable;

/** A request from its arrival until its last attempt has ended. {@link RequestLifecycle} changes its state. */
final class OpenRequest extends TransitionTable.Subject<RequestState> {

    final RequestArrival arrival;
    final RequestClass requestClass;
    final double arrivedAt;
    /** All attempts, in the order in which they were sent. */
    final List<Attempt> attempts = new ArrayList<>(2);
    /** The upstreams that are probed for this request and have not answered yet. */
    final Set<UpstreamState> outstandingProbes = new HashSet<>();
    /** The input that the request gets when its probing ends. */
    RequestInput inputAfterProbes;

    int probeRounds;
    /** The attempt that ended the request for the client; null while there is none. */
    Attempt answeredAttempt;

    OpenRequest(RequestArrival arrival, RequestClass requestClass, double arrivedAt) {
        super(RequestState.NEW);
        this.arrival = arrival;
        this.requestClass = requestClass;
        this.arrivedAt = arrivedAt;
    }

    /** Returns the first attempt that its upstream may have executed; null if there is none. */
    Attempt firstPossiblyExecuted() {
        for (Attempt attempt : attempts) {
            if (attempt.mayHaveExecuted()) {
                return attempt;
            }
        }
        return null;
    }

    boolean wasSentTo(UpstreamState upstream) {
        for (Attempt attempt : attempts) {
            if (attempt.upstream == upstream) {
                return true;
            }
        }
        return false;
    }

    boolean hasAttemptInFlight() {
        return attempts.stream().anyMatch(Attempt::isInFlight);
    }
}
