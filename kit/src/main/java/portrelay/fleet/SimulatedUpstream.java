package portrelay.fleet;

import java.util.Arrays;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.InstanceTypeId;
import portrelay.model.SlowStartRule;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/** One upstream: cores with a queue before them, less of them while it is cold, and whether it was overloaded then. */
final class SimulatedUpstream {

    /** Spreads the ids over 64 bits, as hashes of names are. */
    static final long ID_FACTOR = 0x9E3779B97F4A7C15L;

    private static final int CELLS = 7;
    /** Arrivals that are remembered at most; more can't come within the rule's window. */
    private static final int MAX_RECENT_ARRIVALS = 1 << 12;

    final UpstreamId id;
    final int service;
    final int zone;
    private final SlowStartRule slowStart;
    private final double workSeconds;
    /** When each core has worked off its queue. */
    private final double[] coreFreeAt;

    private final double[] recentArrivals = new double[MAX_RECENT_ARRIVALS];
    private int arrivals;
    private int firstRecentArrival;
    /** Takes attempts and answers none. */
    boolean isSilent;

    boolean isGone;
    boolean isDraining;
    /** 0 for one that was there before the simulation. */
    double startedAt;
    /** By how many attempts the most within the rule's window was over what it bears; not above 0 where it held. */
    double slowStartExcess = Double.NEGATIVE_INFINITY;

    SimulatedUpstream(int number, int service, int zone, int cores, double workSeconds, SlowStartRule slowStart) {
        this.id = new UpstreamId(number * ID_FACTOR);
        this.service = service;
        this.zone = zone;
        this.slowStart = slowStart;
        this.workSeconds = workSeconds;
        this.coreFreeAt = new double[cores];
    }

    Endpoint endpoint() {
        Endpoint.Health health =
                isGone ? Endpoint.Health.GONE : isDraining ? Endpoint.Health.DRAINING : Endpoint.Health.READY;
        return new Endpoint(
                id, health, startedAt, 1, new CellId(id.value() % CELLS), new ZoneId(zone), new InstanceTypeId(0));
    }

    void startWarmingUp(double now) {
        isSilent = false;
        isGone = false;
        isDraining = false;
        startedAt = now;
        Arrays.fill(coreFreeAt, now);
        arrivals = 0;
        firstRecentArrival = 0;
    }

    /**
     * Takes an attempt and returns when it will be done, infinity where it never answers.
     *
     * @param work as a multiple of the mean
     */
    double accept(double now, double work) {
        if (startedAt > 0 && now < startedAt + slowStart.warmUpTime()) {
            checkSlowStartBound(now);
        }
        if (isSilent) {
            return Double.POSITIVE_INFINITY;
        }
        int core = 0;
        for (int i = 1; i < coreFreeAt.length; i++) {
            core = coreFreeAt[i] < coreFreeAt[core] ? i : core;
        }
        coreFreeAt[core] =
                Math.max(now, coreFreeAt[core]) + work * workSeconds / slowStart.capacityShare(startedAt, now);
        return coreFreeAt[core];
    }

    /** The bound is N + 2 x root N + 2 within the rule's window, N being what its cores bear in the middle of it. */
    private void checkSlowStartBound(double now) {
        recentArrivals[arrivals++ % recentArrivals.length] = now;
        while (recentArrivals[firstRecentArrival % recentArrivals.length] < now - slowStart.overloadWindow()) {
            firstRecentArrival++;
        }
        double middle = Math.max(startedAt, now - slowStart.overloadWindow()) + slowStart.overloadWindow() / 2;
        double allowed = slowStart.overloadFactor()
                * coreFreeAt.length
                / workSeconds
                * slowStart.overloadWindow()
                * slowStart.capacityShare(startedAt, middle);
        slowStartExcess =
                Math.max(slowStartExcess, arrivals - firstRecentArrival - allowed - 2 * Math.sqrt(allowed) - 2);
    }
}
