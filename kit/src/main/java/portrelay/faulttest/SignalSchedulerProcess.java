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
 * The program that a {@link SignalScheduler} starts. Reads a process id, the time of SIGTERM, whether to skip late
 * stops, and the timeline from standard input; sends each signal at its time and writes a line with the actual time to
 * standard output.
 */
final class SignalSchedulerProcess {

    /** A SIGSTOP that is due for longer than this counts as late, in seconds. */
    private static final double LATE_STOP_SECONDS = 0.002;

    private static final double NANOS_PER_SECOND = 1e9;
    /**
     * How many null signals the process sends to itself first, so that the timeline doesn't run on code that is not
     * warmed up.
     */
    private static final int WARM_UP_SIGNALS = 200;

    private static final int NO_SIGNAL = 0;

    /** The C library. */
    interface CLibrary extends Library {

        /** Sends a signal. Returns 0, or -1 if there is no such process. */
        int kill(int pid, int signal);
    }

    private final CLibrary libc = Native.load("c", CLibrary.class);
    private final PrintStream out = new PrintStream(System.out, true, US_ASCII);
    private boolean hasTargetEnded;

    private SignalSchedulerProcess() {}

    /** Runs the program, which takes no arguments. */
    public static void main(String[] arguments) throws IOException {
        new SignalSchedulerProcess().run();
    }

    private void run() throws IOException {
        for (int i = 0; i < WARM_UP_SIGNALS; i++) {
            libc.kill((int) ProcessHandle.current().pid(), NO_SIGNAL);
        }
        out.println("ready");
        BufferedReader in = new BufferedReader(new InputStreamReader(System.in, US_ASCII));
        String headerLine = in.readLine();
        if (headerLine == null) {
            return;
        }
        String[] header = headerLine.split(" ");
        List<SignalTimeline.TimedSignal> timeline = new ArrayList<>();
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            String[] fields = line.split(" ");
            timeline.add(new SignalTimeline.TimedSignal(Double.parseDouble(fields[1]), Signal.valueOf(fields[0])));
        }
        play(timeline, Integer.parseInt(header[0]), Long.parseLong(header[1]), Boolean.parseBoolean(header[2]));
    }

    private void play(List<SignalTimeline.TimedSignal> timeline, int pid, long termAt, boolean skipsLateStops) {
        long referenceTime = termAt;
        for (SignalTimeline.TimedSignal signal : timeline) {
            long plannedAt = referenceTime + (long) (signal.offsetSeconds() * NANOS_PER_SECOND);
            ShutdownClock.sleepUntil(plannedAt);
            boolean isLate = System.nanoTime() - plannedAt > LATE_STOP_SECONDS * NANOS_PER_SECOND;
            boolean isSkipped = skipsLateStops && isLate && signal.signal() == Signal.STOP;
            if (!isSkipped) {
                send(pid, signal.signal());
            }
            long sentAt = System.nanoTime();
            if (signal.isReferenceTerm()) {
                referenceTime = sentAt;
            }
            out.println(String.format(
                    Locale.ROOT,
                    "%s %.6f %d %d %s",
                    signal.signal(),
                    signal.offsetSeconds(),
                    plannedAt,
                    sentAt,
                    isSkipped));
        }
    }

    /** Sends the signal, unless an earlier one found no process: the process id may have been reused since. */
    private void send(int pid, Signal signal) {
        hasTargetEnded = hasTargetEnded || libc.kill(pid, signal.number()) != 0;
    }
}
