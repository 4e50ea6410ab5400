package portrelay.policy;

import java.util.*;
import portrelay.model.*;

/** What outcomes tell of upstreams: the win counter, the sequential test and the pace. */
final class Health {
    private static final double PASS_OVER = 5.0;
    private static final double LEAST_BAD = 0.05;
    private static final double MOST_BAD = 0.2;
    private static final int BAD_SAMPLES = 64;
    private static final double PACE_AGE = 5;
    private static final double PACE_AGE_MOST = 15;
    private static final double PACE_VISITS = 3;
    private static final double PACE_PRIOR = 1;
    private static final double PACE_MOST = 4;
    static final double OWN_FAULT = 2;
    private static final int TIME_SAMPLES = 64;
    private static final double LATE_SHARE = 0.45;
    private final List<Samples> times = new ArrayList<>();
    private final Samples bads = new Samples(BAD_SAMPLES);
    private double paceAge = PACE_AGE;

    Health(int offerings) {
        for (int i = 0; i < offerings; i++) {
            times.add(new Samples(TIME_SAMPLES));
        }
    }

    /** A quiet sidecar meets an upstream once in a long while and has to remember it until then. */
    void visitsEach(double seconds) {
        paceAge = Math.max(PACE_AGE, Math.min(PACE_AGE_MOST, PACE_VISITS * seconds));
    }

    /** Seconds that a handled query of the offering takes; the prior counts as one sample. */
    double usualTime(Offering offering, double prior) {
        return times.get(offering.id().value()).mean(Double.NEGATIVE_INFINITY, 1, prior);
    }

    void judge(double now, Query q, Query.Execution e, TotalLimit total) {
        double spent = now - e.sentAt;
        boolean handled = e.outcome == Outcome.HANDLED;
        double target = q.offering.targetTime();
        // One that many sent after it have overtaken promptly is lost and in no queue: no less would help it.
        boolean lost = !handled && e.at.prompt.allAbove(e.sentAt);
        boolean slow = spent > target * LATE_SHARE && !lost;
        if (handled && !slow) {
            e.at.prompt.add(now, e.sentAt);
        }
        total.ended(now, e.sentAt, target * LATE_SHARE, slow, pace(e.at, now) < OWN_FAULT);
        samplePace(now, q, e);
        boolean failed = !handled && !e.outcome.neverRan && e.outcome != Outcome.CALLED_OFF
                || e.outcome == Outcome.NO_CONNECTION;
        if (handled || failed) {
            weigh(now, e.at, failed);
        }
        boolean noWay = e.outcome == Outcome.NO_CONNECTION;
        // Nobody gets through there now, or all its connections are taken.
        e.at.evidence = noWay ? Upstream.EVIDENCE : e.trial && handled ? 0 : e.at.evidence;
        e.at.passedUntil = noWay || e.trial ? now + PASS_OVER : e.at.passedUntil;
        e.at.trialOut &= !e.trial;
        Query.Execution primary = q.executions.get(0);
        if (handled && e == primary) {
            e.at.copyWins = 0;
        } else if (handled && q.state() == Decide.State.RACING && primary.outcome == null) {
            primary.at.copyWins++;
            primary.at.passedUntil = primary.at.passedOver() ? now + PASS_OVER : primary.at.passedUntil;
        }
    }

    /**
     * A sequential test (Wald) on outcomes, against what all our upstreams show together. Guards sidecars of
     * little traffic, whose win counter is cleared by each answer between two bad ones.
     */
    void weigh(double now, Upstream u, boolean isBad) {
        double usual = Math.min(MOST_BAD, Math.max(LEAST_BAD, bads.mean(0)));
        double sick = (9 + usual) / 10;
        boolean before = u.passedOver();
        u.evidence += isBad ? Math.log(sick / usual) : Math.log((1 - sick) / (1 - usual));
        u.evidence = Math.max(0, Math.min(u.evidence, Upstream.EVIDENCE));
        bads.add(now, isBad ? 1 : 0);
        if (!before && u.passedOver()) {
            u.passedUntil = now + PASS_OVER;
        }
    }

    /** How long an upstream takes against others; a loser's time counts as far as it got. */
    private void samplePace(double now, Query q, Query.Execution e) {
        Samples usual = times.get(q.asked.offering().value());
        double spent = now - e.sentAt;
        double mean = e.expected * usual.mean(Double.NEGATIVE_INFINITY, 0, spent / e.expected);
        if (e.outcome == Outcome.HANDLED) {
            usual.add(now, spent / e.expected);
        }
        if (mean > 0 && (e.outcome == Outcome.HANDLED || !e.outcome.neverRan && spent > mean)) {
            e.at.paces.add(now, Math.min(spent / mean, PACE_MOST));
        }
    }

    double pace(Upstream u, double now) {
        return u.paces.mean(now - paceAge, PACE_PRIOR, 1);
    }
}
