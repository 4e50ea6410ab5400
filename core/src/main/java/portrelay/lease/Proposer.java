package portrelay.lease;

import java.util.Set;
import java.util.TreeSet;

/**
 * The proposer of one lease: the state of one candidate.
 *
 * @param phase the phase of the current round
 * @param ballot the ballot of the latest round; null before the first
 * @param votes the peers that voted in the current phase of that round
 * @param startedAt when the latest phase began; the time of a lease runs from before it is proposed
 * @param heldUntil when the held lease expires; in the past if none is held
 * @param token the fencing token of the lease that is held or was held last
 * @param nextTimerAt when the next round begins, or the current one times out
 * @param highestNumber the highest ballot number in any message
 * @param failures the number of consecutive rounds that did not win the lease
 */
public record Proposer(
        Phase phase,
        Ballot ballot,
        Set<Integer> votes,
        double startedAt,
        double heldUntil,
        long token,
        double nextTimerAt,
        long highestNumber,
        int failures) {

    /** The phase of a round. */
    public enum Phase {
        /** No round is in progress; the proposer waits for its timer. */
        IDLE,
        /** The proposer waits for promises. */
        PREPARING,
        /** The proposer waits for acceptances. */
        PROPOSING
    }

    /** Bounds the mean wait to eight times the backoff. */
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    /** Returns the proposer of a process that has just started; its first round begins at the given time. */
    public static Proposer started(double firstRoundAt) {
        return new Proposer(Phase.IDLE, null, Set.of(), firstRoundAt, Double.NEGATIVE_INFINITY, 0, firstRoundAt, 0, 0);
    }

    /** Whether the lease is held. */
    boolean holds(double now) {
        return now < heldUntil;
    }

    /**
     * Begins a new round. Its ballot number is the wall clock's time or, if that is larger, one above all numbers seen.
     * So tokens increase even if all voters restart, as long as no wall clock is set back by a lease's duration.
     */
    Proposer prepare(Holder self, double now, long wallClockMs, LeaseTerms terms) {
        long number = Math.max(wallClockMs, highestNumber + 1);
        Ballot next = new Ballot(number, self.peer(), self.incarnation());
        return new Proposer(
                Phase.PREPARING, next, Set.of(), now, heldUntil, token, now + terms.roundTimeout(), number, failures);
    }

    /**
     * Begins the proposing phase, after a majority has promised and has accepted no other holder. The time of the lease
     * runs from now.
     */
    Proposer propose(double now, LeaseTerms terms) {
        return new Proposer(
                Phase.PROPOSING,
                ballot,
                Set.of(),
                now,
                heldUntil,
                token,
                now + terms.roundTimeout(),
                highestNumber,
                failures);
    }

    /** Ends a round that won the lease, after a majority has accepted. A renewed lease keeps its token. */
    Proposer won(double now, LeaseTerms terms) {
        return new Proposer(
                Phase.IDLE,
                ballot,
                Set.of(),
                startedAt,
                startedAt + terms.holderTerm(),
                holds(now) ? token : ballot.token(),
                startedAt + terms.renewAfter(),
                highestNumber,
                0);
    }

    /** Ends a failed round; jitter, a random number from 0 to 1, prevents contenders from colliding again. */
    Proposer giveUp(double now, double jitter, LeaseTerms terms) {
        double wait = terms.backoff() * (1 << Math.min(failures, MAX_BACKOFF_DOUBLINGS)) * (0.5 + jitter);
        return new Proposer(
                Phase.IDLE, ballot, Set.of(), startedAt, heldUntil, token, now + wait, highestNumber, failures + 1);
    }

    /**
     * Releases the lease or ends the round, and pauses for a lease's duration and a backoff, so that another candidate
     * may win.
     */
    Proposer released(double now, double jitter, LeaseTerms terms) {
        Proposer idle = giveUp(now, jitter, terms);
        return new Proposer(
                Phase.IDLE,
                ballot,
                Set.of(),
                startedAt,
                Double.NEGATIVE_INFINITY,
                token,
                now + terms.duration() + idle.nextTimerAt - now,
                highestNumber,
                0);
    }

    /** Adds the vote of a peer for the current round. */
    Proposer withVote(int voter) {
        Set<Integer> withVote = new TreeSet<>(votes);
        withVote.add(voter);
        return new Proposer(phase, ballot, withVote, startedAt, heldUntil, token, nextTimerAt, highestNumber, failures);
    }

    /** Records a ballot that a message named; later rounds get higher numbers. */
    Proposer observed(Ballot other) {
        long highest = Math.max(highestNumber, other.number());
        return new Proposer(phase, ballot, votes, startedAt, heldUntil, token, nextTimerAt, highest, failures);
    }

    /** Whether votes for this phase and ballot are awaited. */
    boolean awaitsVotes(Phase votePhase, Ballot voteBallot) {
        return phase == votePhase && voteBallot.equals(ballot);
    }
}
