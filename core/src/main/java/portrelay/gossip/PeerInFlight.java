package portrelay.gossip;

import java.util.ArrayList;
import java.util.List;

/**
 * Tracks the attempts in flight at one upstream, as reported by all sidecars that share it, including this one. An
 * attempt whose end is not reported, as the message was lost, is removed after the longest deadline. Not thread-safe.
 */
public final class PeerInFlight {

    /** Number of attempts from which on expired ones are removed even if nobody asks for those in flight. */
    private static final int MAX_ATTEMPTS_UNCHECKED = 256;

    private record Attempt(int sidecar, double startedAt) {}

    private final double maxAge;
    /** In the order of the reports, the oldest first. */
    private final List<Attempt> attempts = new ArrayList<>(0);

    private double lastServedAt = Double.NEGATIVE_INFINITY;
    private int servedCount;

    /**
     * Creates an instance without attempts.
     *
     * @param maxAge the longest deadline of all request classes, in seconds, as no attempt lasts longer
     */
    public PeerInFlight(double maxAge) {
        this.maxAge = maxAge;
    }

    /** Records that the sidecar has started an attempt at this upstream. */
    public void attemptStarted(int sidecar, double now) {
        if (attempts.size() >= MAX_ATTEMPTS_UNCHECKED) {
            // Nobody has asked for this upstream for long.
            removeExpired(now);
        }
        attempts.add(new Attempt(sidecar, now));
    }

    /**
     * Records the end of an attempt of the sidecar, which counts as the end of its oldest one. Returns whether the
     * sidecar had an attempt in flight: an end that is reported twice, or that belongs to an attempt before a restart
     * of the upstream, removes none.
     */
    public boolean attemptEnded(int sidecar, PeerMembership.AttemptEvent event, double now) {
        if (event == PeerMembership.AttemptEvent.SERVED) {
            lastServedAt = now;
            servedCount++;
        }
        for (int i = 0; i < attempts.size(); i++) {
            if (attempts.get(i).sidecar == sidecar) {
                attempts.remove(i);
                return true;
            }
        }
        return false;
    }

    /** Removes all attempts, which have ended as the upstream has restarted. */
    public void clear() {
        attempts.clear();
    }

    /** Returns the number of attempts in flight. */
    public int inFlight(double now) {
        removeExpired(now);
        return attempts.size();
    }

    private void removeExpired(double now) {
        while (!attempts.isEmpty() && attempts.get(0).startedAt < now - maxAge) {
            attempts.remove(0);
        }
    }

    /** Returns the number of attempts of all sidecars that the upstream has served since this instance was created. */
    public int servedCount() {
        return servedCount;
    }

    /**
     * Whether the upstream has served an attempt, but none since that time; false if none was ever reported as served.
     */
    public boolean unansweredSince(double time) {
        return servedCount > 0 && lastServedAt < time;
    }

    /**
     * Returns the seconds since the oldest attempt in flight started; 0 if any attempt has been served since then, or
     * if none is in flight.
     */
    public double unansweredFor(double now) {
        if (inFlight(now) == 0) {
            return 0;
        }
        double oldest = attempts.get(0).startedAt;
        return lastServedAt < oldest ? now - oldest : 0;
    }
}
