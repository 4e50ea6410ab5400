package portrelay.shutdown;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the order of a shutdown's steps, late wake-ups, repeated signals, and all short sequences of events. */
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
        public void rejectNewRequests() {
            steps.add("refuse");
        }

        @Override
        public void answerOpenRequests() {
            steps.add("answer");
        }

        @Override
        public void end() {
            steps.add("end");
        }

        @Override
        public void wakeUpAt(double time) {
            // The tests call wakeUp themselves.
        }
    }

    private final RecordingActions actions = new RecordingActions();
    private final Shutdown shutdown = new Shutdown(DEADLINE_SECONDS, actions);

    private void signalReceived() {
        shutdown.signalReceived(SIGNAL_AT, SIGNAL_AT, SIGNAL_AT);
    }

    @Test
    void forwardsThenRejectsThenAnswersThenEnds() {
        assertTrue(shutdown.mayForward(SIGNAL_AT));
        assertEquals(Double.POSITIVE_INFINITY, shutdown.answerDeadline());
        signalReceived();
        assertEquals(Shutdown.Phase.DRAINING, shutdown.phase());
        assertTrue(shutdown.mayForward(SIGNAL_AT));
        assertFalse(shutdown.closesConnections());
        shutdown.wakeUp(BUDGET.listenUntil());
        shutdown.wakeUp(BUDGET.forwardUntil());
        assertEquals(Shutdown.Phase.REJECTING, shutdown.phase());
        assertTrue(shutdown.closesConnections());
        shutdown.wakeUp(BUDGET.answerBy());
        assertEquals(Shutdown.Phase.CLOSING, shutdown.phase());
        shutdown.wakeUp(BUDGET.endBy());
        assertEquals(List.of("drain", "stop listening", "refuse", "answer", "end"), actions.steps);
    }

    @Test
    void doesNotForwardAfterForwardUntilEvenIfWakeUpIsLate() {
        signalReceived();
        assertTrue(shutdown.mayForward(BUDGET.forwardUntil() - 0.001));
        assertFalse(shutdown.mayForward(BUDGET.forwardUntil()));
        assertEquals(Shutdown.Phase.DRAINING, shutdown.phase());
    }

    /** The process may be paused for 0.15 s; a lag of that length alone must not cause rejections. */
    @Test
    void stopsForwardingOnceLoopLagExceedsAPause() {
        shutdown.loopLagMeasured(1);
        signalReceived();
        shutdown.loopLagMeasured(0.15);
        assertTrue(
                shutdown.mayForward(SIGNAL_AT),
                "lag before the signal, or lag no longer than a pause, must not stop forwarding");
        shutdown.loopLagMeasured(0.25);
        shutdown.loopLagMeasured(0);
        assertFalse(shutdown.mayForward(SIGNAL_AT));
        assertFalse(shutdown.closesConnections(), "open connections must stay open");
        assertEquals(List.of("drain"), actions.steps);
    }

    @Test
    void oneLateWakeUpPerformsAllDueStepsInOrder() {
        signalReceived();
        shutdown.wakeUp(BUDGET.answerBy() + 0.01);
        assertEquals(List.of("drain", "stop listening", "refuse", "answer"), actions.steps);
    }

    /** The event loop handles the signal only when SIGKILL is already due. */
    @Test
    void signalHandledAfterKillTimeAnswersAllAndEndsImmediately() {
        shutdown.signalReceived(BUDGET.killAt(), SIGNAL_AT, SIGNAL_AT);
        assertEquals(List.of("drain", "stop listening", "refuse", "answer", "end"), actions.steps);
    }

    @Test
    void onlyFirstSignalHasAnEffect() {
        signalReceived();
        shutdown.signalReceived(SIGNAL_AT + 0.5, SIGNAL_AT + 0.5, SIGNAL_AT + 0.5);
        assertEquals(BUDGET, shutdown.budget());
        assertEquals(List.of("drain"), actions.steps);
    }

    @Test
    void staysWithoutClientsWhileOneMayStillConnect() {
        signalReceived();
        shutdown.noClientsConnected(SIGNAL_AT + 0.3);
        shutdown.wakeUp(BUDGET.listenUntil());
        shutdown.noClientsConnected(BUDGET.listenUntil());
        assertEquals(Shutdown.Phase.DRAINING, shutdown.phase());
        shutdown.noClientsConnected(BUDGET.stayUntil());
        assertEquals(Shutdown.Phase.ENDED, shutdown.phase());
    }

    @Test
    void endsImmediatelyIfItHasNeverListened() {
        shutdown.listenerNeverStarted();
        signalReceived();
        shutdown.noClientsConnected(SIGNAL_AT);
        assertEquals(List.of("drain", "end"), actions.steps);
    }

    @Test
    void stopsListeningForSuccessorAndServesOpenConnections() {
        signalReceived();
        shutdown.successorStarted();
        shutdown.successorStarted();
        assertTrue(shutdown.closesConnections());
        assertTrue(shutdown.mayForward(SIGNAL_AT + 0.1), "requests on open connections must still be forwarded");
        shutdown.noClientsConnected(SIGNAL_AT + 0.1);
        assertEquals(List.of("drain", "stop listening", "hand over", "end"), actions.steps);
    }

    @Test
    void successorBeforeSignalHasNoEffect() {
        shutdown.successorStarted();
        shutdown.wakeUp(SIGNAL_AT);
        shutdown.noClientsConnected(SIGNAL_AT);
        assertEquals(List.of(), actions.steps);
        assertFalse(shutdown.hasBegun());
    }

    private static final int EVENT_KINDS = 8;
    private static final int HISTORY_LENGTH = 6;

    private static void applyEvent(Shutdown shutdown, int kind) {
        switch (kind) {
            case 0 -> shutdown.signalReceived(SIGNAL_AT, SIGNAL_AT, SIGNAL_AT);
            case 1 -> shutdown.successorStarted();
            case 2 -> shutdown.noClientsConnected(BUDGET.stayUntil());
            case 3 -> shutdown.wakeUp(SIGNAL_AT);
            case 4 -> shutdown.wakeUp(BUDGET.listenUntil());
            case 5 -> shutdown.wakeUp(BUDGET.forwardUntil());
            case 6 -> shutdown.wakeUp(BUDGET.answerBy());
            default -> shutdown.wakeUp(BUDGET.endBy());
        }
    }

    /** Tries every sequence of six events out of eight kinds, with repetitions: 262,144 histories. */
    @Test
    void noEventSequenceRepeatsAStepOrReturnsToAnEarlierPhase() {
        int histories = (int) Math.pow(EVENT_KINDS, HISTORY_LENGTH);
        for (int history = 0; history < histories; history++) {
            RecordingActions recorded = new RecordingActions();
            Shutdown testedShutdown = new Shutdown(DEADLINE_SECONDS, recorded);
            Shutdown.Phase before = Shutdown.Phase.SERVING;
            for (int i = 0, rest = history; i < HISTORY_LENGTH; i++, rest /= EVENT_KINDS) {
                applyEvent(testedShutdown, rest % EVENT_KINDS);
                assertTrue(testedShutdown.phase().compareTo(before) >= 0, "returned to an earlier phase");
                before = testedShutdown.phase();
                assertEquals(before == Shutdown.Phase.SERVING, recorded.steps.isEmpty(), "acted before the signal");
            }
            assertEquals(
                    recorded.steps.size(),
                    recorded.steps.stream().distinct().count(),
                    "a step was done twice: " + recorded.steps);
            int refuse = recorded.steps.indexOf("refuse");
            int answer = recorded.steps.indexOf("answer");
            assertTrue(answer < 0 || refuse >= 0 && refuse < answer, "answered before it rejected: " + recorded.steps);
            boolean ended = before == Shutdown.Phase.ENDED;
            assertEquals(ended, recorded.steps.contains("end"));
        }
    }
}
