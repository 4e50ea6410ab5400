package portrelay.model;

/**
 * The position of a sidecar in its fleet, and its sources of information on the load of upstreams.
 *
 * @param sidecarIndex the index of this sidecar, from 0
 * @param sidecarCount the number of sidecars in the fleet, at least 1
 * @param zone the zone of this sidecar; null if the settings name none
 * @param weights what the weights of the endpoint list stand for
 * @param reports how upstreams report their load
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

    /**
     * What the weights of the endpoint list stand for: nothing, capacities, rough capacities, or capacities reduced by
     * load.
     */
    public enum Weights {
        SILENT,
        NOMINAL,
        ROUGH,
        LIVE
    }

    /** How upstreams report their load: not at all, with each answer, or in answer to probes. */
    public enum Reports {
        SILENT,
        WITH_ANSWERS,
        WITH_PROBES
    }

    /** Whether upstreams are probed for their load before a request is sent. */
    public boolean probesLoad() {
        return reports == Reports.WITH_PROBES && probesAllowed;
    }

    /** Whether sidecars report attempts to each other, as load reports, if any, arrive too late to select by. */
    public boolean sharesLoad() {
        return reports != Reports.WITH_PROBES && peerMessagesAllowed && sidecarCount > 1;
    }

    /** Whether rendezvous hashing chooses the sidecars of each upstream, as only their messages show its load. */
    public boolean usesRendezvousSubsets() {
        return sharesLoad() && reports == Reports.SILENT;
    }

    /**
     * Returns this topology as it is on sockets: upstreams report no load and are not probed, and peer messages are
     * allowed only if they can be sent.
     */
    public Topology overSockets(boolean hasMessages) {
        return new Topology(
                sidecarIndex, sidecarCount, zone, weights, Reports.SILENT, peerMessagesAllowed && hasMessages, false);
    }

    /** Returns this topology with one sidecar only. */
    public Topology standalone() {
        return new Topology(0, 1, zone, weights, reports, peerMessagesAllowed, probesAllowed);
    }
}
