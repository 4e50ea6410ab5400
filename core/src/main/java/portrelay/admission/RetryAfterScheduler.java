package portrelay.admission;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * Chooses Retry-After times, each a reservation that a later request of the flow can redeem. The times of a flow are
 * spaced by its share of the admission rate, with jitter so that no two coincide. A request that comes at a reserved
 * time is queued at the front of its flow. No time beyond the longest Retry-After that clients honour is reserved, as
 * clients would not keep it.
 */
final class RetryAfterScheduler {

    /**
     * How early a request may come, as the client's timer differs from the local one. Also the shortest Retry-After.
     */
    private static final double EARLY_TOLERANCE_SECONDS = 0.005;

    /** A reservation expires this long after its time. */
    private static final double LATE_TOLERANCE_SECONDS = 0.5;

    /** Maximum jitter as a share of the spacing between two times of a flow. */
    private static final double JITTER_SHARE = 0.5;

    /** Interval between two searches of all flows for expired reservations. */
    private static final double EXPIRY_INTERVAL_SECONDS = 0.1;

    private static final class FlowReservations {
        private final Deque<Double> dueTimes = new ArrayDeque<>();
        private double lastDueAt = Double.NEGATIVE_INFINITY;
        /** Whether a request of the flow was marked as a retry; if so, an unmarked request redeems nothing. */
        private boolean marksRetries;
    }

    private final SplittableRandom random;
    private final double maxRetryAfter;
    private final int maxReservations;
    private final Map<FlowId, FlowReservations> flows = new HashMap<>();
    private int reservationCount;
    private double nextExpiryAt = Double.NEGATIVE_INFINITY;

    /**
     * Creates a scheduler without reservations.
     *
     * @param maxRetryAfter the longest Retry-After that clients honour, in seconds; 0 if they honour none
     * @param maxReservations maximum number of open reservations of all flows together
     */
    RetryAfterScheduler(SplittableRandom random, double maxRetryAfter, int maxReservations) {
        this.random = random;
        this.maxRetryAfter = maxRetryAfter;
        this.maxReservations = maxReservations;
    }

    /**
     * Reserves the next Retry-After time of the flow.
     *
     * @param drainTime seconds until all queued requests of the flow will have been admitted
     * @param spacing seconds to admit one request at the flow's share of the admission rate
     * @return the Retry-After in seconds from now; 0 if no time was reserved
     */
    double reserve(double now, FlowId flow, double drainTime, double spacing) {
        removeExpired(now);
        FlowReservations flowReservations = flows.get(flow);
        double last = flowReservations == null ? Double.NEGATIVE_INFINITY : flowReservations.lastDueAt;
        double due = Math.max(now + drainTime, last + spacing) + random.nextDouble() * JITTER_SHARE * spacing;
        double wait = Math.max(due - now, EARLY_TOLERANCE_SECONDS);
        if (!(wait <= maxRetryAfter) || reservationCount >= maxReservations) {
            return 0;
        }
        if (flowReservations == null) {
            flowReservations = new FlowReservations();
            flows.put(flow, flowReservations);
        }
        flowReservations.lastDueAt = now + wait;
        flowReservations.dueTimes.add(now + wait);
        reservationCount++;
        return wait;
    }

    /** Redeems a reservation of the flow if one is due. Returns whether the request comes at a reserved time. */
    boolean redeem(double now, FlowId flow, boolean retriedByClient) {
        removeExpired(now);
        FlowReservations flowReservations = flows.get(flow);
        if (flowReservations == null) {
            return false;
        }
        flowReservations.marksRetries |= retriedByClient;
        removeExpired(now, flowReservations);
        boolean isDue = !flowReservations.dueTimes.isEmpty()
                && flowReservations.dueTimes.peek() - EARLY_TOLERANCE_SECONDS <= now
                && (retriedByClient || !flowReservations.marksRetries);
        if (isDue) {
            flowReservations.dueTimes.poll();
            reservationCount--;
            if (flowReservations.dueTimes.isEmpty()) {
                flows.remove(flow);
            }
        }
        return isDue;
    }

    /** Returns the number of reservations that are neither redeemed nor expired. */
    int reservationCount() {
        return reservationCount;
    }

    /** Removes the expired reservations of all flows; does nothing if called again within the expiry interval. */
    void removeExpired(double now) {
        if (now < nextExpiryAt) {
            return;
        }
        nextExpiryAt = now + EXPIRY_INTERVAL_SECONDS;
        flows.values().removeIf(each -> {
            removeExpired(now, each);
            return each.dueTimes.isEmpty();
        });
    }

    private void removeExpired(double now, FlowReservations flowReservations) {
        while (!flowReservations.dueTimes.isEmpty()
                && flowReservations.dueTimes.peek() + LATE_TOLERANCE_SECONDS < now) {
            flowReservations.dueTimes.poll();
            reservationCount--;
        }
    }
}
