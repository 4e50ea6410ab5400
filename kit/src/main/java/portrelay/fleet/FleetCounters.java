package portrelay.fleet;

import java.util.ArrayList;
import java.util.List;

/** The counters of one run over the whole fleet, and descriptions of the first violations of the rules. */
final class FleetCounters {

    private static final int MAX_DESCRIBED_VIOLATIONS = 5;

    long requests;
    long served;
    /** Requests served within the latency objective. */
    long servedInTime;

    long rejected;
    long failed;
    long attempts;
    long discoveryPolls;
    /** Time spent on decisions about requests and attempts. */
    long requestNanos;
    /** Time spent on decisions about endpoint lists, messages and timers. */
    long controlNanos;

    long controlCalls;
    /** Requests without an answer by their deadline plus the protocol's tolerance. */
    long unanswered;
    /** Attempts of unsafe requests that may already have been executed by an earlier attempt. */
    long duplicates;
    /** Attempts at upstreams that were known to be draining for longer than the drain grace. */
    long drainViolations;

    final List<String> violations = new ArrayList<>();

    void describeViolation(String text) {
        if (violations.size() < MAX_DESCRIBED_VIOLATIONS) {
            violations.add(text);
        }
    }
}
