package portrelay.standin;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * A discovery on loopback that serves one endpoint list from memory: the complete list, and long polls for changes. Can
 * refuse a share of its calls for some time. Thread-safe.
 */
public final class Discovery implements AutoCloseable {

    private static final String PATH = "/discovery/hosts";
    private static final int BACKLOG = 1024;
    private static final int BAD_REQUEST = 400;
    private static final int UNAVAILABLE = 503;
    private static final long NO_VERSION = -1;
    private static final long MAX_WAIT_MILLIS = 60_000;

    /** When a version was written to the first and to the last of its callers, of {@link System#nanoTime}. */
    public record WriteTimes(long first, long last) {}

    private final HttpServer server;
    private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "discovery");
        thread.setDaemon(true);
        return thread;
    });
    private final SplittableRandom random;
    private String allRows = "";
    private String changedRows = "";
    private long version = 1;
    private double refusedShare;
    private long refusingUntil = Long.MIN_VALUE;
    private int calls;
    private int refused;
    private long bytesSent;
    private final Map<Long, WriteTimes> writeTimes = new HashMap<>();

    /**
     * Starts to listen on a free loopback port.
     *
     * @param seed the seed of the random choice of refused calls
     * @throws IOException if no port is free
     */
    public Discovery(long seed) throws IOException {
        random = new SplittableRandom(seed);
        server = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG);
        server.setExecutor(threads);
        server.createContext(PATH, this::handle);
        server.start();
    }

    /** Returns the address as host:port, the form that a configuration uses. */
    public String address() {
        return "127.0.0.1:" + server.getAddress().getPort();
    }

    /**
     * Sets the endpoint list and answers the waiting polls.
     *
     * @param allRows all rows in the protocol's format, without the enclosing brackets
     * @param changedRows the rows that differ from the preceding version, in the same format; null to answer with all
     *     rows
     * @return the new version of the list
     */
    public synchronized long publish(String allRows, String changedRows) {
        this.allRows = allRows;
        this.changedRows = changedRows;
        version++;
        notifyAll();
        return version;
    }

    /** Refuses the given share (0 to 1) of the calls for the given number of seconds from now. */
    public synchronized void refuse(double share, double seconds) {
        refusedShare = share;
        refusingUntil = System.nanoTime() + (long) (seconds * 1e9);
    }

    /** Returns the number of calls so far. */
    public synchronized int calls() {
        return calls;
    }

    /** Returns the number of calls that were refused so far. */
    public synchronized int refused() {
        return refused;
    }

    /** Returns the number of bytes of lists and changes that were sent so far. */
    public synchronized long bytesSent() {
        return bytesSent;
    }

    /** Returns when the version was written to callers; null if nobody has it. */
    public synchronized WriteTimes writeTimes(long listVersion) {
        return writeTimes.get(listVersion);
    }

    private synchronized void recordSent(int bytes, String body) {
        bytesSent += bytes;
        long sentVersion = Long.parseLong(body.substring(body.indexOf(':') + 1, body.indexOf(',')));
        long now = System.nanoTime();
        writeTimes.merge(
                sentVersion, new WriteTimes(now, now), (known, last) -> new WriteTimes(known.first, last.last));
    }

    private static Map<String, Long> parameters(String query) {
        Map<String, Long> parameters = new HashMap<>();
        for (String parameter : query == null ? new String[0] : query.split("&")) {
            int equals = parameter.indexOf('=');
            if (equals > 0) {
                parameters.put(parameter.substring(0, equals), Long.parseLong(parameter.substring(equals + 1)));
            }
        }
        return parameters;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            Map<String, Long> parameters;
            try {
                parameters = parameters(exchange.getRequestURI().getQuery());
            } catch (NumberFormatException e) {
                exchange.sendResponseHeaders(BAD_REQUEST, -1);
                return;
            }
            String body =
                    listResponse(parameters.getOrDefault("index", NO_VERSION), parameters.getOrDefault("wait", 0L));
            if (body == null) {
                exchange.sendResponseHeaders(UNAVAILABLE, -1);
                return;
            }
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            exchange.sendResponseHeaders(200, bytes.length);
            exchange.getResponseBody().write(bytes);
            recordSent(bytes.length, body);
        }
    }

    /** Waits for a version newer than the known one and returns the answer's body; null if the call is refused. */
    private synchronized String listResponse(long knownVersion, long waitMillis) {
        calls++;
        if (System.nanoTime() < refusingUntil && random.nextDouble() < refusedShare) {
            refused++;
            return null;
        }
        if (knownVersion < 0) {
            return "{\"seq\":" + version + ",\"whole\":true,\"hosts\":[" + allRows + "]}";
        }
        long until = System.nanoTime() + Math.min(MAX_WAIT_MILLIS, waitMillis) * 1_000_000;
        try {
            for (long left = until - System.nanoTime();
                    version <= knownVersion && left > 0;
                    left = until - System.nanoTime()) {
                TimeUnit.NANOSECONDS.timedWait(this, left);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return null;
        }
        if (version <= knownVersion) {
            return "{\"seq\":" + version + ",\"whole\":false,\"hosts\":[]}";
        }
        boolean isNext = version == knownVersion + 1 && changedRows != null;
        return "{\"seq\":" + version + ",\"whole\":" + !isNext + ",\"hosts\":[" + (isNext ? changedRows : allRows)
                + "]}";
    }

    @Override
    public void close() {
        server.stop(0);
        threads.shutdownNow();
    }
}
