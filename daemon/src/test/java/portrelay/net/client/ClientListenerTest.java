package portrelay.net.client;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
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
import portrelay.net.eventloop.Log;

/** Who is in the listen queue as the listener closes is accepted, and nobody is let in and then reset. */
@Timeout(30)
class ClientListenerTest {

    private static final int MAX_CLIENTS = 100;
    private static final int QUEUED = 3;

    private final BlockingQueue<StreamConnection> accepted = new LinkedBlockingQueue<>();
    /** For each that was accepted, whether the kernel still let others connect as it was handed on. */
    private final List<Boolean> letOthersIn = new ArrayList<>();

    private final List<Socket> clients = new ArrayList<>();
    private boolean isClosing;
    private XnioWorker worker;
    private ClientListener listener;
    private InetSocketAddress address;

    private interface Task {
        void run() throws IOException;
    }

    @BeforeEach
    void listen() throws Exception {
        worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream(), true, ISO_8859_1), "t");
        listener = new ClientListener(log, this::accept, () -> {});
        onLoop(() -> listener.listen(worker, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), MAX_CLIENTS));
        address = listener.address();
    }

    @AfterEach
    void close() throws Exception {
        for (Socket each : clients) {
            each.close();
        }
        accepted.forEach(IoUtils::safeClose);
        worker.shutdownNow();
    }

    private void accept(StreamConnection connection) {
        accepted.add(connection);
        if (isClosing) {
            letOthersIn.add(letsIn());
        }
    }

    private boolean letsIn() {
        try (Socket other = new Socket(address.getAddress(), address.getPort())) {
            return other.isConnected();
        } catch (IOException e) {
            return false;
        }
    }

    private void onLoop(Task task) throws Exception {
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

    /** Guards against time between the last accept and the close: whom the kernel lets in meanwhile is reset. */
    @Test
    void theQueueIsHandedOnOnceTheListenerIsClosed() throws Exception {
        onLoop(() -> {
            for (int i = 0; i < QUEUED; i++) {
                connect();
            }
            isClosing = true;
            listener.close();
        });
        assertEquals(QUEUED, accepted.size());
        assertEquals(List.of(false, false, false), letOthersIn);
    }

    @Test
    void warmingUpTheCloseLeavesTheListenerOpen() throws Exception {
        onLoop(() -> listener.warmUpClose(worker));
        connect();
        assertNotNull(accepted.poll(5, TimeUnit.SECONDS), "not accepted");
    }
}
