package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.BufferedReader;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Writer;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import portrelay.standin.Signals.Signal;

/**
 * Sends the signals of a round at their times from a separate process, {@link SignalSchedulerProcess}: this JVM has a
 * thread for each client, so that its pauses and its contention for the cores would delay the signals. Not thread-safe.
 */
final class SignalScheduler implements AutoCloseable {

    /**
     * A signal with the time at which it was sent.
     *
     * @param signal the signal
     * @param offsetSeconds the planned time in seconds after SIGTERM
     * @param plannedAt the planned time by {@link System#nanoTime}, counted from the actual time of SIGTERM
     * @param sentAt the actual time by {@link System#nanoTime}
     * @param isSkipped whether the signal was skipped because it was so late that it would have coincided with the next
     */
    record SendResult(Signal signal, double offsetSeconds, long plannedAt, long sentAt, boolean isSkipped) {}

    private final Process process;
    private final Writer processInput;
    private final BufferedReader processOutput;

    /**
     * Starts the process.
     *
     * @throws IOException if the process can't be started
     */
    SignalScheduler() throws IOException {
        process = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-Xmx32m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        SignalSchedulerProcess.class.getName()))
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        processInput = new OutputStreamWriter(process.getOutputStream(), US_ASCII);
        processOutput = new BufferedReader(new InputStreamReader(process.getInputStream(), US_ASCII));
    }

    /**
     * Waits until the process can send signals without delay.
     *
     * @throws IOException if the process has ended
     */
    void awaitReady() throws IOException {
        readLine();
    }

    /**
     * Begins to play the timeline. The signals after SIGTERM are timed from the actual time of SIGTERM.
     *
     * @param timeline the signals in the order of their times
     * @param pid the id of the process to which the signals are sent
     * @param termAt when SIGTERM is due, by {@link System#nanoTime}
     * @param skipsLateStops whether a late SIGSTOP is skipped: otherwise the process would not run at all between the
     *     preceding stop and this one
     * @throws IOException if the process has ended
     */
    void play(List<SignalTimeline.TimedSignal> timeline, long pid, long termAt, boolean skipsLateStops)
            throws IOException {
        StringBuilder lines = new StringBuilder();
        lines.append(pid)
                .append(' ')
                .append(termAt)
                .append(' ')
                .append(skipsLateStops)
                .append('\n');
        for (SignalTimeline.TimedSignal signal : timeline) {
            lines.append(String.format(Locale.ROOT, "%s %.6f%n", signal.signal(), signal.offsetSeconds()));
        }
        processInput.write(lines.toString());
        processInput.close();
    }

    /**
     * Waits until the next signal of the timeline has been sent or skipped.
     *
     * @throws IOException if the process has ended
     */
    SendResult awaitNext() throws IOException {
        String[] fields = readLine().split(" ");
        return new SendResult(
                Signal.valueOf(fields[0]),
                Double.parseDouble(fields[1]),
                Long.parseLong(fields[2]),
                Long.parseLong(fields[3]),
                Boolean.parseBoolean(fields[4]));
    }

    private String readLine() throws IOException {
        String line = processOutput.readLine();
        if (line == null) {
            throw new EOFException("the signal scheduler process has ended");
        }
        return line;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
