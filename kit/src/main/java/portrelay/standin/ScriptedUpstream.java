package portrelay.standin;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.OutputStream;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

/**
 * An upstream on loopback that runs a script for each request whose head it has read, on a thread for each connection.
 * Records the ids of the requests. Thread-safe.
 */
public final class ScriptedUpstream implements AutoCloseable {

    /** What an upstream does with one request. */
    public interface Script {

        /**
         * Reads the body and answers. An exception closes the connection.
         *
         * @param head the head of the request, which has been read
         * @param reader reads the rest of the request
         * @param connection the connection, for answers and for a close
         */
        void serve(HttpReader.Head head, HttpReader reader, Socket connection) throws Exception;
    }

    private static final int BACKLOG = 1024;
    private static final int MAX_BINDS = 100;
    private static final int BIND_PAUSE_MILLIS = 10;
    /** Small, so that the sidecar notices when a script reads slowly. */
    private static final int RECEIVE_BUFFER_BYTES = 64 * 1024;

    private final ServerSocket listener;
    private final Script script;
    private final Queue<String> receivedIds = new ConcurrentLinkedQueue<>();
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();

    /**
     * Starts to listen.
     *
     * @param port a loopback port, or 0 for one that the system chooses
     * @throws IOException if the port is taken
     */
    public ScriptedUpstream(int port, Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        bind(listener, new InetSocketAddress(InetAddress.getLoopbackAddress(), port));
        DaemonThreads.start("upstream", this::acceptAll);
    }

    /** The listener before this one may hold the address for a moment after its close. */
    private static void bind(ServerSocket listener, InetSocketAddress address) throws IOException {
        for (int tries = 1; !listener.isBound(); tries++) {
            try {
                listener.bind(address, BACKLOG);
            } catch (BindException e) {
                if (tries == MAX_BINDS) {
                    throw e;
                }
                pause();
            }
        }
    }

    private static void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(BIND_PAUSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Returns a script that reads the request and answers it with status 200 and the given text. */
    public static Script answering(String text) {
        return (head, reader, connection) -> {
            reader.skipBody(head);
            connection
                    .getOutputStream()
                    .write(("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text)
                            .getBytes(ISO_8859_1));
        };
    }

    /** Returns the loopback port on which it listens. */
    public int port() {
        return listener.getLocalPort();
    }

    /** Returns the ids of all requests whose heads have been read, in that order. */
    public Queue<String> receivedIds() {
        return receivedIds;
    }

    private void acceptAll() {
        try {
            while (true) {
                Socket connection = listener.accept();
                connection.setTcpNoDelay(true);
                connections.add(connection);
                DaemonThreads.start("upstream-connection", () -> serveAll(connection));
            }
        } catch (IOException e) {
            // The listener was closed.
        }
    }

    private void serveAll(Socket connection) {
        try (connection;
                OutputStream out = connection.getOutputStream()) {
            HttpReader reader = new HttpReader(connection.getInputStream());
            for (HttpReader.Head head = reader.readHead(); head != null; head = reader.readHead()) {
                receivedIds.add(String.valueOf(head.header("x-trace-id")));
                script.serve(head, reader, connection);
                out.flush();
            }
        } catch (Exception e) {
            // Closed by the other side or by the script.
        } finally {
            connections.remove(connection);
        }
    }

    private static void reset(Socket connection) throws IOException {
        try {
            connection.setSoLinger(true, 0);
        } catch (SocketException e) {
            // Its script has closed it.
        }
        connection.close();
    }

    /** Stops to listen and closes all connections, as the end of a process does. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            reset(connection);
        }
    }
}
