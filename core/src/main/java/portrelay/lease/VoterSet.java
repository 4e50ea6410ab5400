package portrelay.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The 3 to 7 peers whose majority grants leases, in ascending order. All replicas have to be configured with the same
 * set.
 */
public record VoterSet(List<Integer> voters) {

    private static final int MIN_VOTERS = 3;
    private static final int MAX_VOTERS = 7;

    /**
     * Sorts the voters and removes duplicates.
     *
     * @throws IllegalArgumentException if there are too few or too many voters, or a peer is out of range
     */
    public VoterSet {
        voters = voters.stream().sorted().distinct().toList();
        if (voters.size() < MIN_VOTERS || voters.size() > MAX_VOTERS) {
            throw new IllegalArgumentException(
                    voters.size() + " voters instead of " + MIN_VOTERS + " to " + MAX_VOTERS);
        }
        if (voters.get(0) < 0 || voters.get(voters.size() - 1) > Ballot.MAX_PEER) {
            throw new IllegalArgumentException("voter out of range: voters " + voters);
        }
    }

    /** Returns the size of the smallest majority. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Whether the peer is a voter. */
    public boolean contains(int peer) {
        return voters.contains(peer);
    }

    /** Returns the hash that is sent with each message, as votes under another voter set don't count. */
    public int fingerprint() {
        return voters.hashCode();
    }

    /**
     * Returns the reason why this set must not be changed to the other one while processes run; empty if it may. If one
     * voter is added or removed, any majority of the old set and any majority of the new one share a voter. Replacing a
     * voter changes two: the majorities {1, 2} of {0, 1, 2} and {0, 3} of {0, 1, 3} share none.
     */
    public Optional<String> reasonAgainstChangeTo(VoterSet other) {
        Set<Integer> changed = new HashSet<>(voters);
        changed.addAll(other.voters);
        changed.removeIf(each -> contains(each) && other.contains(each));
        if (changed.size() <= 1) {
            return Optional.empty();
        }
        return Optional.of(
                "change of voters from " + voters + " to " + other.voters + " adds or removes " + changed.size()
                        + " voters at once, so that majorities of the two sets need not share a voter; "
                        + "add or remove one at a time");
    }
}
