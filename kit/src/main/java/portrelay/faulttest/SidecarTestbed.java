package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import portrelay.standin.Discovery;
import portrelay.standin.HttpReader;
import portrelay.standin.ScriptedUpstream;
import portrelay.standin.SidecarProcess;
import portrelay.standin.Signals;

/**
 * A real sidecar, started by deploy/run.sh, with a discovery and upstreams that all run the same script. Its request
 * classes are those of {@link RoundConfiguration}.
 */
public final class SidecarTestbed implements AutoCloseable {

    /**
     * The limits of a sidecar.
     *
     * @param deadlineSeconds the deadline of each request class
     * @param sockets the number of descriptors that it may use
     * @param memoryMb its memory limit, from which run.sh derives the heap
     */
    public record Limits(double deadlineSeconds, int sockets, int memoryMb) {}

    /** What the list says of an upstream besides its address. */
    private record Row(String id, int block, long bornMillis) {}

    private static final double READY_SECONDS = 40;
    /** How /proc/PID/stat shows the state of a stopped process, after its name. */
    private static final String STOPPED_STATE = ") T ";

    private static final String READY_LOG_TEXT = " info ready: ";
    private static final int POLL_MILLIS = 5;
    private static final int READ_TIMEOUT_MILLIS = 60_000;
    private static final int CONNECTION_ENDED = -1;

    private final List<ScriptedUpstream> upstreams = new ArrayList<>();
    private final List<Row> listed = new ArrayList<>();
    private final Discovery discovery;
    private final SidecarProcess sidecar;
    private final String configuration;
    private int lastUpstream;
    /** The TMPDIR of all processes of the sidecar. */
    private final Path sharedTmp;

    /**
     * Starts all processes and waits until the sidecar is ready.
     *
     * @param files an empty folder
     */
    public SidecarTestbed(Path files, Limits limits, int upstreamCount, ScriptedUpstream.Script script)
            throws IOException, InterruptedException {
        for (int i = 0; i < upstreamCount; i++) {
            upstreams.add(new ScriptedUpstream(SidecarProcess.freePort(), script));
            listed.add(new Row("s-" + i, 1, 0));
        }
        lastUpstream = upstreamCount;
        discovery = new Discovery(1);
        String rows = rows();
        discovery.publish(rows, "");
        int port = SidecarProcess.freePort();
        configuration = RoundConfiguration.json(
                port, discovery.address(), rows, limits.deadlineSeconds, limits.sockets, limits.memoryMb);
        sharedTmp = files;
        sidecar = SidecarProcess.startByScript(port, configuration, files, sharedTmp);
        sidecar.awaitReady(READY_SECONDS);
    }

    private String rows() {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < upstreams.size(); i++) {
            Row row = listed.get(i);
            rows.append(i > 0 ? "," : "")
                    .append(endpointRow(row.id, upstreams.get(i).port(), row.block, row.bornMillis));
        }
        return rows.toString();
    }

    /**
     * Ends an upstream as a killed process ends, and starts another at its address, which is listed at once.
     *
     * @param keepsId whether the new one has the id of the old one; else it has a new id and is in another block
     * @param script what the new one does with requests
     */
    public void replaceUpstream(int index, boolean keepsId, ScriptedUpstream.Script script) throws IOException {
        ScriptedUpstream old = upstreams.get(index);
        old.close();
        upstreams.set(index, new ScriptedUpstream(old.port(), script));
        Row row = listed.get(index);
        long now = System.currentTimeMillis();
        listed.set(
                index, keepsId ? new Row(row.id, row.block, now) : new Row("s-" + ++lastUpstream, row.block + 1, now));
        discovery.publish(rows(), null);
    }

    /** Returns a row of an endpoint list in the protocol's format. */
    public static String endpointRow(String id, int port, int block, long bornMillis) {
        return "{\"host\":\"" + id + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"m\",\"block\":"
                + block + ",\"health\":\"SERVING\",\"share\":1.0,\"born_ms\":" + bornMillis + "}";
    }

    /**
     * Starts a second process of the sidecar, which listens at the same address. It is not ready yet.
     *
     * @param files an empty folder
     */
    public SidecarProcess startSuccessor(Path files) throws IOException {
        return SidecarProcess.startByScript(sidecar.port(), configuration, files, sharedTmp);
    }

    /**
     * Waits until a successor is ready, by its log: a request to the shared address may reach the first process.
     *
     * @throws IOException if it has ended, or is not ready in time
     */
    public static void awaitReady(SidecarProcess successor) throws IOException, InterruptedException {
        long untilNanos = System.nanoTime() + (long) (READY_SECONDS * 1e9);
        while (successor.log().stream().noneMatch(line -> line.contains(READY_LOG_TEXT))) {
            if (System.nanoTime() > untilNanos || !successor.process().isAlive()) {
                throw new IOException("the successor is not ready: " + successor.log());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_MILLIS);
        }
    }

    /** Returns the first process of the sidecar. */
    public SidecarProcess sidecar() {
        return sidecar;
    }

    /** Returns the discovery that publishes the upstreams. */
    public Discovery discovery() {
        return discovery;
    }

    /** Returns the upstreams that run now. */
    public List<ScriptedUpstream> upstreams() {
        return upstreams;
    }

    /** Returns how often any upstream received a request of this id. */
    public long receivedCount(String id) {
        return upstreams.stream()
                .flatMap(upstream -> upstream.receivedIds().stream())
                .filter(id::equals)
                .count();
    }

    /** Stops the process of the sidecar by SIGSTOP; returns once it is stopped. */
    public void stop(Signals signals) throws IOException {
        signals.send(Signals.Signal.STOP, sidecar.process());
        Path stat = Path.of("/proc", Long.toString(sidecar.process().pid()), "stat");
        while (!Files.readString(stat).contains(STOPPED_STATE)) {
            Thread.onSpinWait();
        }
    }

    /** Opens a connection to the sidecar. */
    public Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), sidecar.port());
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(READ_TIMEOUT_MILLIS);
        return socket;
    }

    /**
     * Returns the head of a request.
     *
     * @param requestClass one of the classes: "read" (a safe one), "save" (keyed) or "issue" (unsafe)
     * @param waitMillis how long the client waits for the response
     * @param framing header lines that give the framing of the body, each with its line end; empty without a body
     */
    public static String head(String id, String requestClass, int waitMillis, String framing) {
        String method = requestClass.equals("read") ? "GET" : "POST";
        String key = requestClass.equals("save") ? "Idempotency-Key: key-" + id + "\r\n" : "";
        return method + " /" + requestClass + "/x HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: "
                + requestClass + "\r\nX-Customer: acme\r\nX-Expires-In-Ms: " + waitMillis + "\r\n" + key + framing
                + "\r\n";
    }

    /** Returns a request without a body, or with an empty one where its class wants one. */
    public static byte[] request(String id, String requestClass, int waitMillis) {
        String framing = requestClass.equals("read") ? "" : "Content-Length: 0\r\n";
        return head(id, requestClass, waitMillis, framing).getBytes(ISO_8859_1);
    }

    /** Reads one response and returns its status; {@code -1} if the connection ends before its head. */
    public static int readStatus(HttpReader reader) throws IOException {
        HttpReader.Head head = reader.readHead();
        if (head == null) {
            return CONNECTION_ENDED;
        }
        reader.skipBody(head);
        return head.status();
    }

    @Override
    public void close() throws IOException {
        sidecar.close();
        discovery.close();
        for (ScriptedUpstream upstream : upstreams) {
            upstream.close();
        }
    }
}
