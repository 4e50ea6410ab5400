package portrelay.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The order of a shutdown's steps, late wake-ups, further signals, and all short orders of its events. */
class ShutdownTest {

    private static final double DEADLINE_SECONDS = 1;
    private static final double SIGNAL_AT = 10;
    private static final ShutdownBudget BUDGET = ShutdownBudget.of(SIGNAL_AT, SIGNAL_AT, DEADLINE_SECONDS);

    private static final class RecordingActions implements ShutdownActions {
        private final List<String> steps = new ArrayList<>();

        @Override
        public void drain() {
            steps.add("drain");
        }

        @Override
        public void stopListening() {
            steps.add("stop listening");
        }

        @Override
        public void handOver() {
            steps.add("hand over");
        }

        @Override
        public void refuseNew() {
            steps.add("refuse");
        }

        @Override
        public void answerOpen() {
            steps.add("answer");
        }

        @Override
        public void end() {
            steps.add("end");
        }

        @Override
        public void wakeUpAt(double time) {
            // Each test wakes it up itself.
        }
    }

    private final RecordingActions actions = new RecordingActions();
    private final Shutdown shutdown = new Shutdown(DEADLINE_SECONDS, actions);

    private void signalled() {
        shutdown.signalled(SIGNAL_AT, SIGNAL_AT, SIGNAL_AT);
    }

    @Test
    void forwardsThenRejectsThenAnswersThenEnds() {
        assertTrue(shutdown.mayForward(SIGNAL_AT));
        assertEquals(Double.POSITIVE_INFINITY, shutdown.answerDeadline());
        signalled();
        assertEquals(Shutdown.Phase.DRAINING, shutdown.phase());
        assertTrue(shutdown.mayForward(SIGNAL_AT));
        assertFalse(shutdown.closesConnections());
        shutdown.wakeUp(BUDGET.listenUntil());
        shutdown.wakeUp(BUDGET.forwardUntil());
        assertEquals(Shutdown.Phase.REFUSING, shutdown.phase());
        assertTrue(shutdown.closesConnections());
        shutdown.wakeUp(BUDGET.answerBy());
        assertEquals(Shutdown.Phase.CLOSING, shutdown.phase());
        shutdown.wakeUp(BUDGET.endBy());
        assertEquals(List.of("drain", "stop listening", "refuse", "answer", "end"), actions.steps);
    }

    @Test
    void forwardsNothingThatIsReadTooLateThoughTheWakeUpIsLate() {
        signalled();
        assertTrue(shutdown.mayForward(BUDGET.forwardUntil() - 0.001));
        assertFalse(shutdown.mayForward(BUDGET.forwardUntil()));
        assertEquals(Shutdown.Phase.DRAINING, shutdown.phase());
    }

    /** A process may be held for 0.15 s: that alone is no reason to reject. */
    @Test
    void forwardsNothingMoreOnceTheLoopIsLaterThanAHold() {
        shutdown.loopLagged(1);
        signalled();
        shutdown.loopLagged(0.15);
        assertTrue(shutdown.mayForward(SIGNAL_AT), "what was late before the signal, or held, still forwards");
        shutdown.loopLagged(0.25);
        shutdown.loopLagged(0);
        assertFalse(shutdown.mayForward(SIGNAL_AT));
        assertFalse(shutdown.closesConnections(), "open connections stay open");
        assertEquals(List.of("drain"), actions.steps);
    }

    @Test
    void oneLateWakeUpDoesAllThatIsDueInItsOrder() {
        signalled();
        shutdown.wakeUp(BUDGET.answerBy() + 0.01);
        assertEquals(List.of("drain", "stop listening", "refuse", "answer"), actions.steps);
    }

    /** The event loop comes to the signal after SIGKILL was due. */
    @Test
    void aSignalThatIsReceivedTooLateAnswersAllAndEndsAtOnce() {
        shutdown.signalled(BUDGET.killAt(), SIGNAL_AT, SIGNAL_AT);
        assertEquals(List.of("drain", "stop listening", "refuse", "answer", "end"), actions.steps);
    }

    @Test
    void onlyTheFirstSignalCounts() {
        signalled();
        shutdown.signalled(SIGNAL_AT + 0.5, SIGNAL_AT + 0.5, SIGNAL_AT + 0.5);
        assertEquals(BUDGET, shutdown.budget());
        assertEquals(List.of("drain"), actions.steps);
    }

    @Test
    void staysWithoutClientsWhileOneMayStillCome() {
        signalled();
        shutdown.noClients(SIGNAL_AT + 0.3);
        shutdown.wakeUp(BUDGET.listenUntil());
        shutdown.noClients(BUDGET.listenUntil());
        assertEquals(Shutdown.Phase.DRAINING, shutdown.phase());
        shutdown.noClients(BUDGET.stayUntil());
        assertEquals(Shutdown.Phase.ENDED, shutdown.phase());
    }

    @Test
    void endsAtOnceIfItHasNeverListened() {
        shutdown.neverListened();
        signalled();
        shutdown.noClients(SIGNAL_AT);
        assertEquals(List.of("drain", "end"), actions.steps);
    }

    @Test
    void aSuccessorTakesTheAddressAndOpenConnectionsAreServed() {
        signalled();
        shutdown.successorServes();
        shutdown.successorServes();
        assertTrue(shutdown.closesConnections());
        assertTrue(shutdown.mayForward(SIGNAL_AT + 0.1), "open connections are still served");
        shutdown.noClients(SIGNAL_AT + 0.1);
        assertEquals(List.of("drain", "stop listening", "hand over", "end"), actions.steps);
    }

    @Test
    void aSuccessorBeforeAnySignalChangesNothing() {
        shutdown.successorServes();
        shutdown.wakeUp(SIGNAL_AT);
        shutdown.noClients(SIGNAL_AT);
        assertEquals(List.of(), actions.steps);
        assertFalse(shutdown.hasBegun());
    }

    private static final int EVENT_KINDS = 8;
    private static final int HISTORY_LENGTH = 6;

    private static void event(Shutdown on, int kind) {
        switch (kind) {
            case 0 -> on.signalled(SIGNAL_AT, SIGNAL_AT, SIGNAL_AT);
            case 1 -> on.successorServes();
            case 2 -> on.noClients(BUDGET.stayUntil());
            case 3 -> on.wakeUp(SIGNAL_AT);
            case 4 -> on.wakeUp(BUDGET.listenUntil());
            case 5 -> on.wakeUp(BUDGET.forwardUntil());
            case 6 -> on.wakeUp(BUDGET.answerBy());
            default -> on.wakeUp(BUDGET.endBy());
        }
    }

    /** Every order of six events, each of which may come again: 262,144 histories. */
    @Test
    void inNoOrderOfEventsIsAnythingDoneTwiceOrAfterTheEnd() {
        int histories = (int) Math.pow(EVENT_KINDS, HISTORY_LENGTH);
        for (int history = 0; history < histories; history++) {
            RecordingActions recorded = new RecordingActions();
            Shutdown one = new Shutdown(DEADLINE_SECONDS, recorded);
            Shutdown.Phase before = Shutdown.Phase.SERVING;
            for (int i = 0, rest = history; i < HISTORY_LENGTH; i++, rest /= EVENT_KINDS) {
                event(one, rest % EVENT_KINDS);
                assertTrue(one.phase().compareTo(before) >= 0, "goes back");
                before = one.phase();
                assertEquals(before == Shutdown.Phase.SERVING, recorded.steps.isEmpty(), "acts before the signal");
            }
            assertEquals(
                    recorded.steps.size(), recorded.steps.stream().distinct().count(), "twice: " + recorded.steps);
            int refuse = recorded.steps.indexOf("refuse");
            int answer = recorded.steps.indexOf("answer");
            assertTrue(answer < 0 || refuse >= 0 && refuse < answer, "answers before it rejects: " + recorded.steps);
            boolean ended = before == Shutdown.Phase.ENDED;
            assertEquals(ended, recorded.steps.contains("end"));
        }
    }
}
