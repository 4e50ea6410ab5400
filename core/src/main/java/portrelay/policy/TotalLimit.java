package portrelay.policy;

import portrelay.model.Samples;

/** Guards against a fleet that all overfill together: only a sum over our upstreams can hold under one at each. */
final class TotalLimit {
    private static final double FIRST_TOTAL = 3;
    private static final double FIRST_EACH = 2.5;
    private static final int ROUND = 16;
    static final double LATE_HIGH = 0.25;
    private static final double LATE_LOW = 0.15;
    private static final double TOTAL_CUT_TO = 0.8;
    final Samples late = new Samples(ROUND);
    private double size = FIRST_TOTAL;
    private double unit;
    private boolean starting = true;
    private double changedAt = Double.NEGATIVE_INFINITY;
    private int round;
    private boolean full;
    int inFlight;

    /** All sidecars may start in one moment: what each begins with is its part of what all may send. */
    void start(double share) {
        if (share == 0 || unit > 0) {
            return;
        }
        unit = Math.min(1, share);
        size = Math.max(1, Math.min(FIRST_TOTAL, FIRST_EACH * share));
    }

    boolean hasRoom(int silent) {
        return inFlight - silent < size;
    }

    void ended(double now, double sentAt, boolean isLate, boolean tellsOfAll) {
        boolean wasFull = inFlight-- + 1 > size;
        full |= wasFull;
        // At the start nothing is known: each prompt outcome makes room until a round goes wrong.
        if (starting && wasFull && !isLate) {
            size += unit;
        }
        if (sentAt < changedAt || isLate && !tellsOfAll && size > 1) {
            return;
        }
        late.add(now, isLate ? 1 : 0);
        if (++round < Math.max(ROUND / 2, Math.min(ROUND, size))) {
            return;
        }
        double share = late.mean(0);
        if (share > LATE_HIGH) {
            size = Math.max(1, size * TOTAL_CUT_TO);
            starting = false;
            changedAt = now;
        } else if (share < LATE_LOW && full) {
            size += unit;
        }
        round = 0;
        full = false;
    }
}
