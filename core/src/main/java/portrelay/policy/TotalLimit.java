package portrelay.policy;

import portrelay.model.Samples;

/**
 * Guards against a fleet that all sidecars overfill together: one or two executions of each at every
 * upstream are already too many there, and only the sum over our upstreams is fine enough to hold less.
 */
final class TotalLimit {
    private static final double FIRST_TOTAL = 3;
    private static final double FIRST_EACH = 2.5;
    private static final double START_PART = 3;
    private static final int ROUND = 16;
    static final double LATE_HIGH = 0.25;
    private static final double LATE_LOW = 0.15;
    private static final double TOTAL_CUT_TO = 0.8;
    private static final double FEW_LATE = 0.5;
    private static final double SMALL_CUT_TO = 0.5;
    private static final double SMALL_STEP = 0.12;
    final Samples late = new Samples(ROUND);
    double size = FIRST_TOTAL;
    private final Samples few = new Samples(Upstream.FEW);
    private double unit = 1;
    private double least = 1;
    private boolean told;
    private boolean starting = true;
    private double changedAt = Double.NEGATIVE_INFINITY;
    double freeAt = Double.NEGATIVE_INFINITY;
    private int round;
    private boolean full;
    int inFlight;

    /** All sidecars may start in one moment: what each begins with is its part of what all may send. */
    void start(double share) {
        if (share == 0 || told) {
            return;
        }
        told = true;
        unit = Math.min(1, share);
        size = Math.min(FIRST_TOTAL, FIRST_EACH * share);
        least = Math.min(1, size);
    }

    /** Below one in flight the limit is held in time: an execution takes up its room for longer. */
    boolean hasRoom(double now) {
        return size >= 1 ? inFlight < size : inFlight == 0 && now >= freeAt;
    }

    void ended(double now, double sentAt, double promptWithin, boolean isLate, boolean tellsOfAll) {
        boolean wasFull = inFlight-- + 1 > size;
        full |= wasFull;
        // At the start nothing is known: each prompt outcome makes room until a round goes wrong.
        if (starting && wasFull && !isLate) {
            size += unit >= 1 ? 1 : unit / START_PART;
        }
        if (size < 1) {
            // One that took very long must not close the sidecar for many times that.
            freeAt = Math.max(freeAt, now + Math.min(now - sentAt, promptWithin) * (1 / size - 1));
        }
        if (sentAt < changedAt || isLate && !tellsOfAll && size > 1) {
            return;
        }
        late.add(now, isLate ? 1 : 0);
        if (size <= 1) {
            // One outcome is a round here: what one sidecar errs by, all of them together do not.
            few.add(now, isLate ? 1 : 0);
            if (isLate && few.mean(0) >= FEW_LATE) {
                size = Math.max(least, size * SMALL_CUT_TO);
                starting = false;
            } else if (!isLate && wasFull) {
                size += SMALL_STEP;
            }
            return;
        }
        if (++round < Math.max(ROUND / 2, Math.min(ROUND, size))) {
            return;
        }
        double share = late.mean(0);
        if (share > LATE_HIGH) {
            size = Math.max(least, size * TOTAL_CUT_TO);
            starting = false;
            changedAt = now;
        } else if (share < LATE_LOW && full) {
            size += unit;
        }
        round = 0;
        full = false;
    }
}
