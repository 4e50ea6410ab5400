package portrelay.faulttest.scale;

import java.io.IOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import portrelay.net.eventloop.EventLoop;

/** Samples what a process uses, from Linux's /proc. */
public final class ProcessMeter {

    private static final double TICKS_PER_SECOND = 100;
    /** Index of the field utime after the thread's name in /proc/PID/task/TID/stat. */
    private static final int USER_TIME_FIELD = 11;

    private static final double KIB_PER_MIB = 1024;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Path proc;
    private int descriptors;
    private int maxDescriptors;
    private int maxThreads;
    private double memoryMb;
    private double peakMemoryMb;
    private Map<String, Double> cpuSecondsByThread = Map.of();
    private long waitNanos;
    private double maxWaitSeconds;

    /** @param processId the number of the process */
    public ProcessMeter(long processId) {
        proc = Path.of("/proc", Long.toString(processId));
    }

    /** Takes a sample. Once the process has ended, it holds nothing, and the other values stay. */
    public void sample() {
        try {
            descriptors = count(proc.resolve("fd"));
            maxDescriptors = Math.max(maxDescriptors, descriptors);
            maxThreads = Math.max(maxThreads, count(proc.resolve("task")));
            memoryMb = readMemoryMb();
            peakMemoryMb = Math.max(peakMemoryMb, memoryMb);
            Map<String, Double> seconds = readCpuSeconds();
            // Empty while a killed process is being taken down.
            cpuSecondsByThread = seconds.isEmpty() ? cpuSecondsByThread : seconds;
            sampleWait();
        } catch (IOException e) {
            descriptors = 0;
            memoryMb = 0;
        }
    }

    /** Returns the number of descriptors at the last sample. */
    int descriptors() {
        return descriptors;
    }

    /** Returns the largest memory of all samples, in MB. */
    public double peakMemoryMb() {
        return peakMemoryMb;
    }

    /** Returns the memory at the last sample; that which processes share counts in parts. */
    double memoryMb() {
        return memoryMb;
    }

    private double readMemoryMb() throws IOException {
        for (String line : Files.readAllLines(proc.resolve("smaps_rollup"))) {
            if (line.startsWith("Pss:")) {
                return Double.parseDouble(line.replaceAll("[^0-9]", "")) / KIB_PER_MIB;
            }
        }
        return 0;
    }

    /** Returns the longest time for which the event loop waited for a core between two samples, in seconds. */
    public double maxWaitSeconds() {
        return maxWaitSeconds;
    }

    private void sampleWait() throws IOException {
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(proc.resolve("task"))) {
            for (Path thread : threads) {
                if (Files.readString(thread.resolve("comm")).trim().equals(EventLoop.THREAD_NAME)) {
                    long total = Long.parseLong(
                            Files.readString(thread.resolve("schedstat")).split(" ")[1]);
                    maxWaitSeconds = Math.max(maxWaitSeconds, (total - waitNanos) / NANOS_PER_SECOND);
                    waitNanos = total;
                }
            }
        }
    }

    private static int count(Path folder) throws IOException {
        int count = 0;
        try (DirectoryStream<Path> entries = Files.newDirectoryStream(folder)) {
            for (Path entry : entries) {
                count += entry.getFileName() == null ? 0 : 1;
            }
        }
        return count;
    }

    private Map<String, Double> readCpuSeconds() throws IOException {
        Map<String, Double> seconds = new TreeMap<>();
        try (DirectoryStream<Path> threads = Files.newDirectoryStream(proc.resolve("task"))) {
            for (Path thread : threads) {
                String stat = Files.readString(thread.resolve("stat"));
                String name = stat.substring(stat.indexOf('(') + 1, stat.lastIndexOf(')'));
                String[] fields = stat.substring(stat.lastIndexOf(')') + 2).split(" ");
                double ticks = Long.parseLong(fields[USER_TIME_FIELD]) + Long.parseLong(fields[USER_TIME_FIELD + 1]);
                seconds.merge(name, ticks / TICKS_PER_SECOND, Double::sum);
            }
        }
        return seconds;
    }

    @Override
    public String toString() {
        double total = cpuSecondsByThread.values().stream()
                .mapToDouble(Double::doubleValue)
                .sum();
        StringBuilder threads = new StringBuilder();
        cpuSecondsByThread.forEach((name, seconds) -> {
            if (seconds >= 0.1) {
                threads.append(String.format(Locale.ROOT, " %s:%.1f", name.replace(' ', '_'), seconds));
            }
        });
        return String.format(
                Locale.ROOT,
                "cpu-s=%.1f%s peak-mb=%.0f descriptors=%d threads=%d max-wait-s=%.3f",
                total,
                threads,
                peakMemoryMb,
                maxDescriptors,
                maxThreads,
                maxWaitSeconds);
    }
}
