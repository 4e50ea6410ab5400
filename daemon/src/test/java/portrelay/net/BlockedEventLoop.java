package portrelay.net;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import portrelay.net.eventloop.EventLoop;

/**
 * Blocks an event loop until it is released: bytes, connections and tasks that arrive meanwhile wait in the kernel or
 * in a mailbox, and the loop handles them in one iteration after its release.
 *
 * <p>The methods that wait for an arrival read the kernel's table of connections, and fail the test after 5 s.
 */
final class BlockedEventLoop implements AutoCloseable {

    /** The other end of a connection in the kernel's table: state 01 is established, 08 is closed by its peer. */
    private record End(String state, long unread) {}

    private static final String ESTABLISHED = "01";
    private static final long TIMEOUT_NANOS = 5_000_000_000L;

    private final CountDownLatch released = new CountDownLatch(1);

    /** Blocks the loop; returns once it is blocked. */
    BlockedEventLoop(EventLoop loop) throws InterruptedException {
        CountDownLatch blocked = new CountDownLatch(1);
        loop.execute(() -> {
            blocked.countDown();
            try {
                released.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        if (!blocked.await(5, TimeUnit.SECONDS)) {
            throw new AssertionError("the event loop does not run");
        }
    }

    void release() {
        released.countDown();
    }

    @Override
    public void close() {
        release();
    }

    /** Runs the task on the loop and returns once it has run. */
    static void runOn(EventLoop loop, Runnable task) throws Exception {
        FutureTask<Void> done = new FutureTask<>(task, null);
        loop.execute(done);
        done.get(5, TimeUnit.SECONDS);
    }

    /** Returns once the loop has polled the kernel and handled the ready events eight times. */
    static void awaitPolls(EventLoop loop) throws Exception {
        for (int i = 0; i < 8; i++) {
            CountDownLatch polled = new CountDownLatch(1);
            loop.execute(() -> loop.afterPoll(polled::countDown));
            if (!polled.await(5, TimeUnit.SECONDS)) {
                throw new AssertionError("the event loop does not run");
            }
        }
    }

    /**
     * Returns once at least so many bytes from this socket are unread at the other end, whether or not that has
     * accepted the connection.
     */
    static void awaitUnread(Socket socket, int bytes) throws Exception {
        await(socket, "unread bytes", end -> end != null && end.unread >= bytes);
    }

    /** Returns once the close of this socket, from the local port, has arrived at the other end. */
    static void awaitClosed(Socket socket, int localPort, int port) throws Exception {
        await(localPort, port, "close", end -> end == null || !end.state.equals(ESTABLISHED));
    }

    private interface Condition {
        boolean holds(End end);
    }

    private static void await(Socket socket, String what, Condition condition) throws Exception {
        await(socket.getLocalPort(), socket.getPort(), what, condition);
    }

    private static void await(int localPort, int remotePort, String what, Condition condition) throws Exception {
        long deadlineNanos = System.nanoTime() + TIMEOUT_NANOS;
        while (!condition.holds(end(remotePort, localPort))) {
            if (System.nanoTime() > deadlineNanos) {
                throw new AssertionError("no " + what + " from " + localPort + " in the kernel at " + remotePort);
            }
            Thread.onSpinWait();
        }
    }

    /** Returns the end at this port, or null where the kernel has none. */
    private static End end(int port, int otherPort) throws Exception {
        for (String table : new String[] {"/proc/net/tcp", "/proc/net/tcp6"}) {
            Path file = Path.of(table);
            if (!Files.exists(file)) {
                continue;
            }
            for (String line : Files.readString(file, US_ASCII).split("\n")) {
                String[] fields = line.trim().split("\\s+");
                if (fields.length > 5 && fields[1].endsWith(hex(port)) && fields[2].endsWith(hex(otherPort))) {
                    return new End(fields[3], Long.parseLong(fields[4].substring(fields[4].indexOf(':') + 1), 16));
                }
            }
        }
        return null;
    }

    private static String hex(int port) {
        return String.format(":%04X", port);
    }
}
