package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.concurrent.atomic.AtomicInteger;

/** Upstreams that hang while they read a long body: the client gets no answer in its time. */
final class Case3 {

    /** How much the kernel's buffers take up on the way differs between machines, so the lengths differ too. */
    private static final int SHORTEST = 3_200_000;

    private static final int STEP = 400_000;
    private static final int LENGTHS = 12;
    private static final int REQUESTS = 36;
    private static final int UPSTREAMS = 12;
    /** A half of the upstreams. */
    private static final int HANGING = 6;

    private static final int DEADLINE_MS = 2000;
    /** Half a second in which an answer only earns nothing, and the slack of the rules on sockets. */
    private static final double SLACK = 0.5 + 0.05;
    /** A hanging upstream has read this much of the body. */
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
            boolean hangs = rig.trouble && i < HANGING;
            ServerSocket listener = new ServerSocket();
            listener.setReceiveBufferSize(64 * 1024);
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
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r" + i;
            // 5 is prime to the number of lengths: near requests differ in length.
            int body = SHORTEST + i * 5 % LENGTHS * STEP;
            Threads.start("client", () -> send(rig, port, id, body));
            Rig.sleep(0.2);
        }
        Rig.await(30, () -> IN_TIME.get() + LOST.get() + NOT_TAKEN.get() == REQUESTS);
        rig.record("answered in time: " + IN_TIME + ", lost: " + LOST + ", last byte not written: " + NOT_TAKEN);
        if (LOST.get() == 0 && IN_TIME.get() + NOT_TAKEN.get() < REQUESTS) {
            throw new Rig.CannotRun("clients are not done");
        }
        return LOST.get() == 0;
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
                synchronized (writtenAt) {
                    writtenAt[0] = rig.now();
                }
                rig.record(id + ": last byte of " + body + " written");
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
        double written;
        synchronized (writtenAt) {
            written = writtenAt[0];
        }
        if (Double.isNaN(written)) {
            NOT_TAKEN.incrementAndGet();
            rig.record(id + ": " + answer + ", before the last byte was written");
            return;
        }
        double seconds = rig.now() - written;
        boolean inTime = answer.startsWith("HTTP/1.1") && seconds <= DEADLINE_MS / 1e3 + SLACK;
        (inTime ? IN_TIME : LOST).incrementAndGet();
        rig.record(String.format("%s: %s, %.3f s after the last byte%s", id, answer, seconds, inTime ? "" : " - LOST"));
    }

    private static void serve(Rig rig, String name, boolean hangs, Socket socket) throws IOException {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 8 * 1024);
            for (Http.Message head = Http.readHead(in); head != null; head = Http.readHead(in)) {
                int length = Integer.parseInt(head.headers().get("content-length"));
                String id = head.headers().get("x-trace-id");
                if (hangs) {
                    in.readNBytes(READ_BEFORE_HANG);
                    rig.record(name + ": hangs in the body of " + id);
                    Rig.sleep(60);
                    return;
                }
                in.skipNBytes(length);
                rig.record(name + ": has read " + id);
                socket.getOutputStream().write(Http.bytes("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"));
            }
        }
    }
}
