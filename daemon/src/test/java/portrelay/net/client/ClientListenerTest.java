package portrelay.net.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.FutureTask;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.MonotonicClock;

/** Connections in the listen queue are accepted when the listener closes, and none is established and then reset. */
@Timeout(30)
class ClientListenerTest {

    private static final int MAX_CLIENTS = 100;
    private static final int QUEUED = 3;
    private static final int LONG_QUEUE = 200;
    /** Maximum number of connections of a long queue that are delivered before a timer that is due. */
    private static final int MAX_BEFORE_TIMER = 64;
    /** The same maximum if each connection takes long to handle. */
    private static final int MAX_SLOW_BEFORE_TIMER = 8;

    private static final long SLOW_NANOS = 5_000_000;

    private final BlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();
    /** For each accepted connection, whether the kernel still let others connect when it was delivered. */
    private final List<Boolean> couldOthersConnect = new ArrayList<>();

    /** For each accepted connection, the earliest time at which it may have arrived. */
    private final List<Double> arrivalBounds = new CopyOnWriteArrayList<>();

    private final List<Socket> clients = new ArrayList<>();
    private boolean isClosing;
    private boolean isHandlingSlow;
    private XnioWorker worker;
    private EventLoop loop;
    private ClientListener listener;
    private InetSocketAddress address;

    private interface LoopTask {
        void run() throws IOException;
    }

    @BeforeEach
    void listen() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream(), true, ISO_8859_1), "t");
        loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
        listener = new ClientListener(loop, log, this::accept, () -> {});
        onLoop(() -> listener.listen(worker, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS));
        address = listener.address();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket client : clients) {
            client.close();
        }
        accepted.forEach(IoUtils::safeClose);
        worker.shutdownNow();
    }

    private void accept(StreamConnection connection, double arrivedAfter) {
        accepted.add(connection);
        arrivalBounds.add(arrivedAfter);
        long until = System.nanoTime() + SLOW_NANOS;
        while (isHandlingSlow && System.nanoTime() < until) {
            Thread.onSpinWait();
        }
        if (isClosing) {
            couldOthersConnect.add(canConnect());
        }
    }

    private boolean canConnect() {
        try (Socket other = new Socket(address.getAddress(), address.getPort())) {
            return other.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private void onLoop(LoopTask task) throws Exception {
        FutureTask<Void> done = new FutureTask<>(() -> {
            task.run();
            return null;
        });
        worker.getIoThread().execute(done);
        done.get();
    }

    private void connect() throws IOException {
        clients.add(new Socket(address.getAddress(), address.getPort()));
    }

    /** Guards against time between the last accept and the close: a connection established meanwhile is reset. */
    @Test
    void queuedConnectionsAreDeliveredOnceTheListenerIsClosed() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < QUEUED; i++) {
                connect();
            }
            isClosing = true;
            listener.close();
        });
        assertEquals(QUEUED, accepted.size());
        assertEquals(List.of(false, false, false), couldOthersConnect);
    }

    /** Guards against more time told to an upstream than the client has left, where a crowd connects at once. */
    @Test
    void connectionsOfALaterTurnMayHaveArrivedBeforeTheFirstTurn() throws Exception {
        double[] connectedAt = new double[1];
        onLoop(() -> {
            isHandlingSlow = true;
            for (int i = 0; i < MAX_CLIENTS; i++) {
                connect();
            }
            connectedAt[0] = loop.now();
        });
        while (arrivalBounds.size() < MAX_CLIENTS) {
            Thread.sleep(1);
        }
        double latest =
                arrivalBounds.stream().mapToDouble(Double::doubleValue).max().orElseThrow();
        assertTrue(
                latest - connectedAt[0] < MAX_CLIENTS * SLOW_NANOS / 1e9 / 2,
                "latest bound, after the connects: " + (latest - connectedAt[0]));
    }

    /** Guards against one long turn of the loop for the whole queue, in which no timer of the shutdown fires. */
    @Test
    void dueTimerFiresBeforeALongQueueIsDelivered() throws Exception {
        int delivered = deliveredBeforeADueTimer();
        assertTrue(delivered <= MAX_BEFORE_TIMER, "connections delivered before the timer: " + delivered);
    }

    @Test
    void dueTimerWaitsForFewSlowlyHandledConnections() throws Exception {
        isHandlingSlow = true;
        int delivered = deliveredBeforeADueTimer();
        assertTrue(delivered <= MAX_SLOW_BEFORE_TIMER, "connections delivered before the timer: " + delivered);
    }

    /**
     * Returns how many connections of a long queue are delivered after the close and before a timer that is due; waits
     * until all of them have been delivered.
     */
    private int deliveredBeforeADueTimer() throws Exception {
        CompletableFuture<Integer> deliveredWhenTimerFired = new CompletableFuture<>();
        onLoop(() -> {
            for (int i = 0; i < LONG_QUEUE; i++) {
                connect();
            }
            worker.getIoThread()
                    .executeAfter(() -> deliveredWhenTimerFired.complete(accepted.size()), 0, TimeUnit.MILLISECONDS);
            listener.close();
            assertEquals(LONG_QUEUE, accepted.size() + listener.pendingCount());
        });
        int delivered = deliveredWhenTimerFired.get();
        for (int i = 0; i < LONG_QUEUE; i++) {
            assertNotNull(accepted.poll(5, TimeUnit.SECONDS), "connection not delivered: " + i);
        }
        return delivered;
    }

    @Test
    void closingAtOnceLeavesNoConnectionOpen() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < LONG_QUEUE; i++) {
                connect();
            }
            listener.closeNow();
        });
        assertEquals(0, listener.pendingCount());
        for (Socket client : clients.subList(accepted.size(), LONG_QUEUE)) {
            assertTrue(isClosed(client), "client connection still open");
        }
    }

    private static boolean isClosed(Socket client) throws IOException {
        client.setSoTimeout(5000);
        try {
            return client.getInputStream().read() < 0;
        } catch (SocketException e) {
            return true;
        }
    }

    @Test
    void warmingUpTheCloseLeavesTheListenerOpen() throws Exception {
        onLoop(() -> listener.warmUpClose(worker));
        connect();
        assertNotNull(accepted.poll(5, TimeUnit.SECONDS), "connection not accepted");
    }
}
