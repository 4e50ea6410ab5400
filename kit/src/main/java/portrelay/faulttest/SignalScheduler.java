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
 * Sends the signals of a round at their times from a process of its own, {@link SignalSchedulerProcess}: this JVM has a
 * thread for each client, and its pauses and its queue for the cores would make the signals late. Not thread-safe.
 */
final class SignalScheduler implements AutoCloseable {

    /**
     * One signal with the time at which it was sent.
     *
     * @param at the planned time in seconds after SIGTERM
     * @param plannedAt the same by {@link System#nanoTime}, counted from when SIGTERM was sent
     * @param sentAt by {@link System#nanoTime}
     * @param isSkipped it was so late that it was left out, as it would have met the next one
     */
    record Sent(Signal signal, double at, long plannedAt, long sentAt, boolean isSkipped) {}

    private final Process process;
    private final Writer plan;
    private final BufferedReader sent;

    /** @throws IOException where the process can't be started */
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
        plan = new OutputStreamWriter(process.getOutputStream(), US_ASCII);
        sent = new BufferedReader(new InputStreamReader(process.getInputStream(), US_ASCII));
    }

    /**
     * Returns once the process is able to send signals without delay.
     *
     * @throws IOException where it has ended
     */
    void awaitReady() throws IOException {
        readLine();
    }

    /**
     * Begins to play the timeline. What follows SIGTERM is sent at its time from when that was sent.
     *
     * @param termAt when SIGTERM is sent, by {@link System#nanoTime}
     * @param skipsLateStops whether a late SIGSTOP is left out: the process would never run between it and the one
     *     before
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
        for (SignalTimeline.TimedSignal each : timeline) {
            lines.append(String.format(Locale.ROOT, "%s %.6f%n", each.signal(), each.at()));
        }
        plan.write(lines.toString());
        plan.close();
    }

    /**
     * Waits for the next signal of the timeline to be sent.
     *
     * @throws IOException where the process has ended
     */
    Sent next() throws IOException {
        String[] fields = readLine().split(" ");
        return new Sent(
                Signal.valueOf(fields[0]),
                Double.parseDouble(fields[1]),
                Long.parseLong(fields[2]),
                Long.parseLong(fields[3]),
                Boolean.parseBoolean(fields[4]));
    }

    private String readLine() throws IOException {
        String line = sent.readLine();
        if (line == null) {
            throw new EOFException("the process that sends the signals has ended");
        }
        return line;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
