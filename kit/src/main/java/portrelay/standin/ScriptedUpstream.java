package portrelay.standin;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

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
        listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), BACKLOG);
        DaemonThreads.start("upstream", this::acceptAll);
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

    /** Stops to listen and closes all connections, as the end of a process does. */
    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket connection : connections) {
            connection.setSoLinger(true, 0);
            connection.close();
        }
    }
}
