package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.logging.LogManager;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;

/**
 * Runs a sidecar on loopback together with scripted upstreams and a scripted discovery, and connects clients to it.
 *
 * <p>Sockets that the tests open here time out after 5 s without a byte. {@link #close} closes the sidecar, the servers
 * and the clients.
 */
public final class SidecarFixture implements AutoCloseable {

    /**
     * One HTTP message as it was received.
     *
     * @param startLine the request line or status line
     * @param headers by name in lower case; the last one holds where a name is repeated
     * @param body empty without a Content-Length
     */
    record Message(String startLine, Map<String, String> headers, byte[] body) {

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        /** Reads the next message, or returns null at the end of the stream. */
        static Message read(InputStream in) throws IOException {
            String startLine = line(in);
            if (startLine == null) {
                return null;
            }
            Map<String, String> headers = new LinkedHashMap<>();
            for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
                int colon = line.indexOf(':');
                String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
                headers.put(name, line.substring(colon + 1).trim());
            }
            int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
            return new Message(startLine, headers, in.readNBytes(length));
        }

        private static String line(InputStream in) throws IOException {
            StringBuilder line = new StringBuilder();
            for (int c = in.read(); c != '\n'; c = in.read()) {
                if (c < 0) {
                    return null;
                }
                line.append(c == '\r' ? "" : (char) c);
            }
            return line.toString();
        }
    }

    /** The reaction of a scripted server to a message: it may write to the connection, close it or do nothing. */
    interface Script {
        void run(Message message, Socket connection) throws Exception;
    }

    /** Responds with this status line, after its HTTP version, and this body. */
    static Script answer(String status, String body) {
        return (message, connection) -> connection
                .getOutputStream()
                .write(("HTTP/1.1 " + status + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body)
                        .getBytes(ISO_8859_1));
    }

    /** Writes these bytes and leaves the connection open. */
    static Script sendBytes(String bytes) {
        return (message, connection) -> connection.getOutputStream().write(bytes.getBytes(ISO_8859_1));
    }

    /** Writes these bytes and closes the connection. */
    static Script sendBytesAndClose(String bytes) {
        return (message, connection) -> {
            sendBytes(bytes).run(message, connection);
            connection.close();
        };
    }

    /** Leaves the message unanswered and the connection open. */
    static final Script SILENT = (message, connection) -> {};

    /** Resets the connection. */
    static final Script RESET = (message, connection) -> {
        connection.setSoLinger(true, 0);
        connection.close();
    };

    /**
     * A server on loopback that runs its script for each message and records the messages.
     *
     * <p>Each connection has a thread of its own. Tests take messages from {@link #received}, and connections that are
     * over, closed by either side, from {@link #closed}; {@link #accepted} keeps all connections in their order. A new
     * script takes effect with the next message.
     */
    static final class ScriptedServer implements AutoCloseable {

        final ServerSocket serverSocket;
        final BlockingQueue<Message> received = new LinkedBlockingQueue<>();
        final BlockingQueue<Socket> closed = new LinkedBlockingQueue<>();
        final List<Socket> accepted = new CopyOnWriteArrayList<>();
        volatile Script script;

        ScriptedServer(Script script) throws IOException {
            this(script, 0);
        }

        /** @param port the port to listen on, 0 for any */
        ScriptedServer(Script script, int port) throws IOException {
            serverSocket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
            this.script = script;
            Thread thread = new Thread(this::accept);
            thread.setDaemon(true);
            thread.start();
        }

        String address() {
            return "127.0.0.1:" + serverSocket.getLocalPort();
        }

        /** Takes the next message; fails the test after 5 s without one. */
        Message next() throws InterruptedException {
            Message message = received.poll(5, TimeUnit.SECONDS);
            if (message == null) {
                throw new AssertionError("no message within 5 s");
            }
            return message;
        }

        private void accept() {
            try {
                while (true) {
                    Socket connection = serverSocket.accept();
                    accepted.add(connection);
                    Thread thread = new Thread(() -> serve(connection));
                    thread.setDaemon(true);
                    thread.start();
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket connection) {
            try {
                InputStream in = connection.getInputStream();
                for (Message message = Message.read(in); message != null; message = Message.read(in)) {
                    received.add(message);
                    script.run(message, connection);
                }
            } catch (Exception e) {
                // Closed by either side.
            }
            closed.add(connection);
        }

        @Override
        public void close() throws IOException {
            serverSocket.close();
            for (Socket connection : accepted) {
                connection.close();
            }
        }
    }

    final ScriptedServer discovery = new ScriptedServer(SILENT);
    final List<ScriptedServer> upstreams = new ArrayList<>();
    final List<Socket> clients = new CopyOnWriteArrayList<>();
    final Sidecar sidecar;

    SidecarFixture(Script... scripts) throws Exception {
        this(1024, scripts);
    }

    SidecarFixture(int sockets, Script... scripts) throws Exception {
        this(sockets, "{}", scripts);
    }

    /**
     * @param sockets the limit of sockets in the configuration
     * @param admission the configuration's section on admission, as JSON
     */
    SidecarFixture(int sockets, String admission, Script... scripts) throws Exception {
        this(sockets, admission, config -> config, scripts);
    }

    /**
     * Starts the upstreams, one for each script with ids s-0, s-1 and so on, and a sidecar that knows them as serving.
     *
     * @param sockets the limit of sockets in the configuration
     * @param admission the configuration's section on admission, as JSON
     * @param adjustment makes the configuration from the usual one
     */
    SidecarFixture(int sockets, String admission, UnaryOperator<String> adjustment, Script... scripts)
            throws Exception {
        LogManager.getLogManager().reset();
        StringBuilder rows = new StringBuilder();
        for (Script script : scripts) {
            upstreams.add(new ScriptedServer(script));
            rows.append(rows.length() == 0 ? "" : ",").append(endpointRow(upstreams.size() - 1, "SERVING"));
        }
        String list = "{\"seq\":7,\"whole\":true,\"hosts\":[" + rows + "]}";
        SidecarConfig config = SidecarConfig.parse(adjustment
                        .apply(config(discovery.address(), list, sockets))
                        .getBytes(UTF_8))
                .withAdmission(admission.getBytes(UTF_8));
        sidecar = Sidecar.start(config, new PrintStream(OutputStream.nullOutputStream()));
    }

    /** Returns the row of this upstream in an endpoint list. */
    String endpointRow(int upstream, String health) {
        return endpointRow("s-" + upstream, upstreams.get(upstream).address(), health);
    }

    /** Returns a row of an endpoint list. */
    static String endpointRow(String name, String address, String health) {
        return "{\"host\":\"" + name + "\",\"dial\":\"" + address
                + "\",\"site\":\"a\",\"class\":\"m\",\"block\":1,\"health\":\"" + health
                + "\",\"share\":1.0,\"born_ms\":0}";
    }

    /**
     * Sets the latency objective and the longest deadline of each request class to 9 s instead of 0.6 s and 1 s, for
     * tests in which no deadline may pass, however busy the machine is.
     */
    static UnaryOperator<String> longDeadlines() {
        return config -> config.replace(
                "\"aim-us\":600000,\"hard-limit-us\":1000000", "\"aim-us\":9000000,\"hard-limit-us\":9000000");
    }

    /**
     * Returns the usual configuration of a sidecar named t.
     *
     * @param discovery the address of discovery
     * @param endpointList the list of endpoints that the sidecar starts with, as JSON
     * @param sockets the limit of sockets
     */
    public static String config(String discovery, String endpointList, int sockets) {
        return "{\"name\":\"t\",\"listen\":\"127.0.0.1:0\",\"mgmt\":\"127.0.0.1:0\","
                + "\"discovery\":\"" + discovery
                + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"sockets\":" + sockets + "},\"known\":"
                + endpointList + ",\"settings\":{\"discovery\":\"on_request\",\"siblings\":1,"
                + "\"tenants\":[{\"name\":\"acme\",\"share\":1},{\"name\":\"beta\",\"share\":1}],"
                + "\"classes\":[" + requestClass("read", "read_like") + ","
                + requestClass("save", "idempotency_key") + "," + requestClass("issue", "non_idempotent")
                + "],\"allowed\":{\"max-attempts\":4,\"cancel\":true,"
                + "\"parallel-tries\":true,\"retry-after\":true,\"max-retry-after-us\":250000,"
                + "\"dial-timeout-us\":150000,\"conn-idle-us\":1000000},"
                + "\"invariants\":{\"ask-within-us\":2000000,\"cold-share\":0.3,\"cold-us\":1000000}}}";
    }

    private static String requestClass(String name, String effect) {
        return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"cell\","
                + "\"aim-us\":600000,\"hard-limit-us\":1000000,\"dedup-window-us\":900000}";
    }

    /**
     * Returns a request's head without the empty line at its end.
     *
     * @param line the method and the target
     * @param leftMs the milliseconds until its deadline
     */
    static String requestHead(String line, String id, String requestClass, int leftMs) {
        return line + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + requestClass
                + "\r\nX-Customer: acme\r\nX-Expires-In-Ms: " + leftMs + "\r\n";
    }

    /** Returns a request of the safe class "read". */
    static String readRequest(String id, int leftMs) {
        return requestHead("GET /read/x", id, "read", leftMs) + "\r\n";
    }

    /** Returns a request, with a body, of the unsafe class "issue". */
    static String issueRequest(String id, int leftMs) {
        return requestHead("POST /issue/x", id, "issue", leftMs) + "Content-Length: 2\r\n\r\nhi";
    }

    /** Connects a client to the sidecar's listener. */
    Socket connect() throws IOException {
        Socket client =
                new Socket(sidecar.address().getAddress(), sidecar.address().getPort());
        client.setSoTimeout(5000);
        client.setTcpNoDelay(true);
        clients.add(client);
        return client;
    }

    /** Connects to the sidecar's admin listener. */
    Socket connectAdmin() throws IOException {
        Socket caller = new Socket(
                sidecar.adminAddress().getAddress(), sidecar.adminAddress().getPort());
        caller.setSoTimeout(5000);
        clients.add(caller);
        return caller;
    }

    /** Makes one operator call, such as "PUT /control/in-service", on a new connection and returns the response. */
    Message callAdmin(String line) throws IOException {
        return exchange(connectAdmin(), line + " HTTP/1.1\r\nHost: a\r\n\r\n");
    }

    /** Writes these bytes and reads one response; null where the sidecar closes without one. */
    static Message exchange(Socket connection, String bytes) throws IOException {
        connection.getOutputStream().write(bytes.getBytes(ISO_8859_1));
        return Message.read(connection.getInputStream());
    }

    /** Writes these bytes on a new connection of a client and reads one response. */
    Message exchange(String bytes) throws IOException {
        return exchange(connect(), bytes);
    }

    /** Reloads the configuration as SIGHUP does, with discovery at another address and without endpoints. */
    void reload(String discovery) throws Exception {
        String emptyList = "{\"seq\":1,\"hosts\":[]}";
        sidecar.reload(SidecarConfig.parse(config(discovery, emptyList, 1024).getBytes(UTF_8)));
    }

    /** Returns how many requests the upstreams have received that the test has not taken from their queues. */
    int receivedCount() {
        return upstreams.stream().mapToInt(upstream -> upstream.received.size()).sum();
    }

    @Override
    public void close() throws Exception {
        sidecar.close();
        discovery.close();
        for (ScriptedServer upstream : upstreams) {
            upstream.close();
        }
        for (Socket client : clients) {
            client.close();
        }
    }
}
