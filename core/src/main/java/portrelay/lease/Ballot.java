package portrelay.lease;

import java.util.Comparator;

/** A round of one proposer. Ballots are totally ordered, and no two proposers, nor two lives of one, share one. */
public record Ballot(long number, int peer, long incarnation) implements Comparable<Ballot> {

    /** Numbers below this fit a token together with the peer. */
    static final long MOST_NUMBER = 1L << 47;

    static final int MOST_PEER = 0xffff;
    private static final int PEER_BITS = 16;
    private static final Comparator<Ballot> ORDER = Comparator.comparingLong(Ballot::number)
            .thenComparingInt(Ballot::peer)
            .thenComparingLong(Ballot::incarnation);

    public Ballot {
        if (number < 0 || number >= MOST_NUMBER) {
            throw new IllegalArgumentException("ballot number " + number);
        }
        if (peer < 0 || peer > MOST_PEER) {
            throw new IllegalArgumentException("ballot peer " + peer);
        }
    }

    @Override
    public int compareTo(Ballot other) {
        return ORDER.compare(this, other);
    }

    /** The fencing token of a lease that is won with this ballot; it grows with the ballot. */
    long token() {
        return number << PEER_BITS | peer;
    }
}
