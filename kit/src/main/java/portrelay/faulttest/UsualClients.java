package portrelay.faulttest;

import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import portrelay.standin.DaemonThreads;
import portrelay.standin.HttpReader;

/**
 * Clients that send one request after the other on a connection that they keep, beside others that misbehave. Each
 * sends a request once more, on a new connection, if a kept one ends without a byte of the response. Thread-safe.
 */
public final class UsualClients implements AutoCloseable {

    /** How a request ended for its client. */
    public enum End {
        SERVED,
        REJECTED,
        FAILED,
        /** The connection ended without a whole response. */
        CUT,
        /** The final response, or the end of the connection, came over half a second after its time. */
        LATE
    }

    private static final int PAUSE_MILLIS = 50;
    private static final double MAX_LATE_SECONDS = 0.5;
    private static final int READ_TIMEOUT_MILLIS = 20_000;
    private static final int STOP_SECONDS = 30;
    private static final String[] CLASSES = {"read", "save", "issue"};

    private final int port;
    private final int waitMillis;
    private final CountDownLatch stopped;
    private final Map<End, Integer> ends = new EnumMap<>(End.class);
    private final Queue<String> problems = new ConcurrentLinkedQueue<>();
    private volatile boolean isStopping;

    /**
     * Starts the clients.
     *
     * @param port the loopback port of the sidecar
     * @param waitMillis how long they wait for each response
     */
    public UsualClients(int port, int count, int waitMillis) {
        this.port = port;
        this.waitMillis = waitMillis;
        stopped = new CountDownLatch(count);
        for (int i = 0; i < count; i++) {
            int number = i;
            DaemonThreads.start("usual-client", () -> {
                run(number);
                stopped.countDown();
            });
        }
    }

    private void run(int number) {
        Socket[] kept = new Socket[1];
        for (int i = 0; !isStopping; i++) {
            String id = "usual-" + number + "-" + i;
            long begunNanos = System.nanoTime();
            End end = send(kept, SidecarTestbed.request(id, CLASSES[i % CLASSES.length], waitMillis));
            double seconds = (System.nanoTime() - begunNanos) / 1e9;
            record(id, seconds > waitMillis / 1e3 + MAX_LATE_SECONDS ? End.LATE : end, seconds);
            pause();
        }
        close(kept);
    }

    private synchronized void record(String id, End end, double seconds) {
        ends.merge(end, 1, Integer::sum);
        if (end == End.CUT || end == End.LATE) {
            problems.add(id + " " + end + " after " + seconds + " s");
        }
    }

    private End send(Socket[] kept, byte[] request) {
        if (kept[0] != null) {
            try {
                return exchange(kept, request);
            } catch (IOException e) {
                close(kept);
            }
        }
        try {
            kept[0] = new Socket(InetAddress.getLoopbackAddress(), port);
            kept[0].setTcpNoDelay(true);
            kept[0].setSoTimeout(READ_TIMEOUT_MILLIS);
            return exchange(kept, request);
        } catch (IOException e) {
            close(kept);
            return End.CUT;
        }
    }

    private static End exchange(Socket[] kept, byte[] request) throws IOException {
        kept[0].getOutputStream().write(request);
        HttpReader reader = new HttpReader(kept[0].getInputStream());
        HttpReader.Head head = reader.readHead();
        if (head == null) {
            throw new IOException("closed without a response");
        }
        try {
            reader.skipBody(head);
        } catch (IOException e) {
            close(kept);
            return End.CUT;
        }
        if (head.closesConnection()) {
            close(kept);
        }
        return switch (head.status()) {
            case 200 -> End.SERVED;
            case 429, 503 -> End.REJECTED;
            default -> End.FAILED;
        };
    }

    private static void close(Socket[] kept) {
        try {
            if (kept[0] != null) {
                kept[0].close();
            }
        } catch (IOException e) {
            // Ended by the other side.
        }
        kept[0] = null;
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns how many requests have ended in each way. */
    public synchronized Map<End, Integer> ends() {
        return new EnumMap<>(ends);
    }

    /** Returns a line for each request that was cut off or answered late. */
    public Queue<String> problems() {
        return problems;
    }

    /** Stops the clients; returns once their last requests have ended. */
    @Override
    public void close() throws InterruptedException {
        isStopping = true;
        if (!stopped.await(STOP_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException("clients have not ended");
        }
    }
}
