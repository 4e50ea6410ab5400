package portrelay.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectableChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Many upstreams on loopback, each with an address of its own, served by one thread. Answers a request after a random
 * delay with a body that belongs to its id ({@link MessageBody}); a share of the exchanges goes wrong in one of the
 * ways of {@link ExchangeScript.Trouble}. Records each complete request, all bytes that are no request, and what had
 * arrived of a request when its connection ended. Thread-safe.
 */
public final class UpstreamFleet implements AutoCloseable {

    private static final int READ_BYTES = 64 * 1024;
    private static final int ADDRESSES_PER_BLOCK = 250;

    /**
     * A request that arrived completely.
     *
     * @param upstream the number of the upstream that received it
     * @param id the request id; null without one
     * @param line the method, the target and the version
     * @param bodyBytes the length of the body
     * @param hasBodyOfId whether all bytes of the body belong to the request id
     * @param key the idempotency key; null without one
     * @param toldSeconds how long the sidecar says that it will wait; NaN if it doesn't say
     * @param beganAt when its first byte was read, of {@link System#nanoTime}
     * @param beganAfter a time at which its first byte had not arrived yet, however late it was read
     */
    public record Arrival(
            int upstream,
            String id,
            String line,
            int bodyBytes,
            boolean hasBodyOfId,
            String key,
            double toldSeconds,
            long beganAt,
            long beganAfter) {}

    /** Bytes that are no request, and the number of the upstream that received them. */
    public record Malformed(int upstream, String bytes) {}

    /** The beginning of a request whose connection ended before its last byte arrived. */
    public record Unfinished(int upstream, String bytes) {}

    private record Task(long dueAt, Runnable action) {}

    private final List<ServerSocketChannel> listeners = new ArrayList<>();
    private final Selector selector;
    private final ExchangeScript script;
    private final PriorityQueue<Task> tasks = new PriorityQueue<>(Comparator.comparingLong(Task::dueAt));
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Malformed> malformed = new ConcurrentLinkedQueue<>();
    private final Queue<Unfinished> unfinished = new ConcurrentLinkedQueue<>();
    private final AtomicInteger connections = new AtomicInteger();
    /** When the selector last looked for events: what is read now arrived after the time before that one. */
    private long polledAt = System.nanoTime();

    private long polledBeforeAt = polledAt;
    private final ByteBuffer readBuffer = ByteBuffer.allocate(READ_BYTES);
    private volatile double troubledShare;
    /** Upstreams from this number on reset each connection. */
    private volatile int firstRefusing = Integer.MAX_VALUE;

    private volatile boolean isClosed;

    /**
     * Starts to listen on loopback addresses with ports that the system chooses.
     *
     * @param seed the seed of the delays, lengths and troubles
     */
    public UpstreamFleet(int count, long seed) throws IOException {
        script = new ExchangeScript(seed);
        selector = Selector.open();
        for (int i = 0; i < count; i++) {
            ServerSocketChannel listener = ServerSocketChannel.open();
            listener.bind(new InetSocketAddress(hostOf(i), 0));
            listener.configureBlocking(false);
            listener.register(selector, SelectionKey.OP_ACCEPT, i);
            listeners.add(listener);
        }
        DaemonThreads.start("upstreams", this::run);
    }

    /** Returns the address of the upstream as host:port, the form that an endpoint list uses. */
    public String address(int upstream) {
        return hostOf(upstream) + ":" + listeners.get(upstream).socket().getLocalPort();
    }

    /** Returns the number of upstreams. */
    public int size() {
        return listeners.size();
    }

    /** Sets the share (0 to 1) of the exchanges that go wrong from now on. */
    public void setTroubledShare(double share) {
        troubledShare = share;
    }

    /** Makes the upstreams from the given number on reset each connection from now on. */
    public void refuseFrom(int upstream) {
        firstRefusing = upstream;
    }

    /** Returns the requests that have arrived completely so far. */
    public List<Arrival> arrivals() {
        return List.copyOf(arrivals);
    }

    /** Returns what arrived so far and is no request. */
    public List<Malformed> malformed() {
        return List.copyOf(malformed);
    }

    /** Returns the beginnings of requests whose connections ended before the rest arrived. */
    public List<Unfinished> unfinished() {
        return List.copyOf(unfinished);
    }

    /** Returns the number of connections that were accepted so far. */
    public int connections() {
        return connections.get();
    }

    private static String hostOf(int upstream) {
        return "127." + (1 + upstream / (ADDRESSES_PER_BLOCK * ADDRESSES_PER_BLOCK)) + "."
                + upstream / ADDRESSES_PER_BLOCK % ADDRESSES_PER_BLOCK + "." + (1 + upstream % ADDRESSES_PER_BLOCK);
    }

    private void run() {
        try {
            while (!isClosed) {
                selector.select(millisToNextTask());
                polledBeforeAt = polledAt;
                polledAt = System.nanoTime();
                runDueTasks();
                for (SelectionKey key : selector.selectedKeys()) {
                    handle(key);
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException e) {
            throw new IllegalStateException("the upstreams have ended", e);
        } finally {
            closeAll();
        }
    }

    /** Returns the time to wait for events; 0 means without a limit, as {@link Selector#select} has it. */
    private long millisToNextTask() {
        return tasks.isEmpty() ? 0 : Math.max(1, (tasks.peek().dueAt - System.nanoTime()) / 1_000_000);
    }

    private void runDueTasks() {
        while (!tasks.isEmpty() && tasks.peek().dueAt <= System.nanoTime()) {
            tasks.poll().action.run();
        }
    }

    /** Runs an action on the upstreams' thread after some time. */
    void schedule(double delaySeconds, Runnable action) {
        tasks.add(new Task(System.nanoTime() + (long) (delaySeconds * 1e9), action));
    }

    private void handle(SelectionKey key) throws IOException {
        if (!key.isValid()) {
            return;
        }
        if (key.isAcceptable()) {
            acceptAll((ServerSocketChannel) key.channel(), (Integer) key.attachment());
        } else {
            UpstreamConnection connection = (UpstreamConnection) key.attachment();
            if (key.isReadable()) {
                connection.read();
            }
            if (key.isValid() && key.isWritable()) {
                connection.write();
            }
        }
    }

    /** Accepts all connections that wait: what the next poll finds has arrived after this one. */
    private void acceptAll(ServerSocketChannel listener, int upstream) throws IOException {
        for (SocketChannel channel = listener.accept(); channel != null; channel = listener.accept()) {
            accepted(channel, upstream);
        }
    }

    private void accepted(SocketChannel channel, int upstream) throws IOException {
        connections.incrementAndGet();
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
        channel.configureBlocking(false);
        UpstreamConnection connection = new UpstreamConnection(this, upstream, channel);
        connection.setKey(channel.register(selector, SelectionKey.OP_READ, connection));
        if (upstream >= firstRefusing) {
            connection.reset();
        }
    }

    private void closeAll() {
        try {
            for (SelectionKey key : selector.keys()) {
                SelectableChannel channel = key.channel();
                channel.close();
            }
            selector.close();
        } catch (IOException e) {
            throw new IllegalStateException("the upstreams are not closed", e);
        }
    }

    @Override
    public void close() {
        isClosed = true;
        selector.wakeup();
    }

    // ---- Called by the connections, on the upstreams' thread --------------------------------------------

    void record(Arrival arrival) {
        arrivals.add(arrival);
    }

    void record(Malformed bytes) {
        malformed.add(bytes);
    }

    void record(Unfinished bytes) {
        unfinished.add(bytes);
    }

    /** Returns a time before everything that is read now had arrived. */
    long polledBeforeAt() {
        return polledBeforeAt;
    }

    /** Returns the buffer that all connections read with, one at a time. */
    ByteBuffer readBuffer() {
        return readBuffer;
    }

    ExchangeScript script() {
        return script;
    }

    double troubledShare() {
        return troubledShare;
    }
}
