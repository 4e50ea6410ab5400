package portrelay.policy;

import java.util.List;
import portrelay.model.ColdRule;

/** Guards against all together pushing over a cold upstream: each sends it a ramp's share of a like warm one's. */
record Cold(ColdRule rule) {
    double ramp(Upstream u, double now) {
        double since = Math.max(u.listed.onlineSince(), u.backAt);
        if (since <= 0 || now >= since + rule.time() || rule.time() <= 0) {
            return 1;
        }
        return rule.share() + (1 - rule.share()) * Math.max(0, now - since) / rule.time();
    }

    /** Every send to a warm upstream, or any where none is, earns each cold one its part of a send. */
    void sent(Upstream to, List<Upstream> roster, double now) {
        List<Upstream> ready = roster.stream().filter(u -> u.ready).toList();
        double warm = ready.stream().filter(u -> ramp(u, now) >= 1).mapToDouble(u -> u.size).sum();
        boolean toWarm = ramp(to, now) >= 1;
        to.coldCredit -= toWarm ? 0 : 1;
        for (Upstream u : ready) {
            double f = ramp(u, now);
            if (f < 1 && (toWarm || warm == 0)) {
                double each = warm > 0 ? f * u.size / warm : 1.0 / ready.size();
                // Halfway, in ratio, between what it can surely do and what pushes it over.
                u.coldCredit = Math.min(2, u.coldCredit + each * Math.sqrt(rule.overloadFactor()));
            }
        }
    }
}
