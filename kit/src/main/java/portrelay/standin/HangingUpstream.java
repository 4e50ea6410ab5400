package portrelay.standin;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;

/**
 * An upstream on loopback that answers requests with 200 after a random delay, and leaves a share of them unanswered.
 * Records each request that arrived completely. Uses a thread for each connection; thread-safe.
 */
public final class HangingUpstream implements AutoCloseable {

    /** The bounds of the delays, in seconds. */
    private static final double MIN_DELAY = 0.005;

    private static final double MAX_DELAY = 0.3;
    /** Skews the random delays: most are short, some are long. */
    private static final double DELAY_EXPONENT = 3;

    private static final int BACKLOG = 1024;
    private static final byte[] RESPONSE = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok".getBytes(ISO_8859_1);

    /**
     * A request that arrived completely.
     *
     * @param id the request id
     * @param arrivedAt when its last byte arrived, of {@link System#nanoTime}
     */
    public record Arrival(String id, long arrivedAt) {}

    private final ServerSocket listener;
    private final SplittableRandom random;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final List<Socket> connections = new CopyOnWriteArrayList<>();
    private volatile double hangingShare;

    /**
     * Starts to listen on a free loopback port.
     *
     * @param seed the seed of the delays and of the choice of unanswered requests
     * @throws IOException if no port is free
     */
    public HangingUpstream(long seed) throws IOException {
        random = new SplittableRandom(seed);
        listener = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        DaemonThreads.start("upstream", this::accept);
    }

    /** Returns the address as host:port, the form that an endpoint list uses. */
    public String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Leaves the given share (0 to 1) of the requests unanswered from now on. */
    public void setHangingShare(double share) {
        hangingShare = share;
    }

    /** Returns the requests that have arrived completely so far. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    private synchronized double nextRandom() {
        return random.nextDouble();
    }

    private void accept() {
        try {
            while (true) {
                Socket connection = listener.accept();
                connections.add(connection);
                connection.setTcpNoDelay(true);
                DaemonThreads.start("upstream-connection", () -> serve(connection));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serve(Socket connection) {
        try (connection) {
            HttpReader reader = new HttpReader(connection.getInputStream());
            for (HttpReader.Head head = reader.readHead(); head != null; head = reader.readHead()) {
                reader.skipBody(head);
                arrivals.add(new Arrival(head.header("x-trace-id"), System.nanoTime()));
                if (nextRandom() >= hangingShare) {
                    double delay = MIN_DELAY + (MAX_DELAY - MIN_DELAY) * Math.pow(nextRandom(), DELAY_EXPONENT);
                    TimeUnit.MICROSECONDS.sleep((long) (delay * 1e6));
                    connection.getOutputStream().write(RESPONSE);
                }
            }
        } catch (IOException e) {
            // Closed by the other side, or by close().
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.close();
        }
    }
}
