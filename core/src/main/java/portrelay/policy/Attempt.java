package portrelay.policy;

import portrelay.model.Endpoint;
import portrelay.model.Outcome;

/** One attempt of a request, with the state of its upstream when it was sent. */
final class Attempt {

    final UpstreamState upstream;
    /** The endpoint as listed when the attempt was sent: the listed deduplication scope may change later. */
    final Endpoint endpoint;

    final double sentAt;
    /** Whether this is a trial request, the single attempt that shows whether an ejected upstream has recovered. */
    final boolean isTrial;
    /** Expected latency as a multiple of the typical latency; 1 if the load is unknown. */
    final double expectedLatencyRatio;
    /** How long the connection had been idle before the attempt; 0 for a new or busy connection. */
    final double connectionIdleSeconds;
    /** Attempts that the upstream had served before this one, counted over all sidecars that share it. */
    final int servedCountWhenSent;
    /** Attempts in flight at the upstream when this one was sent, including this one. */
    final int inFlightWhenSent;
    /** Whether the start was reported to peers: an end without a start would corrupt their count of those in flight. */
    boolean isStartReported;
    /** Null while the attempt is in flight. */
    Outcome outcome;

    Attempt(
            UpstreamState upstream,
            double sentAt,
            boolean isTrial,
            double expectedLatencyRatio,
            double connectionIdleSeconds,
            int servedCountWhenSent,
            int inFlightWhenSent) {
        this.upstream = upstream;
        this.endpoint = upstream.endpoint;
        this.sentAt = sentAt;
        this.isTrial = isTrial;
        this.expectedLatencyRatio = expectedLatencyRatio;
        this.connectionIdleSeconds = connectionIdleSeconds;
        this.servedCountWhenSent = servedCountWhenSent;
        this.inFlightWhenSent = inFlightWhenSent;
    }

    /** Whether the list has shown a later start of the upstream since the attempt was sent. */
    boolean isUpstreamRestarted() {
        return upstream.endpoint.startedAt() > endpoint.startedAt();
    }

    boolean isInFlight() {
        return outcome == null;
    }

    /** Whether the upstream may have executed the attempt; true while in flight: only an outcome proves otherwise. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.provablyNotExecuted;
    }
}
