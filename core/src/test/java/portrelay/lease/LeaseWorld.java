package portrelay.lease;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * A model of the replicas of one lease, their clocks and the network between them. True time advances in whole steps. A
 * message may arrive at any time, in any order and any number of times, or never. Immutable, so that the explorer can
 * continue from any state. {@code violation} is null as long as no violation was found.
 */
record LeaseWorld(
        Rules rules,
        int time,
        List<Node> nodes,
        Set<Envelope> sent,
        int restartsLeft,
        int roundsLeft,
        long highestToken,
        String violation) {

    /** A planted defect that the explorer has to find; NONE is the real code. */
    enum Defect {
        NONE,
        NO_SILENCE_AFTER_RESTART,
        LEASE_COUNTED_FROM_THE_REPLY,
        DRIFT_LEFT_OUT,
        HALF_A_QUORUM,
        PROMISE_FORGOTTEN_AT_RENEWAL,
        TWO_VOTERS_CHANGED_AT_ONCE;

        /** Whether the defect shows only if two candidates contend from the start. */
        boolean needsContention() {
            return this == PROMISE_FORGOTTEN_AT_RENEWAL || this == HALF_A_QUORUM;
        }
    }

    /**
     * The transitions that may happen.
     *
     * @param candidates the peers that try to hold the lease
     * @param sequentialStart whether the other candidates begin only after the first has won
     * @param reloadedVoters the voter set of a configuration reload; null for no reload
     * @param lastTime the true time at which exploration ends
     */
    record Rules(
            Defect defect, Set<Integer> candidates, boolean sequentialStart, VoterSet reloadedVoters, int lastTime) {}

    /** One process; its clock shows true time multiplied by the rate. */
    record Node(Replica replica, double rate) {

        double now(int time) {
            return time * rate;
        }
    }

    /** A message that was sent, with the fingerprint of the sender's voter set. */
    record Envelope(int from, int to, int voters, LeaseMessage message) {}

    /** A possible transition: its description and the state that it leads to. */
    record Transition(String action, LeaseWorld world) {}

    /**
     * The duration of the lease. With {@link #DRIFT} a lease on the slowest clock lasts as long as a promise on the
     * fastest one.
     */
    private static final double DURATION_SECONDS = 2;

    static final double DRIFT = 0.5;
    private static final double ROUND_TIMEOUT_SECONDS = 0.9;
    private static final double BACKOFF_SECONDS = 1e-9;
    /** So large that ballot numbers of contenders that outbid each other stay below those of the next time step. */
    private static final long WALL_CLOCK_MS_PER_STEP = 1000;

    private static final double LONG_AGO = -100;

    static LeaseTerms terms(Defect defect) {
        boolean ignoresDrift = defect == Defect.DRIFT_LEFT_OUT;
        return new LeaseTerms(DURATION_SECONDS, ignoresDrift ? 0 : DRIFT, ROUND_TIMEOUT_SECONDS, BACKOFF_SECONDS);
    }

    /**
     * Returns the initial state. All processes have run for long, so none is silent; node i's clock has the i-th rate.
     */
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

    /** Returns all possible transitions from this state. */
    List<Transition> transitions() {
        List<Transition> all = new ArrayList<>();
        if (time < rules.lastTime) {
            LeaseWorld later =
                    new LeaseWorld(rules, time + 1, nodes, sent, restartsLeft, roundsLeft, highestToken, violation);
            all.add(new Transition("time " + (time + 1), later.checked()));
        }
        for (int i = 0; i < nodes.size(); i++) {
            addTimerTransition(all, i);
            if (restartsLeft > 0) {
                all.add(new Transition("restart " + i, restarted(i)));
            }
            if (rules.reloadedVoters != null
                    && !rules.reloadedVoters.equals(replica(i).voters())) {
                all.add(new Transition("reload " + i, reloaded(i)));
            }
        }
        for (Envelope envelope : sent) {
            LeaseWorld delivered = delivered(envelope);
            if (!delivered.equals(this)) {
                all.add(new Transition(
                        "to " + envelope.to + " from " + envelope.from + " " + envelope.message, delivered));
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

    private void addTimerTransition(List<Transition> all, int node) {
        double due = replica(node).nextTimerAt();
        boolean startsRound = replica(node).proposer().phase() == Proposer.Phase.IDLE;
        boolean mustWait = rules.sequentialStart && node != Collections.min(rules.candidates) && highestToken == 0;
        if (mustWait
                || !rules.candidates.contains(node)
                || due > now(node) + 2 * BACKOFF_SECONDS
                || startsRound && roundsLeft == 0) {
            return;
        }
        double firedAt = Math.max(now(node), due);
        Replica.Step step = replica(node).onTimer(firedAt, time * WALL_CLOCK_MS_PER_STEP, 0);
        LeaseWorld after = stepped(node, step);
        int rounds = roundsLeft - (startsRound ? 1 : 0);
        all.add(new Transition(
                "timer of " + node,
                new LeaseWorld(
                        rules,
                        time,
                        after.nodes,
                        after.sent,
                        restartsLeft,
                        rounds,
                        after.highestToken,
                        after.violation)));
    }

    private LeaseWorld restarted(int node) {
        Replica old = replica(node);
        Holder self = new Holder(node, old.self().incarnation() + 1);
        boolean isSilent = rules.defect != Defect.NO_SILENCE_AFTER_RESTART;
        Replica fresh = Replica.started(self, old.voters(), old.terms(), isSilent ? now(node) : LONG_AGO, 0);
        Replica ready = new Replica(self, fresh.voters(), fresh.terms(), fresh.acceptor(), Proposer.started(now(node)));
        LeaseWorld after = with(node, ready, sent);
        return new LeaseWorld(
                rules, time, after.nodes, after.sent, restartsLeft - 1, roundsLeft, highestToken, violation);
    }

    private LeaseWorld reloaded(int node) {
        Replica old = replica(node);
        Replica next = rules.defect == Defect.TWO_VOTERS_CHANGED_AT_ONCE
                ? new Replica(old.self(), rules.reloadedVoters, old.terms(), old.acceptor(), old.proposer())
                : old.withVoters(rules.reloadedVoters, now(node), 0);
        return with(node, next, sent);
    }

    private LeaseWorld delivered(Envelope envelope) {
        Replica to = replica(envelope.to);
        if (envelope.voters != to.voters().fingerprint()) {
            return this;
        }
        Replica.Step step = to.onMessage(envelope.from, envelope.message, now(envelope.to), 0);
        return stepped(envelope.to, withDefect(envelope, to, step));
    }

    /**
     * Applies the defects of the state machines. The others are planted in the terms, at a restart or reload, and where
     * votes are counted.
     */
    private Replica.Step withDefect(Envelope envelope, Replica before, Replica.Step step) {
        Replica next = step.next();
        Proposer proposer = next.proposer();
        Acceptor acceptor = next.acceptor();
        if (rules.defect == Defect.LEASE_COUNTED_FROM_THE_REPLY && won(before, next, envelope.to)) {
            double until = now(envelope.to) + next.terms().holderTerm();
            proposer = new Proposer(
                    proposer.phase(),
                    proposer.ballot(),
                    proposer.votes(),
                    proposer.startedAt(),
                    until,
                    proposer.token(),
                    proposer.nextTimerAt(),
                    proposer.highestNumber(),
                    proposer.failures());
        }
        if (rules.defect == Defect.PROMISE_FORGOTTEN_AT_RENEWAL && envelope.message instanceof LeaseMessage.Propose) {
            acceptor = new Acceptor(
                    null, acceptor.accepted(), acceptor.holder(), acceptor.acceptedUntil(), acceptor.silentUntil());
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

    /** Adds a vote that no voter cast, so that one vote counts as a majority of three. */
    private Replica withOneVoteLess(Replica replica, int node, Set<Envelope> all) {
        Replica next = replica;
        int absentVoter = nodes.size() - 1;
        for (Proposer.Phase phase : List.of(Proposer.Phase.PREPARING, Proposer.Phase.PROPOSING)) {
            Proposer proposer = next.proposer();
            if (proposer.phase() == phase && proposer.votes().size() == 1) {
                LeaseMessage vote = phase == Proposer.Phase.PREPARING
                        ? new LeaseMessage.Promise(proposer.ballot(), null)
                        : new LeaseMessage.Accept(proposer.ballot());
                Replica.Step step = next.onMessage(node == absentVoter ? 0 : absentVoter, vote, now(node), 0);
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
                rules, time, List.copyOf(changed), envelopes, restartsLeft, roundsLeft, highestToken, violation);
        return next.pruned();
    }

    /**
     * Returns this state without parts that have no effect, which keeps the state space small: replies to past rounds,
     * ballot numbers seen by a node that is not a candidate, and rejections, each of which is equivalent to a lost
     * message and a timeout of the round.
     */
    private LeaseWorld pruned() {
        Set<Envelope> kept = new HashSet<>();
        for (Envelope envelope : sent) {
            boolean isReply =
                    envelope.message instanceof LeaseMessage.Promise || envelope.message instanceof LeaseMessage.Accept;
            boolean isPast = !envelope.message
                    .ballot()
                    .equals(replica(envelope.to).proposer().ballot());
            if (!(envelope.message instanceof LeaseMessage.Reject) && !(isReply && isPast)) {
                kept.add(envelope);
            }
        }
        List<Node> reduced = new ArrayList<>(nodes);
        for (int i = 0; i < reduced.size(); i++) {
            if (!rules.candidates.contains(i)) {
                Replica old = replica(i);
                reduced.set(
                        i,
                        new Node(
                                new Replica(old.self(), old.voters(), old.terms(), old.acceptor(), Proposer.started(0)),
                                nodes.get(i).rate));
            }
        }
        return new LeaseWorld(
                rules, time, List.copyOf(reduced), Set.copyOf(kept), restartsLeft, roundsLeft, highestToken, violation);
    }

    /**
     * Returns this state with a violation if there are two holders now, or one whose token is below an earlier token.
     */
    private LeaseWorld checked() {
        List<Integer> holders = new ArrayList<>();
        long highest = highestToken;
        String found = violation;
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
