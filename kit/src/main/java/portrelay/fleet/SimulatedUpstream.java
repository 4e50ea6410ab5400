package portrelay.fleet;

import java.util.Arrays;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.InstanceTypeId;
import portrelay.model.SlowStartRule;
import portrelay.model.UpstreamId;
import portrelay.model.ZoneId;

/**
 * A simulated upstream: cores with one queue each, whose capacity is reduced while the upstream warms up. Records by
 * how much attempts exceeded the limit for an upstream that is warming up.
 */
final class SimulatedUpstream {

    /** A factor that spreads consecutive numbers over 64 bits: in production, ids are hashes of names. */
    static final long ID_FACTOR = 0x9E3779B97F4A7C15L;

    private static final int CELLS = 7;
    /** The number of arrivals kept; no more than that can occur within the overload window of the rule. */
    private static final int MAX_RECENT_ARRIVALS = 1 << 12;

    final UpstreamId id;
    final int service;
    final int zone;
    private final SlowStartRule slowStart;
    private final double workSeconds;
    /** The time at which each core will have processed its queue. */
    private final double[] coreFreeAt;

    private final double[] recentArrivals = new double[MAX_RECENT_ARRIVALS];
    private int arrivals;
    private int firstRecentArrival;
    /** Whether it accepts attempts but answers none. */
    boolean isSilent;

    boolean isGone;
    boolean isDraining;
    /** The start time; 0 for an upstream that was running before the simulation. */
    double startedAt;
    /**
     * The largest number of attempts within an overload window, minus the limit; above 0 only if the limit was
     * exceeded.
     */
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
     * Accepts an attempt and returns the time at which it will be complete; infinity if it is never answered.
     *
     * @param work the work of the attempt, as a multiple of the mean
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

    /**
     * Updates {@link #slowStartExcess}. The limit is N + 2 * sqrt(N) + 2 attempts within the overload window, where N
     * is the number that all cores can process in that time at the capacity share of the middle of the window, times
     * the overload factor.
     */
    private void checkSlowStartBound(double now) {
        recentArrivals[arrivals++ % recentArrivals.length] = now;
        while (recentArrivals[firstRecentArrival % recentArrivals.length] < now - slowStart.overloadWindow()) {
            firstRecentArrival++;
        }
        double windowMiddle = Math.max(startedAt, now - slowStart.overloadWindow()) + slowStart.overloadWindow() / 2;
        double allowed = slowStart.overloadFactor()
                * coreFreeAt.length
                / workSeconds
                * slowStart.overloadWindow()
                * slowStart.capacityShare(startedAt, windowMiddle);
        slowStartExcess =
                Math.max(slowStartExcess, arrivals - firstRecentArrival - allowed - 2 * Math.sqrt(allowed) - 2);
    }
}
