package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.US_ASCII;

import com.sun.jna.Library;
import com.sun.jna.Native;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import portrelay.standin.Signals.Signal;

/**
 * The process of a {@link SignalScheduler}: reads a process id, the time of SIGTERM and the timeline from standard
 * input, sends each signal at its time and writes a line with the time at which it was sent.
 */
final class SignalSchedulerProcess {

    /** A stop that is sent later than this after its time counts as late, in seconds. */
    private static final double LATE_STOP_SECONDS = 0.002;

    private static final double NANOS_PER_SECOND = 1e9;
    /** Sent to this process itself, so that the first one of the timeline is not sent by cold code. */
    private static final int WARM_UP_SIGNALS = 200;

    private static final int NO_SIGNAL = 0;

    /** The C library. */
    interface CLibrary extends Library {

        /** Returns 0, or -1 where there is no such process. */
        int kill(int pid, int signal);
    }

    private final CLibrary system = Native.load("c", CLibrary.class);
    private final PrintStream out = new PrintStream(System.out, true, US_ASCII);
    private boolean hasEnded;

    private SignalSchedulerProcess() {}

    public static void main(String[] arguments) throws IOException {
        new SignalSchedulerProcess().run();
    }

    private void run() throws IOException {
        for (int i = 0; i < WARM_UP_SIGNALS; i++) {
            system.kill((int) ProcessHandle.current().pid(), NO_SIGNAL);
        }
        out.println("ready");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, US_ASCII));
        String first = in.readLine();
        if (first == null) {
            return;
        }
        String[] head = first.split(" ");
        List<SignalTimeline.TimedSignal> timeline = new ArrayList<>();
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] fields = line.split(" ");
            timeline.add(new SignalTimeline.TimedSignal(Double.parseDouble(fields[1]), Signal.valueOf(fields[0])));
        }
        play(timeline, Integer.parseInt(head[0]), Long.parseLong(head[1]), Boolean.parseBoolean(head[2]));
    }

    private void play(List<SignalTimeline.TimedSignal> timeline, int pid, long termAt, boolean skipsLateStops) {
        long countedFrom = termAt;
        for (SignalTimeline.TimedSignal each : timeline) {
            long plannedAt = countedFrom + (long) (each.at() * NANOS_PER_SECOND);
            ShutdownClock.sleepUntil(plannedAt);
            boolean isLate = System.nanoTime() - plannedAt > LATE_STOP_SECONDS * NANOS_PER_SECOND;
            boolean isSkipped = skipsLateStops && isLate && each.signal() == Signal.STOP;
            if (!isSkipped) {
                send(pid, each.signal());
            }
            long sentAt = System.nanoTime();
            if (each.isTerm()) {
                countedFrom = sentAt;
            }
            out.println(String.format(
                    Locale.ROOT, "%s %.6f %d %d %s", each.signal(), each.at(), plannedAt, sentAt, isSkipped));
        }
    }

    /** Once the process has ended its id may be another one's. */
    private void send(int pid, Signal signal) {
        hasEnded = hasEnded || system.kill(pid, signal.number()) != 0;
    }
}
