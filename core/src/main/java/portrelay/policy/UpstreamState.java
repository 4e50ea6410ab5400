package portrelay.policy;

import java.util.List;
import portrelay.gossip.PeerInFlight;
import portrelay.model.Endpoint;
import portrelay.model.LoadWeight;
import portrelay.model.Samples;
import portrelay.model.UpstreamId;

/** The state of one upstream. Owned by {@link EndpointTable}; each policy updates the part that it decides by. */
final class UpstreamState {

    /** Number of consecutive hedged requests lost to other upstreams after which an upstream is ejected. */
    static final int HEDGE_LOSSES_TO_EJECT = 5;

    /**
     * Evidence of the sequential test at which an upstream is ejected: that it fails nearly always is then 1000 times
     * as likely as that it fails as often as usual.
     */
    static final double EJECTION_EVIDENCE = Math.log(1000);

    /** Number of answers to later attempts after which an earlier attempt counts as lost rather than queued. */
    static final int OVERTAKING_ANSWERS = 4;

    private static final int LATENCY_SAMPLES = 16;

    /** Number of endpoint lists over which the attempts in flight that the weights show are averaged. */
    private static final int WEIGHT_SAMPLES = 3;

    final UpstreamId id;

    // Set by the endpoint list and by operators.
    Endpoint endpoint;
    boolean isReady;
    boolean isGone;
    /** Capacity when idle, relative to other upstreams; above 0. */
    double capacity;

    final LoadWeight loadWeight = new LoadWeight(WEIGHT_SAMPLES);
    /** The time at which an operator last enabled the upstream again; 0 if never. */
    double enabledAt;

    /** Whether no attempt was sent to the upstream since an operator enabled it; if so, it gets a trial request. */
    boolean isUntriedSinceEnabled;

    // Attempts of this sidecar.
    int inFlight;
    /** Attempts in flight on connections that had been idle. */
    int inFlightOnIdleConnections;

    double lastServedAt = Double.NEGATIVE_INFINITY;
    /**
     * Number of attempts, including fractions, that the upstream may get now if it is warming up; see
     * {@link SlowStart}.
     */
    double slowStartCredit;

    // Outlier detection. Attempts sent before observedSince are ignored.
    double observedSince;
    int hedgesLost;
    double failureEvidence;
    double ejectedUntil;
    boolean isTrialInFlight;
    /** Duration ratios of the attempts of all sidecars that share the upstream; see {@link LatencyTracker}. */
    final Samples durationRatios = new Samples(LATENCY_SAMPLES);
    /** Latency ratios of the attempts of this sidecar; see {@link LatencyTracker}. */
    final Samples latencyRatios = new Samples(LATENCY_SAMPLES);
    /** The times at which the last promptly answered attempts were sent. */
    final Samples promptSendTimes = new Samples(OVERTAKING_ANSWERS);

    // Load, as known from peers and probes.
    final PeerInFlight peerInFlight;
    /** The sidecars that use the upstream, if rendezvous hashing chooses them; null until they are chosen. */
    List<Integer> sharingSidecars;
    /** Attempts in flight as the last probe reported, plus the attempts that this sidecar has sent since. */
    double reportedInFlight;

    double reportedAt = Double.NEGATIVE_INFINITY;
    boolean isProbeOutstanding;

    UpstreamState(UpstreamId id, double maxDeadlineSeconds) {
        this.id = id;
        this.peerInFlight = new PeerInFlight(maxDeadlineSeconds);
    }

    /** Discards the observations of the former process, as a new one has replaced it. */
    void reset(double nowSeconds, double initialCredit) {
        observedSince = nowSeconds;
        hedgesLost = 0;
        failureEvidence = 0;
        slowStartCredit = initialCredit;
        peerInFlight.clear();
    }

    /** Whether the upstream is ejected, and gets only trial requests while other upstreams are available. */
    boolean isEjected() {
        return hedgesLost >= HEDGE_LOSSES_TO_EJECT || failureEvidence >= EJECTION_EVIDENCE;
    }

    /** Whether the upstream is ejected and its next trial request is due. */
    boolean isTrialDue(double nowSeconds) {
        return isEjected() && nowSeconds >= ejectedUntil;
    }
}
