package portrelay.lease;

import java.util.Comparator;

/**
 * Identifies one round of one proposer. Ballots are totally ordered. Two proposers, or two incarnations of one
 * proposer, never use the same ballot.
 *
 * @param number at least 0 and less than 2^47
 * @param peer the proposer's peer, from 0 to 65535
 * @param incarnation the incarnation of the peer's process
 */
public record Ballot(long number, int peer, long incarnation) implements Comparable<Ballot> {

    /** The exclusive upper bound of numbers; a number below it and the peer fit into a token of 63 bits. */
    private static final long NUMBER_LIMIT = 1L << 47;

    static final int MAX_PEER = 0xffff;
    private static final int PEER_BITS = 16;
    private static final Comparator<Ballot> ORDER = Comparator.comparingLong(Ballot::number)
            .thenComparingInt(Ballot::peer)
            .thenComparingLong(Ballot::incarnation);

    /**
     * Checks the number and the peer.
     *
     * @throws IllegalArgumentException if the number or the peer is out of range
     */
    public Ballot {
        if (number < 0 || number >= NUMBER_LIMIT) {
            throw new IllegalArgumentException("ballot number out of range: " + number);
        }
        if (peer < 0 || peer > MAX_PEER) {
            throw new IllegalArgumentException("ballot peer out of range: " + peer);
        }
    }

    @Override
    public int compareTo(Ballot other) {
        return ORDER.compare(this, other);
    }

    /** Returns the fencing token of a lease that is won with this ballot; it increases with number and peer. */
    long token() {
        return number << PEER_BITS | peer;
    }
}
