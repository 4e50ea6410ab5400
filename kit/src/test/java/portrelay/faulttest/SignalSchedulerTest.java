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
 * Signals reach a real process in their order, none before its time, and a late stop is left out where that is asked.
 */
@Timeout(60)
class SignalSchedulerTest {

    /** Exit codes of a process that a signal ended. */
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

    private List<SignalScheduler.Sent> play(long termAt, boolean skipsLateStops, List<TimedSignal> timeline)
            throws IOException {
        scheduler.play(timeline, target.pid(), termAt, skipsLateStops);
        List<SignalScheduler.Sent> sent = new ArrayList<>();
        for (int i = 0; i < timeline.size(); i++) {
            sent.add(scheduler.next());
        }
        return sent;
    }

    @Test
    void sendsEachSignalAtItsTimeOrLaterAndCountsFromSigterm() throws Exception {
        long termAt = System.nanoTime() + 50 * NANOS_PER_MILLI;
        List<TimedSignal> timeline = List.of(
                new TimedSignal(-0.02, Signal.STOP),
                new TimedSignal(0, Signal.TERM),
                new TimedSignal(0.03, Signal.KILL));
        List<SignalScheduler.Sent> sent = play(termAt, false, timeline);
        assertEquals(
                List.of(Signal.STOP, Signal.TERM, Signal.KILL),
                sent.stream().map(SignalScheduler.Sent::signal).toList());
        assertEquals(termAt - 20 * NANOS_PER_MILLI, sent.get(0).plannedAt());
        assertEquals(termAt, sent.get(1).plannedAt());
        assertEquals(sent.get(1).sentAt() + 30 * NANOS_PER_MILLI, sent.get(2).plannedAt());
        sent.forEach(each -> assertTrue(each.sentAt() >= each.plannedAt(), each.toString()));
        // Stopped, it can't have met SIGTERM.
        assertEquals(KILLED, target.waitFor());
    }

    /** Guards against a process that never runs, as each late stop follows the end of the one before it at once. */
    @Test
    void leavesOutLateStopsWhereThatIsAsked() throws Exception {
        long longAgo = System.nanoTime() - 1000 * NANOS_PER_MILLI;
        List<TimedSignal> timeline = List.of(new TimedSignal(0, Signal.STOP), new TimedSignal(0.001, Signal.TERM));
        List<SignalScheduler.Sent> sent = play(longAgo, true, timeline);
        assertTrue(sent.get(0).isSkipped());
        assertFalse(sent.get(1).isSkipped());
        assertEquals(TERMINATED, target.waitFor());
    }

    @Test
    void saysThatItsProcessHasEnded() {
        scheduler.close();
        assertThrows(IOException.class, scheduler::next);
    }
}
