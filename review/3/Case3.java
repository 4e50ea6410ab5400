package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Upstreams that hang while they read a long body: the client gets no answer in its time. */
final class Case3 {

    /** The lengths begin a little below what the kernel takes for an upstream that does not read. */
    private static final int BELOW = 300_000;

    private static final int STEP = 150_000;
    private static final int LENGTHS = 12;
    private static final int REQUESTS = 36;
    private static final int UPSTREAMS = 12;
    /** A half of the upstreams. */
    private static final int HANGING = 6;

    private static final int DEADLINE_MS = 2000;
    /** Half a second in which an answer only earns nothing, and the slack of the rules on sockets. */
    private static final double SLACK = 0.5 + 0.05;

    private static final int RECEIVE_BUFFER = 64 * 1024;
    /** How long an upstream hangs. */
    private static final double HANG_SECONDS = 20;
    /** An upstream that hangs has read this much of the body in which it begins to. */
    private static final int READ_BEFORE_HANG = 32 * 1024;

    private static final AtomicInteger IN_TIME = new AtomicInteger();
    private static final AtomicInteger LOST = new AtomicInteger();
    private static final AtomicInteger NOT_TAKEN = new AtomicInteger();

    private Case3() {}

    public static void main(String[] args) {
        Rig.main(args, Case3::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < UPSTREAMS; i++) {
            String name = "s-" + i;
            AtomicBoolean hangs = rig.trouble && i < HANGING ? new AtomicBoolean() : null;
            ServerSocket listener = new ServerSocket();
            listener.setReceiveBufferSize(RECEIVE_BUFFER);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
            Threads.start("upstream", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Threads.start("upstream-connection", () -> serve(rig, name, hangs, socket));
                }
            });
            discovery.set(name, Discovery.row(name, "127.0.0.1:" + listener.getLocalPort(), 1, "SERVING", 0));
        }
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar(
                "sidecar",
                Rig.configuration(port, discovery.address(), 192, 1024, discovery.rows(), ""),
                port,
                rig.temporary.resolve("tmp"));
        sidecar.awaitReady(30);
        int shortest = takenByKernel() - BELOW;
        rig.record("sent: POST /permit-issue/7 with bodies of " + shortest + " to " + (shortest + (LENGTHS - 1) * STEP)
                + " bytes");
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            // 5 is prime to the number of lengths: near requests differ in length.
            int body = shortest + i * 5 % LENGTHS * STEP;
            Threads.start("client", () -> send(rig, port, id, body));
            Rig.sleep(0.2);
        }
        Rig.await(30, () -> IN_TIME.get() + LOST.get() + NOT_TAKEN.get() == REQUESTS);
        rig.record("answered in time: " + IN_TIME + ", lost: " + LOST + ", last byte not acknowledged: " + NOT_TAKEN);
        if (LOST.get() == 0 && IN_TIME.get() + NOT_TAKEN.get() < REQUESTS) {
            throw new Rig.CannotRun("clients are not done");
        }
        return LOST.get() == 0;
    }

    /** Returns how many bytes can be written to a connection whose other end does not read, with the same buffers. */
    private static int takenByKernel() throws IOException {
        try (ServerSocket listener = new ServerSocket()) {
            listener.setReceiveBufferSize(RECEIVE_BUFFER);
            listener.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0));
            try (Socket sender = Rig.connect(listener.getLocalPort());
                    Socket receiver = listener.accept()) {
                AtomicInteger written = new AtomicInteger();
                byte[] piece = new byte[16 * 1024];
                Threads.start("kernel", () -> {
                    while (receiver.isConnected()) {
                        sender.getOutputStream().write(piece);
                        written.addAndGet(piece.length);
                    }
                });
                Rig.sleep(0.5);
                return written.get();
            }
        }
    }

    private static void send(Rig rig, int port, String id, int body) throws IOException {
        try (Socket socket = new Socket()) {
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress("127.0.0.1", port), 2000);
            double[] writtenAt = {Double.NaN};
            Threads.start("client-writer", () -> {
                OutputStream out = socket.getOutputStream();
                out.write(Http.bytes("POST /permit-issue/7 HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
                        + "\r\nX-Qos: permit-issue\r\nX-Expires-In-Ms: " + DEADLINE_MS + "\r\nContent-Length: " + body
                        + "\r\n\r\n"));
                byte[] piece = new byte[8000];
                for (int written = 0; written < body; written += piece.length) {
                    out.write(piece);
                }
                rig.record(id + ": last byte of " + body + " written");
                // Counted only once the kernel has it at the sidecar's end.
                if (Rig.await(20, () -> Rig.unacknowledged(socket) == 0)) {
                    synchronized (writtenAt) {
                        writtenAt[0] = rig.now();
                    }
                    rig.record(id + ": last byte acknowledged by the sidecar's end");
                }
            });
            receive(rig, id, socket, writtenAt);
        }
    }

    /** Waits for the answer until it is lost, and then a while longer for the record. */
    private static void receive(Rig rig, String id, Socket socket, double[] writtenAt) throws IOException {
        socket.setSoTimeout(14_000);
        String answer;
        try {
            Http.Message message = Http.read(new BufferedInputStream(socket.getInputStream()));
            answer = message == null ? "closed without an answer" : message.firstLine();
        } catch (IOException e) {
            answer = "no answer: " + e;
        }
        // An answer may be here before the look at the kernel's table.
        boolean isAnswered = answer.startsWith("HTTP/1.1");
        double answeredAt = rig.now();
        double written;
        synchronized (writtenAt) {
            written = writtenAt[0];
        }
        if (isAnswered && Double.isNaN(written) && Rig.unacknowledged(socket) == 0) {
            written = answeredAt;
        }
        if (Double.isNaN(written)) {
            NOT_TAKEN.incrementAndGet();
            rig.record(id + ": " + answer + ", before the last byte was acknowledged");
            return;
        }
        double seconds = answeredAt - written;
        boolean inTime = isAnswered && seconds <= DEADLINE_MS / 1e3 + SLACK;
        (inTime ? IN_TIME : LOST).incrementAndGet();
        rig.record(String.format("%s: %s, %.3f s after the last byte%s", id, answer, seconds, inTime ? "" : " - LOST"));
    }

    /**
     * Serves one connection of an upstream.
     *
     * @param hangs set once the upstream hangs, on all its connections; null if it never does
     */
    private static void serve(Rig rig, String name, AtomicBoolean hangs, Socket socket) throws IOException {
        try (socket) {
            if (hangs != null && hangs.get()) {
                Rig.sleep(HANG_SECONDS);
                return;
            }
            socket.setSoTimeout(Rig.IDLE_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 8 * 1024);
            for (Http.Message head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                int length = Integer.parseInt(head.headers().get("content-length"));
                String id = head.headers().get("x-trace-id");
                if (hangs != null) {
                    in.readNBytes(READ_BEFORE_HANG);
                    hangs.set(true);
                    rig.record(name + ": hangs in the body of " + id);
                    Rig.sleep(HANG_SECONDS);
                    return;
                }
                in.skipNBytes(length);
                rig.record(name + ": has read " + id);
                socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
            }
        }
    }
}
