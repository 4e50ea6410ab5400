package portrelay.lease;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** The peers whose majority grants leases, in ascending order: the same for everyone, from the configuration alone. */
public record VoterSet(List<Integer> voters) {

    private static final int LEAST = 3;
    private static final int MOST = 7;

    public VoterSet {
        voters = voters.stream().sorted().distinct().toList();
        if (voters.size() < LEAST || voters.size() > MOST) {
            throw new IllegalArgumentException(voters.size() + " voters, not " + LEAST + " to " + MOST);
        }
        if (voters.get(0) < 0 || voters.get(voters.size() - 1) > Ballot.MOST_PEER) {
            throw new IllegalArgumentException("voters " + voters);
        }
    }

    /** So many votes are more than half. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    public boolean contains(int peer) {
        return voters.contains(peer);
    }

    /** Tells sets apart in messages: a vote under another set counts for nothing. */
    public int fingerprint() {
        return voters.hashCode();
    }

    /**
     * Why this set must not be replaced by that one while processes run; empty where it may. One voter may come or go
     * at a time: then any two majorities, one of each set, share a voter. A voter put in the place of another changes
     * two: {1, 2} of {0, 1, 2} and {0, 3} of {0, 1, 3} share none.
     */
    public Optional<String> refusesChangeTo(VoterSet other) {
        Set<Integer> changed = new HashSet<>(voters);
        changed.addAll(other.voters);
        changed.removeIf(each -> contains(each) && other.contains(each));
        if (changed.size() <= 1) {
            return Optional.empty();
        }
        return Optional.of("voters " + voters + " to " + other.voters + " changes " + changed.size()
                + " voters at once, and majorities of the two need not meet; add or remove one at a time");
    }
}
