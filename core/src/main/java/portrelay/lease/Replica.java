package portrelay.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * One process's part in one lease: its vote, and its own attempts to hold the lease where it is a candidate. Immutable;
 * each event returns what it becomes and what is to be sent. Promises, together with the other replicas, that no two
 * processes hold the lease at one moment of true time, as long as no clock drifts by more than the terms say.
 *
 * <p>{@code now} is a clock that never goes back, in seconds; a process that was stopped must read it anew before each
 * act, and what an act changes has to check the token too: a process may be stopped between the two.
 */
public record Replica(Holder self, VoterSet voters, LeaseTerms terms, Acceptor acceptor, Proposer proposer) {

    /** A message to one other peer. */
    public record Outgoing(int to, LeaseMessage message) {}

    /** What an event comes to. */
    public record Step(Replica next, List<Outgoing> out) {}

    /** Of a process that has just started and knows of nothing that it answered before. */
    public static Replica started(Holder self, VoterSet voters, LeaseTerms terms, double now, double lot) {
        double firstRound = now + terms.acceptorTerm() + terms.backOff() * lot;
        return new Replica(self, voters, terms, Acceptor.started(now, terms), Proposer.started(firstRound));
    }

    /** Whether this process may act for the lease. */
    public boolean holds(double now) {
        return proposer.holds(now);
    }

    /** Seconds for which it may still act; 0 where it may not. */
    public double left(double now) {
        return Math.max(0, proposer.heldUntil() - now);
    }

    /** The fencing token; it means something only while the lease is held. */
    public long token() {
        return proposer.token();
    }

    /** When {@link #onTimer} is to be called at the latest; infinite for who is no candidate. */
    public double nextAt() {
        return voters.contains(self.peer()) ? proposer.nextAt() : Double.POSITIVE_INFINITY;
    }

    /** The time of {@link #nextAt} has come, or passed. Lot is drawn from 0 to 1. */
    public Step onTimer(double now, long wallClockMs, double lot) {
        if (now < nextAt()) {
            return new Step(this, List.of());
        }
        if (proposer.phase() != Proposer.Phase.RESTING) {
            return new Step(with(proposer.giveUp(now, lot, terms)), List.of());
        }
        Proposer preparing = proposer.prepare(self, now, wallClockMs, terms);
        return with(preparing).toAll(new LeaseMessage.Prepare(preparing.ballot()), now, lot);
    }

    /** A message of that peer has come, whose voter set is ours. Lot is drawn from 0 to 1. */
    public Step onMessage(int from, LeaseMessage message, double now, double lot) {
        if (!voters.contains(self.peer()) || !voters.contains(from)) {
            return new Step(this, List.of());
        }
        if (message instanceof LeaseMessage.Promise promise) {
            return onPromise(from, promise, now, lot);
        }
        if (message instanceof LeaseMessage.Accept accept) {
            return onAccept(from, accept, now);
        }
        if (message instanceof LeaseMessage.Reject reject) {
            return onReject(reject, now, lot);
        }
        Acceptor.Answer answer = acceptor.on(message, now, terms);
        Replica next = new Replica(self, voters, terms, answer.next(), proposer.saw(message.ballot()));
        List<Outgoing> out = answer.reply() == null ? List.of() : List.of(new Outgoing(from, answer.reply()));
        return new Step(next, out);
    }

    /** Gives the lease back, as before the process ends; who holds none gives up its round. */
    public Step release(double now, double lot) {
        boolean held = holds(now);
        Replica next = with(proposer.released(now, lot, terms));
        return held ? next.toAll(new LeaseMessage.Release(proposer.ballot()), now, lot) : new Step(next, List.of());
    }

    /**
     * With other voters, as after a reload. Memory and a lease that is held stay; a round under way is given up, as its
     * votes were for another majority.
     *
     * @throws IllegalArgumentException where the two sets differ by more than one voter
     */
    public Replica withVoters(VoterSet other, double now, double lot) {
        voters.refusesChangeTo(other).ifPresent(reason -> {
            throw new IllegalArgumentException(reason);
        });
        boolean resting = proposer.phase() == Proposer.Phase.RESTING;
        Proposer next = resting ? proposer : proposer.giveUp(now, lot, terms);
        return new Replica(self, other, terms, acceptor, next);
    }

    private Step onPromise(int from, LeaseMessage.Promise promise, double now, double lot) {
        boolean free = promise.accepted() == null || promise.accepted().equals(self);
        if (!free || !proposer.waitsFor(Proposer.Phase.PREPARING, promise.ballot())) {
            return new Step(this, List.of());
        }
        Proposer voted = proposer.vote(from);
        if (voted.votes().size() < voters.quorum()) {
            return new Step(with(voted), List.of());
        }
        Proposer proposing = voted.propose(now, terms);
        return with(proposing).toAll(new LeaseMessage.Propose(proposing.ballot(), self), now, lot);
    }

    private Step onAccept(int from, LeaseMessage.Accept accept, double now) {
        if (!proposer.waitsFor(Proposer.Phase.PROPOSING, accept.ballot())) {
            return new Step(this, List.of());
        }
        Proposer voted = proposer.vote(from);
        boolean inTime = now < proposer.startedAt() + terms.holderTerm();
        boolean won = inTime && voted.votes().size() >= voters.quorum();
        return new Step(with(won ? voted.won(now, terms) : voted), List.of());
    }

    private Step onReject(LeaseMessage.Reject reject, double now, double lot) {
        Proposer wiser = proposer.saw(reject.promised());
        boolean ours =
                proposer.phase() != Proposer.Phase.RESTING && reject.ballot().equals(proposer.ballot());
        return new Step(with(ours ? wiser.giveUp(now, lot, terms) : wiser), List.of());
    }

    /** To every voter; our own vote is asked for, and counted, at once. */
    private Step toAll(LeaseMessage message, double now, double lot) {
        List<Outgoing> out = new ArrayList<>();
        for (int voter : voters.voters()) {
            if (voter != self.peer()) {
                out.add(new Outgoing(voter, message));
            }
        }
        Acceptor.Answer own = acceptor.on(message, now, terms);
        Replica next = new Replica(self, voters, terms, own.next(), proposer);
        if (own.reply() != null) {
            Step step = next.onMessage(self.peer(), own.reply(), now, lot);
            out.addAll(step.out());
            next = step.next();
        }
        return new Step(next, List.copyOf(out));
    }

    private Replica with(Proposer next) {
        return new Replica(self, voters, terms, acceptor, next);
    }
}
