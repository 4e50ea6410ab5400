package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import portrelay.net.eventloop.EventLoop;
import portrelay.standin.DaemonThreads;

/**
 * Measures the longest stall of a process, printed as {@code longest-hold}: the time for which its event loop made no
 * progress because the process was stopped or waited for a core. Reads the kernel's statistics of the process's threads
 * (Linux, {@code /proc}). The event loop may also wait for another thread that gets no core, for instance one that has
 * to reach a safepoint. The time for which the process ran meanwhile is subtracted, so that a long task of its own
 * doesn't count as a stall. The result is a lower bound, as a stall may extend beyond the samples that show it.
 */
final class StallMeter {

    private static final long INTERVAL_MILLIS = 10;
    private static final double NANOS_PER_SECOND = 1e9;
    /** The name of a thread that has just started and not yet set its own: that of the program. */
    private static final String UNNAMED = "java";
    /** The JIT compiler's threads, for which no other thread waits. */
    private static final String COMPILER_THREADS = "C[12] .*";

    /** Running or runnable, stopped, in uninterruptible sleep; the state letters of {@code /proc/PID/task/TID/stat}. */
    private static final Set<Character> ACTIVE_STATES = Set.of('R', 'T', 'D');

    /**
     * The scheduler statistics of a thread, from {@code schedstat}.
     *
     * @param runNanos total time on a core
     * @param waitNanos total time of waiting for a core
     * @param slices how often the thread got a core
     */
    record Progress(long runNanos, long waitNanos, long slices) {
        static final Progress NONE = new Progress(0, 0, 0);
    }

    /**
     * The state of all threads at one time.
     *
     * @param sampledAt the time, of {@link System#nanoTime}
     * @param eventLoop the statistics of the event loop's thread
     * @param runNanos total time on a core of all threads but the compiler's
     * @param isActive whether any of these threads is running, runnable, stopped or in uninterruptible sleep
     */
    record Sample(long sampledAt, Progress eventLoop, long runNanos, boolean isActive) {}

    private final Map<Path, String> threadNames = new HashMap<>();
    private Sample lastSample;
    /** The sample from which on the event loop has made no progress. */
    private Sample stalledSince;

    private volatile long maxNanos;
    private volatile boolean hasSeenEventLoop;

    /** Starts to sample the process every 10 ms until it ends, on a thread of its own. */
    void start(Process process) {
        Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
        DaemonThreads.start("stall-meter", () -> {
            try {
                while (process.isAlive()) {
                    sample(tasks);
                    TimeUnit.MILLISECONDS.sleep(INTERVAL_MILLIS);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (IOException e) {
                // The process has ended.
            }
        });
    }

    /**
     * Returns the longest stall so far, in seconds.
     *
     * @throws IllegalStateException if no sample has found the event loop's thread, as nothing was measured then
     */
    double maxSeconds() {
        if (!hasSeenEventLoop) {
            throw new IllegalStateException(
                    "stall meter: no thread " + EventLoop.THREAD_NAME + " was found in any sample");
        }
        return maxNanos / NANOS_PER_SECOND;
    }

    private void sample(Path tasks) throws IOException {
        long sampledAt = System.nanoTime();
        Progress eventLoop = Progress.NONE;
        long runNanos = 0;
        boolean isActive = false;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                String name = name(thread);
                Progress progress = progress(thread);
                if (name.equals(EventLoop.THREAD_NAME)) {
                    eventLoop = progress;
                }
                if (!name.matches(COMPILER_THREADS)) {
                    runNanos += progress.runNanos();
                    isActive |= ACTIVE_STATES.contains(state(thread));
                }
            }
        }
        if (!eventLoop.equals(Progress.NONE)) {
            update(new Sample(sampledAt, eventLoop, runNanos, isActive));
        }
    }

    /** Evaluates a sample. Samples have to be passed in the order of their times. */
    void update(Sample sample) {
        hasSeenEventLoop = true;
        if (lastSample != null
                && sample.eventLoop().slices() > lastSample.eventLoop().slices()) {
            // The longest of the event loop's waits for a core is at least as long as their mean.
            long waits = sample.eventLoop().slices() - lastSample.eventLoop().slices();
            recordStall((sample.eventLoop().waitNanos() - lastSample.eventLoop().waitNanos()) / waits);
        }
        if (lastSample == null
                || !lastSample.isActive()
                || !sample.isActive()
                || !sample.eventLoop().equals(lastSample.eventLoop())) {
            stalledSince = sample;
        }
        recordStall(sample.sampledAt() - stalledSince.sampledAt() - (sample.runNanos() - stalledSince.runNanos()));
        lastSample = sample;
    }

    private void recordStall(long stallNanos) {
        maxNanos = Math.max(maxNanos, stallNanos);
    }

    private String name(Path thread) {
        String name = threadNames.get(thread);
        if (name == null) {
            name = read(thread, "comm");
            if (!name.equals(UNNAMED)) {
                threadNames.put(thread, name);
            }
        }
        return name;
    }

    private static Progress progress(Path thread) {
        String[] fields = read(thread, "schedstat").split(" ");
        return fields.length < 3
                ? Progress.NONE
                : new Progress(Long.parseLong(fields[0]), Long.parseLong(fields[1]), Long.parseLong(fields[2]));
    }

    private static char state(Path thread) {
        String stat = read(thread, "stat");
        int nameEnd = stat.lastIndexOf(')');
        return nameEnd < 0 ? ' ' : stat.charAt(nameEnd + 2);
    }

    /** Returns the file's content, or an empty string if the thread has ended. */
    private static String read(Path thread, String file) {
        try {
            return Files.readString(thread.resolve(file), ISO_8859_1).trim();
        } catch (IOException e) {
            return "";
        }
    }
}
