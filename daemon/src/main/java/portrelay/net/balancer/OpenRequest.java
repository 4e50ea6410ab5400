package portrelay.net.balancer;

import java.util.ArrayList;
import java.util.List;
import org.xnio.XnioExecutor;
import portrelay.model.Outcome;
import portrelay.model.RequestId;
import portrelay.net.upstream.AttemptId;
import portrelay.net.upstream.IncomingRequest;
import portrelay.net.upstream.UpstreamActor;

/** A request that is unanswered or has a running attempt. */
final class OpenRequest {

    final IncomingRequest incoming;
    /** The upstream of each attempt, by attempt index. */
    final List<UpstreamActor> upstreams = new ArrayList<>(2);

    int runningAttempts;
    boolean isAnswered;
    /**
     * Ends every attempt that is still running at the deadline, also after the request was answered: if attempts may
     * not be cancelled, nothing else ends them. For a streamed request, the next check of its deadline.
     */
    XnioExecutor.Key deadlineTimer;

    /** When each attempt was sent, by attempt index; NaN if the attempt was provably not executed. */
    private final List<Double> sendTimes = new ArrayList<>(2);

    OpenRequest(IncomingRequest incoming) {
        this.incoming = incoming;
    }

    RequestId id() {
        return incoming.arrival().id();
    }

    AttemptId addAttempt(UpstreamActor upstream, double now) {
        AttemptId attempt = new AttemptId(id(), upstreams.size());
        upstreams.add(upstream);
        sendTimes.add(now);
        runningAttempts++;
        return attempt;
    }

    void markNotExecuted(int index) {
        sendTimes.set(index, Double.NaN);
    }

    /** Returns when the first attempt that may have been executed was sent; positive infinity if there is none. */
    double firstPossiblyExecutedAt() {
        for (double sendTime : sendTimes) {
            if (!Double.isNaN(sendTime)) {
                return sendTime;
            }
        }
        return Double.POSITIVE_INFINITY;
    }

    boolean mayHaveBeenExecuted() {
        return firstPossiblyExecutedAt() != Double.POSITIVE_INFINITY;
    }

    void cancelAttempts(Outcome outcome) {
        for (int i = 0; i < upstreams.size(); i++) {
            cancelAttempt(i, outcome);
        }
    }

    void cancelAttempt(int index, Outcome outcome) {
        upstreams.get(index).cancelAttempt(new AttemptId(id(), index), outcome);
    }
}
