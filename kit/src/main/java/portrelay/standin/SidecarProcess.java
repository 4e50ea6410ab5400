package portrelay.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * One real sidecar in a process of its own, run from the classes of this JVM with a debug log. It ends with this JVM at
 * the latest: one that stayed behind would go on calling its discovery, at a port that others have by then.
 */
public final class SidecarProcess implements AutoCloseable {

    private static final int POLL_MILLIS = 2;
    private static final int ANSWER_TIMEOUT_MILLIS = 1000;

    private static final Set<Process> RUNNING = ConcurrentHashMap.newKeySet();

    static {
        Runtime.getRuntime().addShutdownHook(new Thread(() -> RUNNING.forEach(Process::destroyForcibly)));
    }

    private final Process process;
    private final int port;
    private final Path log;

    private SidecarProcess(Process process, int port, Path log) {
        this.process = process;
        this.port = port;
        this.log = log;
    }

    /** A port of loopback at which nothing listens now. */
    public static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /**
     * Starts a sidecar.
     *
     * @param port at which it listens by its configuration
     * @param files a folder for its configuration and its log
     * @param shared its TMPDIR, which it shares with a successor
     */
    public static SidecarProcess start(int port, String configuration, Path files, Path shared) throws IOException {
        Files.createDirectories(files);
        Files.createDirectories(shared);
        Path file = Files.writeString(files.resolve("config.json"), configuration);
        Path log = files.resolve("log");
        ProcessBuilder builder = new ProcessBuilder(List.of(
                        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                        "-XX:+UseSerialGC",
                        "-XX:TieredStopAtLevel=1",
                        "-XX:-UsePerfData",
                        "-Xmx96m",
                        "-cp",
                        System.getProperty("java.class.path"),
                        "portrelay.cli.Main",
                        "serve",
                        "--config",
                        file.toString()))
                .redirectErrorStream(true)
                .redirectOutput(log.toFile());
        builder.environment().put("LB_LOG", "debug");
        builder.environment().put("TMPDIR", shared.toAbsolutePath().toString());
        Process process = builder.start();
        RUNNING.add(process);
        return new SidecarProcess(process, port, log);
    }

    public Process process() {
        return process;
    }

    public int port() {
        return port;
    }

    /** The lines that it has written to standard output and error so far. */
    public List<String> log() throws IOException {
        return Files.readAllLines(log);
    }

    /**
     * Returns once it accepts connections.
     *
     * @throws IOException where it has ended or does not within so many seconds
     */
    public void awaitListening(double seconds) throws IOException, InterruptedException {
        await(seconds, "does not listen", () -> {
            try (Socket probe = new Socket(InetAddress.getLoopbackAddress(), port)) {
                return probe.isConnected();
            } catch (IOException e) {
                return false;
            }
        });
    }

    /**
     * Returns once {@code /up} says that it is ready.
     *
     * @throws IOException where it has ended or is not within so many seconds
     */
    public void awaitReady(double seconds) throws IOException, InterruptedException {
        await(seconds, "is not ready", this::isReady);
    }

    private boolean isReady() {
        return ReadinessProbe.isReady(port, ANSWER_TIMEOUT_MILLIS);
    }

    private interface Condition {
        boolean holds();
    }

    private void await(double seconds, String failure, Condition condition) throws IOException, InterruptedException {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.holds()) {
            if (System.nanoTime() > until || !process.isAlive()) {
                throw new IOException("the sidecar " + failure + ": " + log());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    @Override
    public void close() {
        process.destroyForcibly();
        RUNNING.remove(process);
    }
}
