package portrelay.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * Some replicas of one lease, their clocks and the network between them, in true time that goes on by whole steps.
 * Whatever was sent once may come at any time, in any order and any number of times, or never. Immutable, so that an
 * explorer can go on from any state in every way.
 */
record LeaseWorld(
        Rules rules,
        int time,
        List<Node> nodes,
        Set<Envelope> sent,
        int restartsLeft,
        int roundsLeft,
        long highestToken,
        String broken) {

    /** What is planted to be found; NONE is the program as it is. */
    enum Defect {
        NONE,
        NO_SILENCE_AFTER_RESTART,
        LEASE_COUNTED_FROM_THE_REPLY,
        DRIFT_LEFT_OUT,
        HALF_A_QUORUM,
        PROMISE_FORGOTTEN_AT_RENEWAL,
        TWO_VOTERS_CHANGED_AT_ONCE;

        /** Whether it shows only where two contend from the beginning. */
        boolean needsDuel() {
            return this == PROMISE_FORGOTTEN_AT_RENEWAL || this == HALF_A_QUORUM;
        }
    }

    /**
     * What may happen: candidates by number, whether the second of them begins only after the first has won, the set
     * that a reload brings (null for none), true time's end.
     */
    record Rules(Defect defect, Set<Integer> candidates, boolean oneAfterTheOther, VoterSet reloadsTo, int lastTime) {}

    /** One process; its clock shows true time multiplied by the rate. */
    record Node(Replica replica, double rate) {

        double now(int time) {
            return time * rate;
        }
    }

    record Envelope(int from, int to, int voters, LeaseMessage message) {}

    record Next(String action, LeaseWorld world) {}

    /** With these the longest lease by the slowest clock is as long as the shortest promise by the fastest. */
    private static final double DURATION = 2;

    static final double DRIFT = 0.5;
    private static final double ROUND = 0.9;
    private static final double BACK_OFF = 1e-9;
    /** Wall clocks count milliseconds: contenders that outbid each other stay far below the next step of time. */
    private static final long WALL_CLOCK_STEP = 1000;

    private static final double LONG_AGO = -100;

    static LeaseTerms terms(Defect defect) {
        boolean noDrift = defect == Defect.DRIFT_LEFT_OUT;
        return new LeaseTerms(DURATION, noDrift ? 0 : DRIFT, ROUND, BACK_OFF);
    }

    /** All have run for long; node i's clock has the i-th rate. */
    static LeaseWorld start(Rules rules, VoterSet voters, int restarts, int rounds, double... rates) {
        List<Node> nodes = new ArrayList<>();
        for (int i = 0; i < rates.length; i++) {
            Replica replica = Replica.started(new Holder(i, 0), voters, terms(rules.defect), LONG_AGO, 0);
            Replica ready =
                    new Replica(replica.self(), voters, replica.terms(), replica.acceptor(), Proposer.started(0));
            nodes.add(new Node(ready, rates[i]));
        }
        return new LeaseWorld(rules, 0, List.copyOf(nodes), Set.of(), restarts, rounds, 0, null);
    }

    /** Every way in which it can go on. */
    List<Next> next() {
        List<Next> all = new ArrayList<>();
        if (time < rules.lastTime) {
            LeaseWorld later =
                    new LeaseWorld(rules, time + 1, nodes, sent, restartsLeft, roundsLeft, highestToken, broken);
            all.add(new Next("time " + (time + 1), later.checked()));
        }
        for (int i = 0; i < nodes.size(); i++) {
            addTimer(all, i);
            if (restartsLeft > 0) {
                all.add(new Next("restart " + i, restarted(i)));
            }
            if (rules.reloadsTo != null && !rules.reloadsTo.equals(replica(i).voters())) {
                all.add(new Next("reload " + i, reloaded(i)));
            }
        }
        for (Envelope each : sent) {
            LeaseWorld delivered = delivered(each);
            if (!delivered.equals(this)) {
                all.add(new Next("to " + each.to + " from " + each.from + " " + each.message, delivered));
            }
        }
        return all;
    }

    private Replica replica(int node) {
        return nodes.get(node).replica;
    }

    private double now(int node) {
        return nodes.get(node).now(time);
    }

    private void addTimer(List<Next> all, int node) {
        double due = replica(node).nextAt();
        boolean begins = replica(node).proposer().phase() == Proposer.Phase.RESTING;
        boolean waits = rules.oneAfterTheOther && node != Collections.min(rules.candidates) && highestToken == 0;
        if (waits || !rules.candidates.contains(node) || due > now(node) + 2 * BACK_OFF || begins && roundsLeft == 0) {
            return;
        }
        double at = Math.max(now(node), due);
        Replica.Step step = replica(node).onTimer(at, time * WALL_CLOCK_STEP, 0);
        LeaseWorld after = stepped(node, step);
        int rounds = roundsLeft - (begins ? 1 : 0);
        all.add(new Next(
                "timer of " + node,
                new LeaseWorld(
                        rules, time, after.nodes, after.sent, restartsLeft, rounds, after.highestToken, after.broken)));
    }

    private LeaseWorld restarted(int node) {
        Replica old = replica(node);
        Holder self = new Holder(node, old.self().incarnation() + 1);
        boolean silent = rules.defect != Defect.NO_SILENCE_AFTER_RESTART;
        Replica fresh = Replica.started(self, old.voters(), old.terms(), silent ? now(node) : LONG_AGO, 0);
        Replica ready = new Replica(self, fresh.voters(), fresh.terms(), fresh.acceptor(), Proposer.started(now(node)));
        LeaseWorld after = with(node, ready, sent);
        return new LeaseWorld(rules, time, after.nodes, after.sent, restartsLeft - 1, roundsLeft, highestToken, broken);
    }

    private LeaseWorld reloaded(int node) {
        Replica old = replica(node);
        Replica next = rules.defect == Defect.TWO_VOTERS_CHANGED_AT_ONCE
                ? new Replica(old.self(), rules.reloadsTo, old.terms(), old.acceptor(), old.proposer())
                : old.withVoters(rules.reloadsTo, now(node), 0);
        return with(node, next, sent);
    }

    private LeaseWorld delivered(Envelope each) {
        Replica to = replica(each.to);
        if (each.voters != to.voters().fingerprint()) {
            return this;
        }
        Replica.Step step = to.onMessage(each.from, each.message, now(each.to), 0);
        return stepped(each.to, planted(each, to, step));
    }

    /** The defects that lie in the machines themselves; the others lie in what they are started with. */
    private Replica.Step planted(Envelope each, Replica before, Replica.Step step) {
        Replica next = step.next();
        Proposer proposer = next.proposer();
        Acceptor acceptor = next.acceptor();
        if (rules.defect == Defect.LEASE_COUNTED_FROM_THE_REPLY && won(before, next, each.to)) {
            double until = now(each.to) + next.terms().holderTerm();
            proposer = new Proposer(
                    proposer.phase(),
                    proposer.ballot(),
                    proposer.votes(),
                    proposer.startedAt(),
                    until,
                    proposer.token(),
                    proposer.nextAt(),
                    proposer.highestSeen(),
                    proposer.failures());
        }
        if (rules.defect == Defect.PROMISE_FORGOTTEN_AT_RENEWAL && each.message instanceof LeaseMessage.Propose) {
            acceptor = new Acceptor(
                    null, acceptor.accepted(), acceptor.holder(), acceptor.standsUntil(), acceptor.silentUntil());
        }
        Replica changed = new Replica(next.self(), next.voters(), next.terms(), acceptor, proposer);
        return new Replica.Step(changed, step.out());
    }

    private boolean won(Replica before, Replica after, int node) {
        return after.holds(now(node))
                && after.proposer().heldUntil() != before.proposer().heldUntil();
    }

    private LeaseWorld stepped(int node, Replica.Step step) {
        Set<Envelope> all = new HashSet<>(sent);
        int voters = step.next().voters().fingerprint();
        step.out().forEach(out -> all.add(new Envelope(node, out.to(), voters, out.message())));
        Replica next = rules.defect == Defect.HALF_A_QUORUM ? withOneVoteLess(step.next(), node, all) : step.next();
        return with(node, next, Set.copyOf(all)).checked();
    }

    /** One vote is taken for a majority of three. */
    private Replica withOneVoteLess(Replica replica, int node, Set<Envelope> all) {
        Replica next = replica;
        int ghost = nodes.size() - 1;
        for (Proposer.Phase phase : List.of(Proposer.Phase.PREPARING, Proposer.Phase.PROPOSING)) {
            Proposer proposer = next.proposer();
            if (proposer.phase() == phase && proposer.votes().size() == 1) {
                LeaseMessage vote = phase == Proposer.Phase.PREPARING
                        ? new LeaseMessage.Promise(proposer.ballot(), null)
                        : new LeaseMessage.Accept(proposer.ballot());
                Replica.Step step = next.onMessage(node == ghost ? 0 : ghost, vote, now(node), 0);
                int voters = step.next().voters().fingerprint();
                step.out().forEach(out -> all.add(new Envelope(node, out.to(), voters, out.message())));
                next = step.next();
            }
        }
        return next;
    }

    private LeaseWorld with(int node, Replica replica, Set<Envelope> envelopes) {
        List<Node> changed = new ArrayList<>(nodes);
        changed.set(node, new Node(replica, nodes.get(node).rate));
        LeaseWorld next = new LeaseWorld(
                rules, time, List.copyOf(changed), envelopes, restartsLeft, roundsLeft, highestToken, broken);
        return next.forgotten();
    }

    /**
     * Without what changes nothing any more: replies to rounds that are over, what a node that is no candidate saw of
     * others' numbers, and rejections, each of which is as if it had been lost and the round had timed out.
     */
    private LeaseWorld forgotten() {
        Set<Envelope> kept = new HashSet<>();
        for (Envelope each : sent) {
            boolean reply = each.message instanceof LeaseMessage.Promise || each.message instanceof LeaseMessage.Accept;
            boolean over =
                    !each.message.ballot().equals(replica(each.to).proposer().ballot());
            if (!(each.message instanceof LeaseMessage.Reject) && !(reply && over)) {
                kept.add(each);
            }
        }
        List<Node> plain = new ArrayList<>(nodes);
        for (int i = 0; i < plain.size(); i++) {
            if (!rules.candidates.contains(i)) {
                Replica old = replica(i);
                plain.set(
                        i,
                        new Node(
                                new Replica(old.self(), old.voters(), old.terms(), old.acceptor(), Proposer.started(0)),
                                nodes.get(i).rate));
            }
        }
        return new LeaseWorld(
                rules, time, List.copyOf(plain), Set.copyOf(kept), restartsLeft, roundsLeft, highestToken, broken);
    }

    /** Looks for two that may act in this moment, and for a holder whose token is not above all before. */
    private LeaseWorld checked() {
        List<Integer> holders = new ArrayList<>();
        long highest = highestToken;
        String found = broken;
        for (int i = 0; i < nodes.size(); i++) {
            if (!replica(i).holds(now(i))) {
                continue;
            }
            holders.add(i);
            long token = replica(i).token();
            if (token < highest) {
                found = "holder " + i + " has token " + token + " after " + highest;
            }
            highest = Math.max(highest, token);
        }
        if (holders.size() > 1) {
            found = "holders " + holders + " at time " + time;
        }
        return new LeaseWorld(rules, time, nodes, sent, restartsLeft, roundsLeft, highest, found);
    }
}
