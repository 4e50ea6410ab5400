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
 * Measures for how long the event loop of a process stood still while the process was stopped or wanted a core and got
 * none, from the kernel's figures of its threads (Linux, {@code /proc}). The event loop may also stand still for
 * another thread, as one that has to reach a safepoint. What the process ran meanwhile is taken off, so that a long
 * task of its own is no hold. A lower bound: what falls between two looks may be longer.
 */
final class HoldMeter {

    private static final long INTERVAL_MILLIS = 10;
    private static final double NANOS_PER_SECOND = 1e9;
    /** A thread that has begun just now has the program's name. */
    private static final String UNNAMED = "java";
    /** Nobody waits for these. */
    private static final String COMPILER_THREADS = "C[12] .*";

    /** Running or wanting to, stopped, waiting for the disk; as {@code /proc/PID/task/TID/stat} has them. */
    private static final Set<Character> HELD_STATES = Set.of('R', 'T', 'D');

    /** What a thread had got by a look at it: time on a core, time of waiting for one, and how often it got one. */
    record Progress(long runNanos, long waitNanos, long slices) {
        static final Progress NONE = new Progress(0, 0, 0);
    }

    /** All threads at one look. */
    record Look(long at, Progress eventLoop, long runNanos, boolean isHeld) {}

    private final Map<Path, String> threadNames = new HashMap<>();
    private Look last;
    /** The first of the looks since which the event loop has stood still. */
    private Look standingSince;

    private volatile long maxNanos;
    private volatile boolean hasSeenEventLoop;

    /** Looks at the process until it ends. */
    void start(Process process) {
        Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
        DaemonThreads.start("hold-meter", () -> {
            try {
                while (process.isAlive()) {
                    look(tasks);
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
     * The longest hold so far, in seconds.
     *
     * @throws IllegalStateException where no look has found the event loop's thread: nothing was measured then
     */
    double maxSeconds() {
        if (!hasSeenEventLoop) {
            throw new IllegalStateException("hold meter: no thread " + EventLoop.THREAD_NAME + " was found");
        }
        return maxNanos / NANOS_PER_SECOND;
    }

    private void look(Path tasks) throws IOException {
        long at = System.nanoTime();
        Progress eventLoop = Progress.NONE;
        long runNanos = 0;
        boolean isHeld = false;
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(tasks)) {
            for (Path thread : threads) {
                String name = name(thread);
                Progress progress = progress(thread);
                if (name.equals(EventLoop.THREAD_NAME)) {
                    eventLoop = progress;
                }
                if (!name.matches(COMPILER_THREADS)) {
                    runNanos += progress.runNanos();
                    isHeld |= HELD_STATES.contains(state(thread));
                }
            }
        }
        if (!eventLoop.equals(Progress.NONE)) {
            update(new Look(at, eventLoop, runNanos, isHeld));
        }
    }

    /** Takes in one look; the looks are in the order of their times. */
    void update(Look look) {
        hasSeenEventLoop = true;
        if (last != null && look.eventLoop().slices() > last.eventLoop().slices()) {
            // The longest of the loop's waits for a core is no shorter than their mean.
            long waits = look.eventLoop().slices() - last.eventLoop().slices();
            record((look.eventLoop().waitNanos() - last.eventLoop().waitNanos()) / waits);
        }
        if (last == null
                || !last.isHeld()
                || !look.isHeld()
                || !look.eventLoop().equals(last.eventLoop())) {
            standingSince = look;
        }
        record(look.at() - standingSince.at() - (look.runNanos() - standingSince.runNanos()));
        last = look;
    }

    private void record(long heldNanos) {
        maxNanos = Math.max(maxNanos, heldNanos);
    }

    private String name(Path thread) {
        String known = threadNames.get(thread);
        if (known == null) {
            known = read(thread, "comm");
            if (!known.equals(UNNAMED)) {
                threadNames.put(thread, known);
            }
        }
        return known;
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

    /** Empty where the thread has ended. */
    private static String read(Path thread, String file) {
        try {
            return Files.readString(thread.resolve(file), ISO_8859_1).trim();
        } catch (IOException e) {
            return "";
        }
    }
}
