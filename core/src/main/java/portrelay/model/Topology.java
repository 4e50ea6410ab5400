package portrelay.model;

/**
 * The place of a sidecar in its fleet, and what it can learn of the load there.
 *
 * @param sidecarIndex its number, from 0
 * @param sidecarCount the number of sidecars, at least 1
 * @param zone null where the settings name none
 * @param peerMessagesAllowed whether sidecars may send each other messages
 * @param probesAllowed whether upstreams may be probed for their load
 */
public record Topology(
        int sidecarIndex,
        int sidecarCount,
        ZoneId zone,
        Weights weights,
        Reports reports,
        boolean peerMessagesAllowed,
        boolean probesAllowed) {

    /** What the weights of the endpoint list are: nothing, capacities, rough capacities, or lowered by the load. */
    public enum Weights {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** Where upstreams report their load: nowhere, with each answer, or in answer to probes. */
    public enum Reports {
        SILENT,
        WITH_ANSWERS,
        WITH_PROBES
    }

    /** Whether load is probed before a request is sent. */
    public boolean probesLoad() {
        return reports == Reports.WITH_PROBES && probesAllowed;
    }

    /** Whether sidecars report attempts to each other, as load reports come too late to select by. */
    public boolean sharesLoad() {
        return reports != Reports.WITH_PROBES && peerMessagesAllowed && sidecarCount > 1;
    }

    /** Whether rendezvous hashing chooses the sidecars of an upstream: where nothing else shows its load. */
    public boolean usesRendezvousSubsets() {
        return sharesLoad() && reports == Reports.SILENT;
    }

    /** The same place on sockets, where upstreams report no load, and messages pass only if there is a way for them. */
    public Topology overSockets(boolean hasMessages) {
        return new Topology(
                sidecarIndex, sidecarCount, zone, weights, Reports.SILENT, peerMessagesAllowed && hasMessages, false);
    }

    /** The same place without any other sidecar. */
    public Topology standalone() {
        return new Topology(0, 1, zone, weights, reports, peerMessagesAllowed, probesAllowed);
    }
}
