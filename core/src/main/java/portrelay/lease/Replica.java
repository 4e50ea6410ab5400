package portrelay.lease;

import java.util.ArrayList;
import java.util.List;

/**
 * The state of one process with respect to one lease: if the peer of the process is a voter, the process votes and
 * tries to hold the lease. Immutable; each event returns the next state and the messages to send. No two processes hold
 * the lease at the same time as long as no clock drifts by more than the terms allow.
 *
 * <p>Before each action that requires the lease the process has to read its clock anew and check {@link #holds}. As it
 * may be stopped between the check and the action, the resource that the action changes has to check the {@link #token}
 * as well.
 *
 * @param self this process
 * @param voters the voters whose majority grants the lease
 */
public record Replica(Holder self, VoterSet voters, LeaseTerms terms, Acceptor acceptor, Proposer proposer) {

    /** A message to one other peer. */
    public record Outgoing(int to, LeaseMessage message) {}

    /** The replica after an event, and the messages to send. */
    public record Step(Replica next, List<Outgoing> out) {}

    /** Returns the replica of a process that has just started; jitter is a random number from 0 to 1. */
    public static Replica started(Holder self, VoterSet voters, LeaseTerms terms, double now, double jitter) {
        double firstRound = now + terms.acceptorTerm() + terms.backoff() * jitter;
        return new Replica(self, voters, terms, Acceptor.started(now, terms), Proposer.started(firstRound));
    }

    /** Whether this process holds the lease. */
    public boolean holds(double now) {
        return proposer.holds(now);
    }

    /** Returns the seconds until the lease expires; 0 if it is not held. */
    public double remaining(double now) {
        return Math.max(0, proposer.heldUntil() - now);
    }

    /** Returns the fencing token; it is valid only while the lease is held. */
    public long token() {
        return proposer.token();
    }

    /** Returns when {@link #onTimer} is to be called; infinity for a process that is not a voter. */
    public double nextTimerAt() {
        return voters.contains(self.peer()) ? proposer.nextTimerAt() : Double.POSITIVE_INFINITY;
    }

    /**
     * Handles the timer: begins a round or abandons one that has timed out. Has no effect before {@link #nextTimerAt}.
     *
     * @param wallClockMs milliseconds since 1970
     * @param jitter a random number from 0 to 1
     */
    public Step onTimer(double now, long wallClockMs, double jitter) {
        if (now < nextTimerAt()) {
            return new Step(this, List.of());
        }
        if (proposer.phase() != Proposer.Phase.IDLE) {
            return new Step(with(proposer.giveUp(now, jitter, terms)), List.of());
        }
        Proposer preparing = proposer.prepare(self, now, wallClockMs, terms);
        return with(preparing).toAll(new LeaseMessage.Prepare(preparing.ballot()), now, jitter);
    }

    /**
     * Handles a message from a peer that has the same voter set.
     *
     * @param from the peer that sent the message; ignored if it is not a voter
     * @param jitter a random number from 0 to 1
     */
    public Step onMessage(int from, LeaseMessage message, double now, double jitter) {
        if (!voters.contains(self.peer()) || !voters.contains(from)) {
            return new Step(this, List.of());
        }
        if (message instanceof LeaseMessage.Promise promise) {
            return onPromise(from, promise, now, jitter);
        }
        if (message instanceof LeaseMessage.Accept accept) {
            return onAccept(from, accept, now);
        }
        if (message instanceof LeaseMessage.Reject reject) {
            return onReject(reject, now, jitter);
        }
        Acceptor.Answer answer = acceptor.receive(message, now, terms);
        Replica next = new Replica(self, voters, terms, answer.next(), proposer.observed(message.ballot()));
        List<Outgoing> out = answer.reply() == null ? List.of() : List.of(new Outgoing(from, answer.reply()));
        return new Step(next, out);
    }

    /** Releases the lease, for example before the process ends; if it is not held, abandons the current round. */
    public Step release(double now, double jitter) {
        boolean wasHeld = holds(now);
        Replica next = with(proposer.released(now, jitter, terms));
        return wasHeld
                ? next.toAll(new LeaseMessage.Release(proposer.ballot()), now, jitter)
                : new Step(next, List.of());
    }

    /**
     * Returns this replica with other voters, for example after a configuration reload. An accepted proposal and a held
     * lease are kept; a round in progress is abandoned, as its votes were for another majority.
     *
     * @throws IllegalArgumentException if the two sets differ by more than one voter
     */
    public Replica withVoters(VoterSet other, double now, double jitter) {
        voters.reasonAgainstChangeTo(other).ifPresent(reason -> {
            throw new IllegalArgumentException(reason);
        });
        boolean isIdle = proposer.phase() == Proposer.Phase.IDLE;
        Proposer next = isIdle ? proposer : proposer.giveUp(now, jitter, terms);
        return new Replica(self, other, terms, acceptor, next);
    }

    private Step onPromise(int from, LeaseMessage.Promise promise, double now, double jitter) {
        boolean isFree = promise.accepted() == null || promise.accepted().equals(self);
        if (!isFree || !proposer.awaitsVotes(Proposer.Phase.PREPARING, promise.ballot())) {
            return new Step(this, List.of());
        }
        Proposer voted = proposer.withVote(from);
        if (voted.votes().size() < voters.quorum()) {
            return new Step(with(voted), List.of());
        }
        Proposer proposing = voted.propose(now, terms);
        return with(proposing).toAll(new LeaseMessage.Propose(proposing.ballot(), self), now, jitter);
    }

    private Step onAccept(int from, LeaseMessage.Accept accept, double now) {
        if (!proposer.awaitsVotes(Proposer.Phase.PROPOSING, accept.ballot())) {
            return new Step(this, List.of());
        }
        Proposer voted = proposer.withVote(from);
        boolean isInTime = now < proposer.startedAt() + terms.holderTerm();
        boolean hasWon = isInTime && voted.votes().size() >= voters.quorum();
        return new Step(with(hasWon ? voted.won(now, terms) : voted), List.of());
    }

    private Step onReject(LeaseMessage.Reject reject, double now, double jitter) {
        Proposer observed = proposer.observed(reject.promised());
        boolean isOwnRound =
                proposer.phase() != Proposer.Phase.IDLE && reject.ballot().equals(proposer.ballot());
        return new Step(with(isOwnRound ? observed.giveUp(now, jitter, terms) : observed), List.of());
    }

    /**
     * Sends a message to every other voter; this process's own acceptor handles it at once, and its reply is applied.
     */
    private Step toAll(LeaseMessage message, double now, double jitter) {
        List<Outgoing> out = new ArrayList<>();
        for (int voter : voters.voters()) {
            if (voter != self.peer()) {
                out.add(new Outgoing(voter, message));
            }
        }
        Acceptor.Answer own = acceptor.receive(message, now, terms);
        Replica next = new Replica(self, voters, terms, own.next(), proposer);
        if (own.reply() != null) {
            Step step = next.onMessage(self.peer(), own.reply(), now, jitter);
            out.addAll(step.out());
            next = step.next();
        }
        return new Step(next, List.copyOf(out));
    }

    private Replica with(Proposer next) {
        return new Replica(self, voters, terms, acceptor, next);
    }
}
