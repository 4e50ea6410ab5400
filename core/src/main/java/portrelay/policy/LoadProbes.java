package portrelay.policy;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import portrelay.model.LoadBalancerActions;
import portrelay.model.LoadReport;
import portrelay.model.Topology;

/**
 * Runs rounds of load probes. Where upstreams report their load only in answer to probes, a few random upstreams are
 * probed before an attempt is sent. The first upstream that reports no attempts in flight ends the round.
 */
final class LoadProbes {

    /**
     * Time after which a probe has failed. A probe usually takes 1 to 2 ms; an upstream that has not answered by this
     * time is paused, dead or unreachable.
     */
    static final double TIMEOUT_SECONDS = 0.004;

    private static final int PROBES_PER_ROUND = 5;

    /**
     * Maximum number of random draws per probe. A draw is repeated if the upstream is not eligible or already belongs
     * to the round.
     */
    private static final int MAX_DRAWS_PER_PROBE = 4;

    /** Maximum number of rounds before the first attempt of a request. */
    private static final int MAX_ROUNDS = 2;

    private final LoadBalancerActions actions;
    private final Topology topology;
    private final EndpointTable endpoints;
    private final UpstreamEligibility eligibility;
    private final SplittableRandom random;
    private final Set<OpenRequest> waitingRequests = new LinkedHashSet<>();

    LoadProbes(
            LoadBalancerActions actions, FleetState fleet, UpstreamEligibility eligibility, SplittableRandom random) {
        this.actions = actions;
        this.topology = fleet.topology();
        this.endpoints = fleet.endpoints();
        this.eligibility = eligibility;
        this.random = random;
    }

    /**
     * Counts a round that begins for the request. A round that begins after an attempt was sent counts as the last one.
     */
    void countRound(OpenRequest request) {
        request.probeRounds = request.attempts.isEmpty() ? request.probeRounds + 1 : MAX_ROUNDS;
    }

    /** Whether the request may probe again before its first attempt, after a round that found no idle upstream. */
    boolean mayProbeAgain(OpenRequest request) {
        return topology.probesLoad() && request.probeRounds < MAX_ROUNDS && !request.arrival.retriedByClient();
    }

    /**
     * Starts a round: probes random eligible upstreams for the request.
     *
     * @return whether the request now waits for probes; false if there is no upstream to probe, or no time for it
     *     before the deadline
     */
    boolean startRound(OpenRequest request, double nowSeconds) {
        if (!topology.probesLoad() || nowSeconds + TIMEOUT_SECONDS >= request.arrival.deadline()) {
            return false;
        }
        Set<UpstreamState> outstanding = request.outstandingProbes;
        outstanding.clear();
        List<UpstreamState> upstreams = endpoints.upstreams();
        int maxDraws = upstreams.isEmpty() ? 0 : PROBES_PER_ROUND * MAX_DRAWS_PER_PROBE;
        for (int draw = 0; draw < maxDraws && outstanding.size() < PROBES_PER_ROUND; draw++) {
            UpstreamState upstream = upstreams.get(random.nextInt(upstreams.size()));
            boolean isCandidate = !(upstream.isEjected() && nowSeconds < upstream.ejectedUntil)
                    && eligibility.isEligible(request, upstream, nowSeconds);
            if (isCandidate && outstanding.add(upstream) && !upstream.isProbeOutstanding) {
                upstream.isProbeOutstanding = true;
                actions.probeLoad(upstream.id);
            }
        }
        if (outstanding.isEmpty()) {
            return false;
        }
        waitingRequests.add(request);
        return true;
    }

    /** Ends the round of the request, if there is one. Answers to its probes are still recorded. */
    void endRound(OpenRequest request) {
        waitingRequests.remove(request);
    }

    /**
     * Records the answer to a probe, or its timeout if the report is null.
     *
     * @param onRoundEnded called for each request whose round this ends, in the order in which the rounds began
     */
    void recordResult(
            UpstreamState upstream, LoadReport report, Consumer<OpenRequest> onRoundEnded, double nowSeconds) {
        upstream.isProbeOutstanding = false;
        if (report != null && report.inFlight() >= 0) {
            upstream.reportedInFlight = Math.rint(report.inFlight());
            upstream.reportedAt = nowSeconds;
        }
        for (OpenRequest request : List.copyOf(waitingRequests)) {
            // Evaluated again for each request: an attempt sent earlier in this loop makes the upstream busy.
            if (request.outstandingProbes.remove(upstream)
                    && (request.outstandingProbes.isEmpty() || isReportedIdle(upstream, nowSeconds))) {
                waitingRequests.remove(request);
                onRoundEnded.accept(request);
            }
        }
    }

    private static boolean isReportedIdle(UpstreamState upstream, double nowSeconds) {
        return upstream.reportedAt == nowSeconds && upstream.reportedInFlight == 0;
    }
}
