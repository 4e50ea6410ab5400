package portrelay.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import portrelay.model.DiscoveryRules;

/**
 * Tests that an update is read within 6 s of discovery becoming reachable, whatever outage preceded: in virtual time,
 * with sidecars that call one discovery which serves calls in turn.
 */
class WatchCallsTest {

    private static final double READ_WITHIN_SECONDS = 6;
    private static final double REACHABLE_AT = 8;
    /** Has the largest maximum age in use; a backoff proportional to it would be 7.5 s. */
    private static final DiscoveryRules RULES = new DiscoveryRules(true, 30);

    /** What happens to a call while discovery is unreachable. */
    private enum Outage {
        REFUSED,
        CONNECT_TIMES_OUT,
        ACCEPTED_AND_SILENT,
        BREAKS_OFF_LATE,
        ANY_OF_THEM
    }

    /** What discovery does with more calls than it can answer once it is reachable. */
    private enum Overload {
        SERVES_ALL_IN_TURN,
        REFUSES_AT_ONCE,
        REFUSES_AFTER_A_WAIT
    }

    private record Event(double time, long order, Runnable action) {}

    private record QueuedCall(Sidecar sidecar, int call) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    private final Deque<QueuedCall> queue = new ArrayDeque<>();
    private final SplittableRandom random = new SplittableRandom(20261202);
    private long order;
    private double now;
    private double answersPerSecond = 20;
    private double freeAt;
    private int callsReceived;
    private Outage outage = Outage.REFUSED;
    private Overload overload = Overload.SERVES_ALL_IN_TURN;

    private void after(double seconds, Runnable action) {
        events.add(new Event(now + seconds, order++, action));
    }

    private void run(double until) {
        while (!events.isEmpty() && events.peek().time <= until) {
            Event event = events.poll();
            now = Math.max(now, event.time);
            event.action.run();
        }
        now = until;
    }

    /** A sidecar's calls and its backoff after a failure. */
    private final class Sidecar implements WatchCalls.Actions {
        final WatchCalls calls = new WatchCalls(this);
        final Set<Integer> outstanding = new HashSet<>();
        int failures;
        double updateReadAt = Double.POSITIVE_INFINITY;

        void watch() {
            calls.begin(false);
        }

        @Override
        public void beginCall(int call, double wait, double timeout) {
            outstanding.add(call);
            assertTrue(outstanding.size() <= 2, "more than two calls outstanding at the same time");
            after(timeout, () -> {
                if (outstanding.contains(call)) {
                    calls.timedOut(call);
                }
            });
            receiveCall(this, call);
        }

        @Override
        public void endCall(int call, WatchCalls.EndReason reason) {
            outstanding.remove(call);
        }

        void answered(int call) {
            if (outstanding.remove(call)) {
                calls.answered(call);
                updateReadAt = Math.min(updateReadAt, now);
                failures = 0;
                calls.begin(false);
            }
        }

        void failed(int call) {
            if (outstanding.remove(call)) {
                calls.failed(call);
                after(RULES.backoff(failures++, random.nextDouble()), this::watch);
            }
        }
    }

    private void receiveCall(Sidecar sidecar, int call) {
        if (now >= REACHABLE_AT) {
            callsReceived++;
            if (sidecar.updateReadAt < Double.POSITIVE_INFINITY) {
                // No further update: the watch outlasts the test.
                return;
            }
            if (overload == Overload.REFUSES_AT_ONCE) {
                if (now >= freeAt) {
                    freeAt = Math.max(now - 1 / answersPerSecond, freeAt) + 1 / answersPerSecond;
                    after(0.001, () -> sidecar.answered(call));
                } else {
                    after(0.001, () -> sidecar.failed(call));
                }
                return;
            }
            queue.add(new QueuedCall(sidecar, call));
            if (queue.size() == 1) {
                after(Math.max(0, freeAt - now) + 1 / answersPerSecond, this::serveNext);
            }
            if (overload == Overload.REFUSES_AFTER_A_WAIT) {
                after(2, () -> {
                    if (queue.removeIf(each -> each.sidecar == sidecar && each.call == call)) {
                        sidecar.failed(call);
                    }
                });
            }
            return;
        }
        Outage effectiveOutage = outage == Outage.ANY_OF_THEM ? Outage.values()[random.nextInt(4)] : outage;
        switch (effectiveOutage) {
            case REFUSED -> after(0.001, () -> sidecar.failed(call));
            case CONNECT_TIMES_OUT -> after(1, () -> sidecar.failed(call));
            case BREAKS_OFF_LATE -> after(random.nextDouble() * 2, () -> sidecar.failed(call));
            default -> {}
        }
    }

    /**
     * Answers the first queued call, and schedules the next answer. Abandoned calls are answered too: discovery can't
     * tell.
     */
    private void serveNext() {
        QueuedCall first = queue.poll();
        if (first != null) {
            freeAt = now;
            first.sidecar.answered(first.call);
        }
        if (!queue.isEmpty()) {
            after(1 / answersPerSecond, this::serveNext);
        }
    }

    /**
     * Starts sidecars at random times while discovery is unreachable. Returns the seconds from when it is reachable
     * until the last sidecar has the update.
     */
    private double secondsUntilAllRead(int sidecars) {
        List<Sidecar> all = new ArrayList<>();
        for (int i = 0; i < sidecars; i++) {
            Sidecar sidecar = new Sidecar();
            all.add(sidecar);
            after(random.nextDouble() * REACHABLE_AT, () -> {
                sidecar.calls.failed(0);
                sidecar.watch();
            });
        }
        run(REACHABLE_AT + 20);
        return all.stream().mapToDouble(each -> each.updateReadAt).max().orElseThrow() - REACHABLE_AT;
    }

    /** Guards against a backoff proportional to the list's maximum age, which had no bound below 6 s. */
    @Test
    void theBackoffIsBoundedWhateverTheSettings() {
        for (double maxAge : new double[] {0, 2, 30, 1e6}) {
            DiscoveryRules rules = new DiscoveryRules(true, maxAge);
            for (int failures = 0; failures < 100; failures++) {
                assertTrue(rules.backoff(failures, 1) <= 0.75, maxAge + " s, " + failures + " failures");
                assertTrue(
                        rules.backoff(failures, 0) >= 0.25, "backoff too short: sidecars would retry at the same time");
            }
        }
    }

    /** A single sidecar, whatever happened to its last call before discovery was reachable. */
    @Test
    void oneSidecarReadsTheUpdateInTimeAfterAnyOutage() {
        for (Outage outage : Outage.values()) {
            for (int i = 0; i < 200; i++) {
                WatchCallsTest one = new WatchCallsTest();
                for (int skipped = 0; skipped < i; skipped++) {
                    one.random.nextDouble();
                }
                one.outage = outage;
                double latest = one.secondsUntilAllRead(1);
                assertTrue(latest < READ_WITHIN_SECONDS, outage + ", " + i + ": read after " + latest);
            }
        }
    }

    /** At 20 answers per second, 100 sidecars whose calls all failed can be answered within the 6 s. */
    @Test
    void aHundredSidecarsReadTheUpdateInTimeFromABusyDiscovery() {
        for (Outage outage : Outage.values()) {
            for (Overload overload : Overload.values()) {
                WatchCallsTest fleet = new WatchCallsTest();
                fleet.outage = outage;
                fleet.overload = overload;
                double latest = fleet.secondsUntilAllRead(100);
                String failure =
                        outage + ", " + overload + ": read after " + latest + ", " + fleet.callsReceived + " calls";
                assertTrue(latest < READ_WITHIN_SECONDS, failure);
            }
        }
    }

    /** Without failures discovery may hold each watch for 20 s, and no further call begins beside it. */
    @Test
    void withoutFailuresOneWatchIsOutstandingAtATime() {
        List<String> log = new ArrayList<>();
        WatchCalls calls = new WatchCalls(recordingActions(log));
        calls.begin(false);
        calls.answered(1);
        calls.begin(false);
        calls.answered(2);
        calls.begin(true);
        assertEquals(List.of("1 waits 20.0 for 20.5", "2 waits 20.0 for 20.5", "3 waits 0.0 for 2.5"), log);
    }

    /** A late call keeps its place in discovery's queue; its answer is used and ends the other call. */
    @Test
    void answerOfALateCallIsUsedAndTimeoutsOfEndedCallsAreIgnored() {
        List<String> log = new ArrayList<>();
        WatchCalls calls = new WatchCalls(recordingActions(log));
        calls.failed(0);
        calls.begin(false);
        calls.timedOut(1);
        assertEquals(List.of("1 waits 3.0 for 3.5", "2 waits 3.0 for 3.5"), log);
        assertTrue(calls.isOutstanding(1));
        calls.timedOut(1);
        assertEquals(2, log.size(), "the timeout of the older call begins no other call");
        calls.answered(1);
        assertEquals("ends 2", log.get(2));
        assertFalse(calls.isOutstanding());
        calls.timedOut(2);
        assertEquals(3, log.size());
        calls.begin(false);
        assertEquals("3 waits 20.0 for 20.5", log.get(3));
        calls.timedOut(3);
        assertEquals(List.of("ends 3", "4 waits 3.0 for 3.5"), log.subList(4, 6));
        calls.timedOut(4);
        calls.timedOut(5);
        assertEquals(List.of("5 waits 3.0 for 3.5", "ends 4", "6 waits 3.0 for 3.5"), log.subList(6, 9));
        calls.failed(6);
        assertEquals("ends 5", log.get(9));
    }

    private static WatchCalls.Actions recordingActions(List<String> log) {
        return new WatchCalls.Actions() {
            @Override
            public void beginCall(int call, double wait, double timeout) {
                log.add(call + " waits " + wait + " for " + timeout);
            }

            @Override
            public void endCall(int call, WatchCalls.EndReason reason) {
                log.add("ends " + call);
            }
        };
    }
}
