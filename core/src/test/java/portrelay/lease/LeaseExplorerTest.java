package portrelay.lease;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import portrelay.lease.LeaseWorld.Defect;
import portrelay.lease.LeaseWorld.Rules;
import portrelay.lease.LeaseWorld.Transition;

/**
 * Explores all behaviours of the real state machines, breadth first up to a depth, and checks that there are never two
 * holders at the same time and that tokens never decrease. Each planted defect has to be found.
 */
class LeaseExplorerTest {

    private static final VoterSet THREE = new VoterSet(List.of(0, 1, 2));
    private static final double SLOW = 1 - LeaseWorld.DRIFT;
    private static final double FAST = 1 + LeaseWorld.DRIFT;

    /** A state that was reached, and the steps to it as a linked list. */
    private record Reached(LeaseWorld world, int depth, String action, Reached previous) {

        List<String> trace() {
            List<String> steps = new ArrayList<>();
            for (Reached reached = this; reached.previous != null; reached = reached.previous) {
                steps.add(0, reached.action);
            }
            return steps;
        }
    }

    private record Result(Reached violating, int states, int depth) {}

    private static Result explore(LeaseWorld start, int maxDepth) {
        Set<LeaseWorld> seen = new HashSet<>();
        Deque<Reached> frontier = new ArrayDeque<>();
        frontier.add(new Reached(start, 0, "", null));
        seen.add(start);
        int depth = 0;
        while (!frontier.isEmpty()) {
            Reached current = frontier.poll();
            depth = current.depth;
            if (current.world.violation() != null) {
                return new Result(current, seen.size(), depth);
            }
            if (current.depth == maxDepth) {
                continue;
            }
            for (Transition transition : current.world.transitions()) {
                if (seen.add(transition.world())) {
                    frontier.add(new Reached(transition.world(), current.depth + 1, transition.action(), current));
                }
            }
        }
        return new Result(null, seen.size(), depth);
    }

    private static void assertSafe(String name, Result result) {
        System.out.println("lease, " + name + ": " + result.states + " states to depth " + result.depth);
        assertNull(result.violating, () -> result.violating.world.violation() + " by " + result.violating.trace());
    }

    @Test
    void twoContendersNeverHoldTheLeaseAtTheSameTime() {
        Rules rules = new Rules(Defect.NONE, Set.of(0, 2), false, null, 3);
        assertSafe("two contenders", explore(LeaseWorld.start(rules, THREE, 0, 2, SLOW, FAST, FAST), 10));
    }

    @Test
    void aRestartNeverLeadsToTwoHolders() {
        Rules rules = new Rules(Defect.NONE, Set.of(0, 2), true, null, 3);
        assertSafe("a restart", explore(LeaseWorld.start(rules, THREE, 1, 2, SLOW, FAST, FAST), 13));
    }

    @Test
    void oneVoterMayBeAddedWhileProcessesRun() {
        VoterSet four = new VoterSet(List.of(0, 1, 2, 3));
        Rules rules = new Rules(Defect.NONE, Set.of(0, 3), false, four, 1);
        assertSafe("a voter added", explore(LeaseWorld.start(rules, THREE, 0, 2, SLOW, FAST, FAST, FAST), 10));
    }

    /** Tests the explorer itself: the search that finds each planted defect finds no violation in the real code. */
    @ParameterizedTest
    @EnumSource(
            value = Defect.class,
            names = {"TWO_VOTERS_CHANGED_AT_ONCE"},
            mode = EnumSource.Mode.EXCLUDE)
    void eachPlantedDefectIsFoundAndTheRealCodeHasNone(Defect defect) {
        int restarts = defect == Defect.NONE || defect == Defect.NO_SILENCE_AFTER_RESTART ? 1 : 0;
        Rules rules = new Rules(defect, Set.of(0, 2), !defect.needsContention(), null, 2);
        Result result = explore(LeaseWorld.start(rules, THREE, restarts, 2, SLOW, FAST, FAST), 13);
        if (defect == Defect.NONE) {
            assertSafe("the search for defects", result);
            return;
        }
        assertNotNull(result.violating, defect + ": no violation found in " + result.states + " states");
        System.out.println("lease, " + defect + " after " + result.states + " states: "
                + result.violating.world.violation() + " by " + result.violating.trace());
    }

    /** Replacing a voter changes two voters at once, so that majorities of the two sets need not share a voter. */
    @Test
    void changingTwoVotersAtOnceLeadsToTwoHolders() {
        VoterSet old = new VoterSet(List.of(0, 1, 2));
        VoterSet replaced = new VoterSet(List.of(0, 2, 3));
        assertTrue(old.reasonAgainstChangeTo(replaced).isPresent());
        Rules rules = new Rules(Defect.TWO_VOTERS_CHANGED_AT_ONCE, Set.of(1, 3), true, replaced, 0);
        LeaseWorld start = LeaseWorld.start(rules, old, 0, 2, 1, 1, 1, 1);
        Result result = explore(start, 12);
        assertNotNull(
                result.violating, "two voters changed at once: no violation found in " + result.states + " states");
    }
}
