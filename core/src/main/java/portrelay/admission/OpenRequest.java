package portrelay.admission;

import portrelay.model.TransitionTable;

/**
 * A request that {@link AdmissionController} has queued or admitted. Its state is changed only by the controller's
 * transition table.
 */
final class OpenRequest extends TransitionTable.Subject<OpenRequest.State> {

    /** IN_FLIGHT: admitted to the load balancer and not yet answered. DONE: no longer kept by the controller. */
    enum State {
        NEW,
        QUEUED,
        IN_FLIGHT,
        DONE
    }

    /** The request as it is queued, possibly in a shared flow. */
    final AdmissionRequest request;
    /** The client's own flow, also if the request is queued in a shared one. */
    final FlowId clientFlow;

    /** Ascending in order of arrival; breaks ties between equal times. */
    final long arrivalOrder;
    /** Whether the request came at a reserved Retry-After time. */
    boolean honoursRetryAfter;

    double admittedAt;

    OpenRequest(AdmissionRequest request, FlowId clientFlow, long arrivalOrder) {
        super(State.NEW);
        this.request = request;
        this.clientFlow = clientFlow;
        this.arrivalOrder = arrivalOrder;
    }
}
