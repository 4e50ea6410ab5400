import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** What the cases of this review share: a record, a discovery, HTTP messages, and sidecars started by the deploy file. */
final class Kit2 {

    static final int BROKEN = 1;
    static final int HELD = 0;
    static final int NOT_RUN = 2;

    private static final long START = System.nanoTime();
    private static final List<Sidecar> SIDECARS = new ArrayList<>();
    private static final Set<Integer> PORTS = new HashSet<>();
    private static PrintWriter record;
    private static Path work;

    private Kit2() {}

    interface Case {
        /** Returns whether the rule was broken. */
        boolean run(boolean trouble) throws Exception;
    }

    /** Runs a case in this process, and ends the process with the case's exit code. */
    static void main(Path recordFile, Case test) {
        int code = NOT_RUN;
        try {
            record = new PrintWriter(Files.newBufferedWriter(recordFile), true);
            work = Files.createTempDirectory("portrelay-review-");
            Runtime.getRuntime().addShutdownHook(new Thread(Kit2::cleanUp));
            boolean trouble = !"0".equals(System.getenv("TROUBLE"));
            note("trouble=%s", trouble ? 1 : 0);
            boolean broken = test.run(trouble);
            code = broken ? BROKEN : HELD;
        } catch (Throwable e) {
            note("could not run: %s", e);
            e.printStackTrace(record);
        }
        note("result: %s", code == BROKEN ? "rule broken" : code == HELD ? "rule held" : "could not run");
        System.out.println(code == BROKEN ? "rule broken" : code == HELD ? "rule held" : "could not run");
        System.exit(code);
    }

    private static void cleanUp() {
        synchronized (SIDECARS) {
            SIDECARS.forEach(Sidecar::kill);
        }
        try (Stream<Path> files = Files.walk(work)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // Left in the temporary folder.
        }
    }

    /** Writes a line to record.txt, with the seconds since the start. */
    static synchronized void note(String format, Object... arguments) {
        if (record != null) {
            record.printf(Locale.ROOT, "%8.4f ", (System.nanoTime() - START) / 1e9);
            record.println(String.format(Locale.ROOT, format, arguments));
        }
    }

    static double now() {
        return (System.nanoTime() - START) / 1e9;
    }

    static void sleep(double seconds) throws InterruptedException {
        if (seconds > 0) {
            TimeUnit.NANOSECONDS.sleep((long) (seconds * 1e9));
        }
    }

    static Thread start(String name, Task task) {
        Thread thread = new Thread(null, () -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The other side has closed, or the case is over.
            } catch (Exception e) {
                note("%s ended: %s", name, e);
            }
        }, name, 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    interface Task {
        void run() throws Exception;
    }

    /** Returns a free port below the range from which the system takes ports of outgoing connections. */
    static synchronized int freePort() {
        while (true) {
            int port = 20_000 + ThreadLocalRandom.current().nextInt(12_000);
            try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                if (PORTS.add(probe.getLocalPort())) {
                    return port;
                }
            } catch (IOException e) {
                // Taken: another one.
            }
        }
    }

    static ServerSocket listen() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort()), 1024);
        return listener;
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
            socket.close();
        } catch (IOException e) {
            // Closed already.
        }
    }

    // ---- HTTP -------------------------------------------------------------------------------------------

    /** A message: its first line, its headers by their names in lower case, and its body. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Thrown where a message ends before it is whole. */
    static final class CutOff extends IOException {
        private static final long serialVersionUID = 1;

        CutOff(String message) {
            super(message);
        }
    }

    /** Reads messages from a connection. */
    static final class Reader {
        private final InputStream in;
        long bytes;

        Reader(Socket socket) throws IOException {
            in = new BufferedInputStream(socket.getInputStream());
        }

        private String line() throws IOException {
            ByteArrayOutputStream line = new ByteArrayOutputStream();
            for (int b = in.read(); b >= 0; b = in.read()) {
                bytes++;
                if (b == '\n') {
                    String text = line.toString(StandardCharsets.ISO_8859_1);
                    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
                }
                line.write(b);
            }
            if (line.size() > 0) {
                throw new CutOff("the connection ended in a line");
            }
            return null;
        }

        private byte[] bytes(int count) throws IOException {
            byte[] read = in.readNBytes(count);
            bytes += read.length;
            if (read.length < count) {
                throw new CutOff("the connection ended in a body");
            }
            return read;
        }

        /** Returns the next message; null if the connection ended before its first byte. */
        Message read() throws IOException {
            String firstLine = line();
            if (firstLine == null) {
                return null;
            }
            Map<String, String> headers = new HashMap<>();
            for (String line = line(); ; line = line()) {
                if (line == null) {
                    throw new CutOff("the connection ended in a head");
                }
                if (line.isEmpty()) {
                    break;
                }
                int colon = line.indexOf(':');
                headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
            }
            if (headers.containsKey("transfer-encoding")) {
                return new Message(firstLine, headers, chunks());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            return new Message(firstLine, headers, bytes(length));
        }

        private byte[] chunks() throws IOException {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            while (true) {
                String size = line();
                if (size == null) {
                    throw new CutOff("the connection ended between chunks");
                }
                int count = Integer.parseInt(size.split(";")[0].trim(), 16);
                if (count == 0) {
                    for (String line = line(); line == null || !line.isEmpty(); line = line()) {
                        if (line == null) {
                            throw new CutOff("the connection ended in trailers");
                        }
                    }
                    return body.toByteArray();
                }
                body.write(bytes(count));
                bytes(2);
            }
        }
    }

    static byte[] latin(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    static byte[] ok(String body) {
        return latin("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body);
    }

    // ---- Discovery --------------------------------------------------------------------------------------

    /** A row of the list in the protocol's form. */
    static String row(String host, int port, int block, long bornMs) {
        return "{\"host\":\"" + host + "\",\"dial\":\"127.0.0.1:" + port + "\",\"site\":\"a\",\"class\":\"m\",\"block\":"
                + block + ",\"health\":\"SERVING\",\"share\":1.0,\"born_ms\":" + bornMs + "}";
    }

    /** Answers calls for the whole list, and watches, as the protocol page says. */
    static final class Discovery {
        private final ServerSocket listener = listen();
        private String rows;
        private long version = 1;
        private final Map<Long, Integer> written = new HashMap<>();

        Discovery(String rows) throws IOException {
            this.rows = rows;
            start("discovery", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    start("discovery-call", () -> serve(socket));
                }
            });
        }

        String address() {
            return "127.0.0.1:" + listener.getLocalPort();
        }

        synchronized long publish(String newRows) {
            rows = newRows;
            version++;
            notifyAll();
            return version;
        }

        /** Returns how many watches or calls were answered with this version. */
        synchronized int written(long ofVersion) {
            return written.getOrDefault(ofVersion, 0);
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                Reader reader = new Reader(socket);
                for (Message call = reader.read(); call != null; call = reader.read()) {
                    String target = call.firstLine().split(" ")[1];
                    socket.getOutputStream().write(ok(answer(parameter(target, "index"), parameter(target, "wait"))));
                }
            }
        }

        private static long parameter(String target, String name) {
            Matcher matcher = Pattern.compile("[?&]" + name + "=(\\d+)").matcher(target);
            return matcher.find() ? Long.parseLong(matcher.group(1)) : -1;
        }

        private synchronized String answer(long known, long waitMillis) throws InterruptedException {
            long until = System.nanoTime() + waitMillis * 1_000_000;
            for (long left = until - System.nanoTime(); known >= version && left > 0; left = until - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, left);
            }
            boolean changed = known < version;
            if (changed) {
                written.merge(version, 1, Integer::sum);
            }
            return "{\"seq\":" + version + ",\"whole\":" + changed + ",\"hosts\":[" + (changed ? rows : "") + "]}";
        }
    }

    // ---- Sidecars ---------------------------------------------------------------------------------------

    /** A sidecar in a process of its own, started by the command `run` of the deploy file. */
    static final class Sidecar {
        final int port = freePort();
        final int admin = freePort();
        private final Path files;
        Process process;

        Sidecar(String name) throws IOException {
            files = Files.createDirectories(work.resolve(name));
        }

        void start(String configuration) throws IOException {
            Path root = Path.of(System.getProperty("portrelay.root"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*?)\"").matcher(Files.readString(root.resolve("deploy/balancer.toml")));
            if (!run.find()) {
                throw new IOException("no run in the deploy file");
            }
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1)).directory(root.toFile());
            builder.environment().put("LB_CONFIG", Files.writeString(files.resolve("config.json"), configuration).toString());
            builder.environment().put("TMPDIR", Files.createDirectories(files.resolve("tmp")).toString());
            builder.redirectErrorStream(true).redirectOutput(files.resolve("log").toFile());
            process = builder.start();
            synchronized (SIDECARS) {
                SIDECARS.add(this);
            }
            String pids = System.getProperty("portrelay.pids");
            if (pids != null) {
                Files.writeString(Path.of(pids), process.pid() + "\n", StandardOpenOption.CREATE, StandardOpenOption.APPEND);
            }
        }

        void awaitReady(double seconds) throws Exception {
            double until = now() + seconds;
            while (true) {
                try (Socket socket = connect(port)) {
                    socket.setSoTimeout(1000);
                    socket.getOutputStream().write(latin("GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n"));
                    Message answer = new Reader(socket).read();
                    if (answer != null && answer.status() == 200) {
                        return;
                    }
                } catch (IOException e) {
                    // Not yet.
                }
                if (now() > until || !process.isAlive()) {
                    throw new IOException("the sidecar is not ready: " + Files.readString(files.resolve("log")));
                }
                Kit2.sleep(0.05);
            }
        }

        /** Makes an operator's call; returns the status of its answer. */
        int call(String path) throws IOException {
            try (Socket socket = connect(admin)) {
                socket.setSoTimeout(2000);
                socket.getOutputStream().write(latin("PUT " + path + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\n\r\n"));
                Message answer = new Reader(socket).read();
                if (answer == null) {
                    throw new EOFException("no answer to " + path);
                }
                return answer.status();
            }
        }

        void kill() {
            if (process != null) {
                process.destroyForcibly();
            }
        }
    }

    /** Returns a request class of the settings. */
    static String requestClass(String name, String effect, String group, int aimMs, int deadlineMs, int windowMs) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group + "\",\"aim-us\":" + aimMs
                + "000,\"hard-limit-us\":" + deadlineMs + "000,\"dedup-window-us\":" + windowMs
                + "000,\"worth\":5.0,\"late-worth\":0.2,\"streaming\":false}";
    }

    /** Returns a configuration in the form of the deployment page. */
    static String configuration(Sidecar sidecar, int number, String discovery, String rows, int memoryMb, int sockets, String settings) {
        return "{\"name\":\"n" + number + "\",\"listen\":\"127.0.0.1:" + sidecar.port + "\",\"mgmt\":\"127.0.0.1:"
                + sidecar.admin + "\",\"discovery\":\"" + discovery + "\",\"seed\":\""
                + Long.toHexString(ThreadLocalRandom.current().nextLong(1, Long.MAX_VALUE))
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":" + memoryMb + ",\"sockets\":" + sockets
                + "},\"known\":{\"seq\":1,\"whole\":true,\"hosts\":[" + rows + "]},\"settings\":" + settings + "}";
    }

    /** Returns settings with the figures of idukki-maps, for sidecars that exchange no messages. */
    static String idukkiSettings() {
        return "{\"classes\":[" + requestClass("tile-read", "read_like", "all", 300, 600, 5000) + ","
                + requestClass("route-save", "idempotency_key", "cell", 600, 2000, 1200) + ","
                + requestClass("permit-issue", "non_idempotent", "all", 600, 2000, 5000)
                + "],\"tenants\":[{\"name\":\"munnar\",\"share\":1.0,\"quota-per-s\":1000.0}],"
                + "\"allowed\":{\"cancel\":true,\"parallel-tries\":true,\"probes\":false,\"peers\":false,"
                + "\"streams-per-conn\":1,\"retry-after\":true,\"max-retry-after-us\":2000000,\"max-attempts\":6,"
                + "\"dial-timeout-us\":120000,\"conn-idle-us\":10000000},"
                + "\"invariants\":{\"ask-within-us\":10000000,\"cold-share\":0.32,\"cold-us\":8100000,"
                + "\"overload-factor\":4.0,\"tip-after-us\":3000000,\"drain-grace-us\":500000,"
                + "\"grace-to-answer-us\":20000},\"discovery\":\"on_request\",\"siblings\":1,\"me\":0,"
                + "\"dcs\":[\"a\"],\"zone\":\"a\",\"load-report\":{\"how\":\"silent\",\"columns\":[]},\"weights\":\"nominal\"}";
    }

    /** Returns settings with the figures of thraki-monitoring. */
    static String thrakiSettings(int sidecars, int number) {
        return "{\"classes\":[" + requestClass("turbine-status", "read_like", "all", 300, 1500, 5000) + ","
                + requestClass("power-curve", "read_like", "all", 400, 1000, 5000) + "],\"tenants\":[],"
                + "\"allowed\":{\"cancel\":true,\"parallel-tries\":false,\"probes\":true,\"peers\":false,"
                + "\"streams-per-conn\":1,\"retry-after\":true,\"max-retry-after-us\":750000,\"max-attempts\":6,"
                + "\"dial-timeout-us\":150000,\"conn-idle-us\":60000000},"
                + "\"invariants\":{\"ask-within-us\":10000000,\"cold-share\":0.19,\"cold-us\":23000000,"
                + "\"overload-factor\":3.0,\"tip-after-us\":1500000,\"drain-grace-us\":500000,"
                + "\"grace-to-answer-us\":20000},\"discovery\":\"on_request\",\"siblings\":" + sidecars + ",\"me\":"
                + number + ",\"dcs\":[\"a\",\"b\"],\"zone\":\"a\",\"load-report\":{\"how\":\"silent\",\"columns\":[]},"
                + "\"weights\":\"silent\"}";
    }

    /** Returns the head of a request in the form of the protocol page. */
    static String head(String method, String target, String id, String requestClass, int millis, String more) {
        return method + " " + target + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + requestClass
                + "\r\nX-Customer: munnar\r\nX-Expires-In-Ms: " + millis + "\r\n" + more + "\r\n";
    }
}
