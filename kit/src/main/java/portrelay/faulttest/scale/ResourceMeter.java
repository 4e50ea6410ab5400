package portrelay.faulttest.scale;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import portrelay.faulttest.scale.ScaleViolation.Rule;

/**
 * Samples what the processes of all sidecars use, and compares that with their limits: the processes of one sidecar
 * count together, and the files in their folder count as memory. Thread-safe.
 */
final class ResourceMeter {

    /** Two processes beside each other don't fit into less, however short the endpoint list is. */
    private static final int MIN_MEMORY_MB_OF_TWO = 192;

    private static final double BYTES_PER_MIB = 1024 * 1024;

    /** The processes of one sidecar, and the most that they used. */
    private static final class SidecarUse {
        private final Path temporary;
        private final List<ProcessMeter> processes = new ArrayList<>();
        private double peakMemoryMb;
        private double peakMemoryMbOfOne;
        private int maxDescriptors;

        SidecarUse(Path temporary) {
            this.temporary = temporary;
        }

        void sample() {
            processes.forEach(ProcessMeter::sample);
            double files = fileMb();
            double memoryMb =
                    processes.stream().mapToDouble(ProcessMeter::memoryMb).sum() + files;
            peakMemoryMb = Math.max(peakMemoryMb, memoryMb);
            boolean isAlone =
                    processes.stream().filter(each -> each.memoryMb() > 0).count() == 1;
            peakMemoryMbOfOne = Math.max(peakMemoryMbOfOne, isAlone ? memoryMb : 0);
            maxDescriptors = Math.max(
                    maxDescriptors,
                    processes.stream().mapToInt(ProcessMeter::descriptors).sum());
        }

        private double fileMb() {
            long bytes = 0;
            try (DirectoryStream<Path> files = Files.newDirectoryStream(temporary)) {
                for (Path file : files) {
                    bytes += file.toFile().length();
                }
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return bytes / BYTES_PER_MIB;
        }
    }

    private final ScalePlan plan;
    private final Map<Integer, SidecarUse> sidecars = new TreeMap<>();

    ResourceMeter(ScalePlan plan) {
        this.plan = plan;
    }

    /**
     * Adds a process.
     *
     * @param sidecar the number of the sidecar
     * @param temporary the folder that the processes of this sidecar share
     */
    synchronized void add(int sidecar, long processId, Path temporary) {
        sidecars.computeIfAbsent(sidecar, key -> new SidecarUse(temporary))
                .processes
                .add(new ProcessMeter(processId));
    }

    synchronized void sample() {
        sidecars.values().forEach(SidecarUse::sample);
    }

    /** Returns what each process used. */
    synchronized List<String> descriptions() {
        return meters().stream().map(ProcessMeter::toString).toList();
    }

    /** Returns the most memory that the processes of one sidecar took together, with their files, in MiB. */
    synchronized double peakMemoryMb() {
        return sidecars.values().stream()
                .mapToDouble(each -> each.peakMemoryMb)
                .max()
                .orElse(0);
    }

    /** Returns the longest time for which an event loop waited for a core between two samples, in seconds. */
    synchronized double maxWaitSeconds() {
        return meters().stream().mapToDouble(ProcessMeter::maxWaitSeconds).max().orElse(0);
    }

    /** Returns a violation for each limit that the processes of a sidecar went over. */
    synchronized List<ScaleViolation> violations() {
        List<ScaleViolation> violations = new ArrayList<>();
        sidecars.forEach((number, use) -> {
            String subject = "sidecar " + number;
            if (use.maxDescriptors > ScaleConfiguration.SOCKETS) {
                violations.add(new ScaleViolation(Rule.OVER_LIMIT, subject, "descriptors=" + use.maxDescriptors));
            }
            boolean mustFitTwo = plan.memoryMb() >= MIN_MEMORY_MB_OF_TWO;
            double memoryMb = mustFitTwo ? use.peakMemoryMb : use.peakMemoryMbOfOne;
            if (memoryMb > plan.memoryMb()) {
                String evidence = String.format(
                        Locale.ROOT,
                        "memory-mb=%.1f limit=%d %s",
                        memoryMb,
                        plan.memoryMb(),
                        mustFitTwo ? "of all processes" : "of one process");
                violations.add(new ScaleViolation(Rule.OVER_LIMIT, subject, evidence));
            }
        });
        return violations;
    }

    private List<ProcessMeter> meters() {
        return sidecars.values().stream()
                .flatMap(each -> each.processes.stream())
                .toList();
    }
}
