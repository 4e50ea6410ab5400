package portrelay.standin;

import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A real sidecar in a process of its own, run from this JVM's class path with a debug log. It is killed when this JVM
 * exits: otherwise it would keep calling its discovery, at a port that another process may have by then.
 */
public final class SidecarProcess implements AutoCloseable {

    private static final int POLL_MILLIS = 2;
    private static final int ANSWER_TIMEOUT_MILLIS = 1000;
    private static final int DEFAULT_HEAP_MB = 96;

    private static final int FIRST_PORT = 20_000;
    private static final int PORTS = 12_000;
    private static final Set<Integer> RETURNED_PORTS = ConcurrentHashMap.newKeySet();

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

    /**
     * Returns a loopback port that nobody uses at the moment, and that this method has not returned before. It is below
     * the range from which Linux takes the ports of outgoing connections, one of which could have it by the time a
     * process wants to listen there.
     */
    public static int freePort() {
        while (true) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (RETURNED_PORTS.add(probe.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // Taken: another one.
            }
        }
    }

    /** Returns a loopback port for datagrams that nobody uses at the moment, from the same range. */
    public static int freeUdpPort() {
        while (true) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORTS);
            try (DatagramSocket probe = new DatagramSocket(port, InetAddress.getLoopbackAddress())) {
                return probe.getLocalPort();
            } catch (IOException e) {
                // Taken: another one.
            }
        }
    }

    /**
     * Starts a sidecar with the usual heap.
     *
     * @param port the port on which it listens by its configuration
     * @param configuration the configuration as JSON
     * @param files the folder for its configuration and its log
     * @param sharedTmp its TMPDIR, which it shares with a successor
     */
    public static SidecarProcess start(int port, String configuration, Path files, Path sharedTmp) throws IOException {
        return start(port, configuration, files, sharedTmp, DEFAULT_HEAP_MB);
    }

    /**
     * Starts a sidecar with the given heap, as {@link #start(int, String, Path, Path)} does.
     *
     * @param heapMb the maximum size of the heap; the process ends if that does not suffice
     */
    public static SidecarProcess start(int port, String configuration, Path files, Path sharedTmp, int heapMb)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-XX:-UsePerfData",
                "-XX:+ExitOnOutOfMemoryError",
                "-XX:MaxDirectMemorySize=16m",
                "-Xmx" + heapMb + "m",
                "-cp",
                System.getProperty("java.class.path"),
                "portrelay.cli.Main",
                "serve");
        return start(builder, port, configuration, files, sharedTmp);
    }

    /**
     * Starts a sidecar by deploy/run.sh, which derives the heap from the memory limit of the configuration.
     *
     * @param port the port on which it listens by its configuration
     * @param configuration the configuration as JSON
     * @param files the folder for its configuration and its log
     * @param sharedTmp its TMPDIR, which it shares with a successor
     */
    public static SidecarProcess startByScript(int port, String configuration, Path files, Path sharedTmp)
            throws IOException {
        return start(RunScript.command(files), port, configuration, files, sharedTmp);
    }

    private static SidecarProcess start(
            ProcessBuilder builder, int port, String configuration, Path files, Path sharedTmp) throws IOException {
        Files.createDirectories(files);
        Files.createDirectories(sharedTmp);
        Path configurationFile = Files.writeString(files.resolve("config.json"), configuration);
        Path log = files.resolve("log");
        builder.redirectErrorStream(true).redirectOutput(log.toFile());
        builder.environment()
                .put("LB_CONFIG", configurationFile.toAbsolutePath().toString());
        builder.environment().put("LB_LOG", "debug");
        builder.environment().put("TMPDIR", sharedTmp.toAbsolutePath().toString());
        Process process = builder.start();
        RUNNING.add(process);
        return new SidecarProcess(process, port, log);
    }

    /** Returns the operating system process. */
    public Process process() {
        return process;
    }

    /** Returns the loopback port on which the sidecar listens. */
    public int port() {
        return port;
    }

    /** Returns the lines that the sidecar has written to standard output and error so far. */
    public List<String> log() throws IOException {
        return Files.readAllLines(log);
    }

    /**
     * Waits until the sidecar accepts connections.
     *
     * @throws IOException if it has ended, or does not accept connections within the given number of seconds
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
     * Waits until {@code /up} answers that the sidecar is ready.
     *
     * @throws IOException if it has ended, or is not ready within the given number of seconds
     */
    public void awaitReady(double seconds) throws IOException, InterruptedException {
        await(seconds, "is not ready", this::isReady);
    }

    private boolean isReady() {
        return ReadinessProbe.isReady(port, ANSWER_TIMEOUT_MILLIS);
    }

    private interface Condition {
        boolean isMet();
    }

    private void await(double seconds, String failure, Condition condition) throws IOException, InterruptedException {
        long until = System.nanoTime() + (long) (seconds * 1e9);
        while (!condition.isMet()) {
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
