package portrelay.lease;

import java.util.Set;
import java.util.TreeSet;

/**
 * One candidate's part in one lease. Times are seconds of its own clock.
 *
 * @param phase of the round that is under way
 * @param ballot of the latest round; null before the first
 * @param votes of that round, in its phase
 * @param startedAt when that phase began: a lease counts from before it is proposed
 * @param heldUntil when the lease ends that it holds; in the past where it holds none
 * @param token of the lease that it holds or held last
 * @param nextAt when the next round is to begin, or the one under way is given up
 * @param highestSeen the highest ballot number that anybody named
 * @param failures rounds in a row that came to nothing
 */
public record Proposer(
        Phase phase,
        Ballot ballot,
        Set<Integer> votes,
        double startedAt,
        double heldUntil,
        long token,
        double nextAt,
        long highestSeen,
        int failures) {

    /** What it waits for: its time, promises or acceptances. */
    public enum Phase {
        RESTING,
        PREPARING,
        PROPOSING
    }

    private static final int MOST_DOUBLINGS = 3;

    /** Of a process that has just started; its first round begins at that time. */
    public static Proposer started(double firstRoundAt) {
        return new Proposer(
                Phase.RESTING, null, Set.of(), firstRoundAt, Double.NEGATIVE_INFINITY, 0, firstRoundAt, 0, 0);
    }

    boolean holds(double now) {
        return now < heldUntil;
    }

    /**
     * A new round begins. Its number is the wall clock's, in milliseconds, or above all numbers seen: so tokens grow
     * even where every voter has lost its memory, as long as wall clocks are not set back by a lease's length.
     */
    Proposer prepare(Holder self, double now, long wallClockMs, LeaseTerms terms) {
        long number = Math.max(wallClockMs, highestSeen + 1);
        Ballot next = new Ballot(number, self.peer(), self.incarnation());
        return new Proposer(
                Phase.PREPARING, next, Set.of(), now, heldUntil, token, now + terms.roundTimeout(), number, failures);
    }

    /** A majority has promised and stands by nobody else: the lease's time begins to run. */
    Proposer propose(double now, LeaseTerms terms) {
        return new Proposer(
                Phase.PROPOSING,
                ballot,
                Set.of(),
                now,
                heldUntil,
                token,
                now + terms.roundTimeout(),
                highestSeen,
                failures);
    }

    /** A majority has accepted. A lease that is renewed keeps its token. */
    Proposer won(double now, LeaseTerms terms) {
        return new Proposer(
                Phase.RESTING,
                ballot,
                Set.of(),
                startedAt,
                startedAt + terms.holderTerm(),
                holds(now) ? token : ballot.token(),
                startedAt + terms.renewAfter(),
                highestSeen,
                0);
    }

    /** The round comes to nothing; lot is drawn from 0 to 1, so that contenders do not meet again and again. */
    Proposer giveUp(double now, double lot, LeaseTerms terms) {
        double wait = terms.backOff() * (1 << Math.min(failures, MOST_DOUBLINGS)) * (0.5 + lot);
        return new Proposer(
                Phase.RESTING, ballot, Set.of(), startedAt, heldUntil, token, now + wait, highestSeen, failures + 1);
    }

    Proposer released(double now, double lot, LeaseTerms terms) {
        Proposer resting = giveUp(now, lot, terms);
        return new Proposer(
                Phase.RESTING,
                ballot,
                Set.of(),
                startedAt,
                Double.NEGATIVE_INFINITY,
                token,
                now + terms.duration() + resting.nextAt - now,
                highestSeen,
                0);
    }

    Proposer vote(int from) {
        Set<Integer> more = new TreeSet<>(votes);
        more.add(from);
        return new Proposer(phase, ballot, more, startedAt, heldUntil, token, nextAt, highestSeen, failures);
    }

    Proposer saw(Ballot other) {
        long highest = Math.max(highestSeen, other.number());
        return new Proposer(phase, ballot, votes, startedAt, heldUntil, token, nextAt, highest, failures);
    }

    boolean waitsFor(Phase wanted, Ballot of) {
        return phase == wanted && of.equals(ballot);
    }
}
