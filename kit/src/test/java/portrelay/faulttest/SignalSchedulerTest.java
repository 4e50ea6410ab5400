package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.faulttest.SignalTimeline.TimedSignal;
import portrelay.standin.Signals.Signal;

/**
 * Tests that signals reach a real process in order and none before its time, and that late stops are skipped on
 * request.
 */
@Timeout(60)
class SignalSchedulerTest {

    /** The exit codes of a process that was ended by a signal. */
    private static final int KILLED = 128 + 9;

    private static final int TERMINATED = 128 + 15;
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SignalScheduler scheduler;
    private Process target;

    SignalSchedulerTest() throws IOException {
        scheduler = new SignalScheduler();
    }

    @BeforeEach
    void start() throws IOException {
        target = new ProcessBuilder("sleep", "60").start();
        scheduler.awaitReady();
    }

    @AfterEach
    void stop() {
        scheduler.close();
        target.destroyForcibly();
    }

    private List<SignalScheduler.SendResult> play(long termAt, boolean skipsLateStops, List<TimedSignal> timeline)
            throws IOException {
        scheduler.play(timeline, target.pid(), termAt, skipsLateStops);
        List<SignalScheduler.SendResult> results = new ArrayList<>();
        for (int i = 0; i < timeline.size(); i++) {
            results.add(scheduler.awaitNext());
        }
        return results;
    }

    @Test
    void sendsNoSignalEarlyAndCountsTimesFromSigterm() throws Exception {
        long termAt = System.nanoTime() + 50 * NANOS_PER_MILLI;
        List<TimedSignal> timeline = List.of(
                new TimedSignal(-0.02, Signal.STOP),
                new TimedSignal(0, Signal.TERM),
                new TimedSignal(0.03, Signal.KILL));
        List<SignalScheduler.SendResult> results = play(termAt, false, timeline);
        assertEquals(
                List.of(Signal.STOP, Signal.TERM, Signal.KILL),
                results.stream().map(SignalScheduler.SendResult::signal).toList());
        assertEquals(termAt - 20 * NANOS_PER_MILLI, results.get(0).plannedAt());
        assertEquals(termAt, results.get(1).plannedAt());
        assertEquals(
                results.get(1).sentAt() + 30 * NANOS_PER_MILLI, results.get(2).plannedAt());
        results.forEach(result -> assertTrue(result.sentAt() >= result.plannedAt(), result.toString()));
        // As the process was stopped, it can't have handled SIGTERM.
        assertEquals(KILLED, target.waitFor());
    }

    /**
     * Guards against a process that never runs because each late stop follows at once on the end of the preceding one.
     */
    @Test
    void skipsLateStopsOnRequest() throws Exception {
        long overdueTermAt = System.nanoTime() - 1000 * NANOS_PER_MILLI;
        List<TimedSignal> timeline = List.of(new TimedSignal(0, Signal.STOP), new TimedSignal(0.001, Signal.TERM));
        List<SignalScheduler.SendResult> results = play(overdueTermAt, true, timeline);
        assertTrue(results.get(0).isSkipped());
        assertFalse(results.get(1).isSkipped());
        assertEquals(TERMINATED, target.waitFor());
    }

    @Test
    void failsOnceItsProcessHasEnded() {
        scheduler.close();
        assertThrows(IOException.class, scheduler::awaitNext);
    }
}
