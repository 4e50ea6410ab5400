package portrelay.net.balancer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import portrelay.model.RequestId;

/** The open requests. A request is open until it is answered and its last attempt has ended. */
final class OpenRequests {

    private final Map<RequestId, OpenRequest> byId = new HashMap<>();

    /** Adds a request; returns false, without adding it, if a request with the same id is open. */
    boolean add(OpenRequest request) {
        return byId.putIfAbsent(request.id(), request) == null;
    }

    /** Returns the request, or null if it is not open. */
    OpenRequest get(RequestId id) {
        return byId.get(id);
    }

    /** Returns the request, or null if it is not open or is already answered. */
    OpenRequest getUnanswered(RequestId id) {
        OpenRequest request = byId.get(id);
        return request == null || request.isAnswered ? null : request;
    }

    /** Marks a request as answered: it has been answered, or its client has left. */
    void markAnswered(OpenRequest request) {
        request.isAnswered = true;
        removeIfDone(request);
    }

    /** Returns the number of open requests, including answered ones with a running attempt. */
    int count() {
        return byId.size();
    }

    List<RequestId> ids() {
        return List.copyOf(byId.keySet());
    }

    void removeIfDone(OpenRequest request) {
        if (request.isAnswered && request.runningAttempts == 0) {
            byId.remove(request.id());
            if (request.deadlineTimer != null) {
                request.deadlineTimer.remove();
            }
        }
    }
}
