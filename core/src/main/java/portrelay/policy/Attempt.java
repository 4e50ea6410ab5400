package portrelay.policy;

import portrelay.model.Endpoint;
import portrelay.model.Outcome;

/** One attempt of a request, and the circumstances in which it was sent. */
final class Attempt {

    final UpstreamState upstream;
    /** The endpoint as listed when it was sent: its deduplication scope may change later. */
    final Endpoint endpoint;

    final double sentAt;
    /** Whether it is the single attempt that an ejected upstream gets to show that it works again. */
    final boolean isTrial;
    /** Expected latency as a multiple of the typical one; 1 where no load is known. */
    final double expectedLatencyRatio;
    /** How long its connection had been idle; 0 for a new or busy one. */
    final double connectionIdleSeconds;
    /** Requests that the upstream had served before, for all sidecars that share it. */
    final int servedBefore;
    /** Attempts in flight at the upstream, this one included. */
    final int inFlightWhenSent;
    /** Whether its start was reported to peers: an end without a start would tell them a wrong number in flight. */
    boolean isStartReported;
    /** Null while in flight. */
    Outcome outcome;

    Attempt(
            UpstreamState upstream,
            double sentAt,
            boolean isTrial,
            double expectedLatencyRatio,
            double connectionIdleSeconds,
            int servedBefore,
            int inFlightWhenSent) {
        this.upstream = upstream;
        this.endpoint = upstream.endpoint;
        this.sentAt = sentAt;
        this.isTrial = isTrial;
        this.expectedLatencyRatio = expectedLatencyRatio;
        this.connectionIdleSeconds = connectionIdleSeconds;
        this.servedBefore = servedBefore;
        this.inFlightWhenSent = inFlightWhenSent;
    }

    boolean isInFlight() {
        return outcome == null;
    }

    /** In flight counts as executed: only an outcome can prove the contrary. */
    boolean mayHaveExecuted() {
        return outcome == null || !outcome.provablyNotExecuted;
    }
}
