package portrelay.policy;

import java.util.*;
import portrelay.model.*;

/** A query that has not been forgotten: what was asked, what was sent, what state it is in. */
final class Query extends Table.Subject<Decide.State> {
    final Asked asked;
    final Offering offering;
    final double arrivedAt;
    final List<Execution> executions = new ArrayList<>(2);
    /** Upstreams that were asked for their load on its behalf, and what to do when they have told. */
    final Set<Upstream> sought = new HashSet<>();
    Decide.Input then;
    int looks;
    Execution winner;

    Query(Asked asked, Offering offering, double arrivedAt) {
        super(Decide.State.FRESH);
        this.asked = asked;
        this.offering = offering;
        this.arrivedAt = arrivedAt;
    }

    Execution firstThatMayHaveRun() {
        return executions.stream().filter(Execution::mayHaveRun).findFirst().orElse(null);
    }

    boolean anyOut() {
        return executions.stream().anyMatch(e -> e.outcome == null);
    }

    boolean triedAt(Upstream u) {
        return executions.stream().anyMatch(e -> e.at == u);
    }
}
