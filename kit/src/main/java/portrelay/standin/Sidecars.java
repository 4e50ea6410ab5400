package portrelay.standin;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;

/** Starts sidecar processes on this machine by deploy/run.sh, and ends them on close. Not thread-safe. */
public final class Sidecars implements AutoCloseable {

    /**
     * A sidecar process.
     *
     * @param process the process
     * @param port the loopback port on which it listens
     * @param log the file with its standard output and error
     */
    public record Instance(Process process, int port, Path log) {}

    private static final int CONNECT_TIMEOUT_MILLIS = 200;
    private static final int READ_TIMEOUT_MILLIS = 1000;
    private static final int EXIT_TIMEOUT_SECONDS = 10;

    private final List<Instance> instances = new ArrayList<>();
    private final Path root;
    private final Path folder;

    /**
     * Starts no process yet.
     *
     * @param root the root of the checkout, which has to be built
     * @param folder the folder for configurations and logs
     */
    public Sidecars(Path root, Path folder) {
        this.root = root;
        this.folder = folder;
    }

    /**
     * Returns rows of an endpoint list in the protocol's format, without the enclosing brackets. No process listens at
     * their addresses.
     *
     * @param from the number of the first endpoint
     * @param count the number of rows
     * @param health the health of all rows, as the protocol names it
     */
    public static String endpointRows(int from, int count, String health) {
        StringBuilder rows = new StringBuilder();
        for (int i = from; i < from + count; i++) {
            rows.append(i > from ? "," : "")
                    .append(String.format(
                            Locale.ROOT,
                            "{\"host\":\"s-%d\","
                                    + "\"dial\":\"127.%d.%d.%d:9\",\"site\":\"z%d\",\"class\":\"m%d\",\"block\":%d,"
                                    + "\"health\":\"%s\",\"share\":1.0,\"born_ms\":0}",
                            i,
                            1 + i / 60_000,
                            i / 250 % 240,
                            1 + i % 250,
                            i % 12,
                            i % 3,
                            i / 6,
                            health));
        }
        return rows.toString();
    }

    /** Returns the configuration of the sidecar with the given index, as JSON. */
    private static String configuration(int index, int sidecars, int port, String discovery, String rows) {
        return "{\"name\":\"n" + index + "\",\"listen\":\"127.0.0.1:" + port
                + "\",\"discovery\":\"" + discovery
                + "\",\"seed\":\"" + Long.toHexString(0x8c1f30d27a5be964L + index)
                + "\",\"limits\":{\"cores\":0.1,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + "{\"seq\":1,\"whole\":true,\"hosts\":[" + rows + "]},\"settings\":{"
                + "\"discovery\":\"on_request\",\"me\":" + index + ",\"siblings\":" + sidecars
                + ",\"classes\":[{\"name\":\"read\",\"effect\":\"read_like\",\"group\":\"all\","
                + "\"aim-us\":300000,\"hard-limit-us\":600000}],\"allowed\":{\"max-attempts\":4,"
                + "\"cancel\":true,\"parallel-tries\":true,\"retry-after\":true,"
                + "\"max-retry-after-us\":250000,"
                + "\"dial-timeout-us\":150000,\"conn-idle-us\":10000000},\"invariants\":{"
                + "\"ask-within-us\":10000000,\"cold-share\":0.3,\"cold-us\":8000000,\"overload-factor\":4,"
                + "\"tip-after-us\":3000000}}}";
    }

    /**
     * Starts another sidecar.
     *
     * @param sidecars the number of sidecars that there will be
     * @param core the core to which the process is bound; negative for any
     * @param discovery the address of discovery
     * @param rows the rows of the endpoint list that it has at its start
     * @throws IOException if the process can't be started, or its files can't be written
     */
    public Instance start(int sidecars, int core, String discovery, String rows) throws IOException {
        int index = instances.size();
        int port = SidecarProcess.freePort();
        Path files = Files.createDirectories(folder.resolve("n" + index));
        Path configurationFile =
                Files.writeString(files.resolve("config.json"), configuration(index, sidecars, port, discovery, rows));
        List<String> command = new ArrayList<>();
        if (core >= 0) {
            command.addAll(List.of("taskset", "-c", Integer.toString(core)));
        }
        command.addAll(
                List.of("bash", root.resolve("deploy/run.sh").toAbsolutePath().toString()));
        Path log = files.resolve("log");
        ProcessBuilder builder = new ProcessBuilder(command)
                .directory(root.toFile())
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment()
                .put("LB_CONFIG", configurationFile.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", files.toAbsolutePath().toString());
        Instance instance = new Instance(builder.start(), port, log);
        instances.add(instance);
        return instance;
    }

    /** Returns all sidecars in the order in which they were started. */
    public List<Instance> instances() {
        return instances;
    }

    /** Whether {@code /up} answers that the sidecar is ready. */
    public static boolean isReady(Instance instance) {
        return ReadinessProbe.isReady(instance.port, CONNECT_TIMEOUT_MILLIS, READ_TIMEOUT_MILLIS);
    }

    /** Kills all sidecars and waits until they have ended, at most 10 seconds for each. */
    @Override
    public void close() {
        instances.forEach(instance -> instance.process.destroyForcibly());
        for (Instance instance : instances) {
            try {
                instance.process.waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
