package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** The process is replaced while long answers are passed on: a client gets a part of an answer as a whole one. */
final class Case1 {

    private static final int CLIENTS = 24;
    private static final int UPSTREAMS = 4;
    private static final double SHORT_WORK = 0.01;
    private static final double LONG_WORK = 0.1;
    private static final double SECONDS_BETWEEN_REQUESTS = 0.1;
    private static final int SHORT_BODY = 2000;

    private static final int PIECE = 10_000;
    /** 8 MB, given at 1 MB a second. */
    private static final int PIECES = 800;

    private static final double SECONDS_A_PIECE = 0.01;
    /** Well after the longest deadline of the classes and 0.7 s, so that the old process ends by itself. */
    private static final double KILL_AFTER = 2.0 + 0.7 + 1.5;

    private static final AtomicInteger SHORT_ANSWERS = new AtomicInteger();
    private static final AtomicInteger WHOLE = new AtomicInteger();
    private static final AtomicInteger VISIBLY_CUT = new AtomicInteger();
    private static final AtomicInteger WRONG = new AtomicInteger();
    private static final AtomicInteger OTHER = new AtomicInteger();

    /** Whether the old process did not end by itself. */
    private static volatile boolean isKilled;

    /** Whether the next request of each client is for a long answer. */
    private static volatile boolean asksForLong;

    private Case1() {}

    public static void main(String[] args) {
        Rig.main(args, Case1::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < UPSTREAMS; i++) {
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            Threads.start("upstream", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Threads.start("upstream-connection", () -> answer(socket));
                }
            });
            discovery.set("s-" + i, Discovery.row("s-" + i, "127.0.0.1:" + listener.getLocalPort(), 1, "SERVING", 0));
        }
        int port = Rig.freePort();
        String configuration = Rig.configuration(port, discovery.address(), 192, 1024, discovery.rows(), "");
        Rig.Sidecar old = rig.startSidecar("old", configuration, port, rig.temporary.resolve("tmp"));
        old.awaitReady(30);
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Threads.start("client", () -> ask(rig, port, number));
        }
        Rig.sleep(3);
        Rig.Sidecar next = null;
        if (rig.trouble) {
            next = rig.startSidecar("new", configuration, port, rig.temporary.resolve("tmp"));
            next.awaitManagementReady(20);
            old.signal("TERM");
        }
        rig.record("sent so far: GET /tile-read/short, " + SHORT_ANSWERS + " answered; next from each of " + CLIENTS
                + " clients: GET /tile-read/long, an answer of " + PIECE * PIECES + " bytes in chunks");
        asksForLong = true;
        double signalledAt = rig.now();
        if (rig.trouble) {
            if (!Rig.await(KILL_AFTER, () -> !old.process.isAlive())) {
                // By the protocol page a process that dies resets its connections, which a kernel does not always do.
                isKilled = true;
                old.signal("KILL");
            }
            old.process.waitFor();
            rig.record(String.format(
                    "old has ended with exit code %d, %.2f s after SIGTERM",
                    old.process.exitValue(), rig.now() - signalledAt));
        }
        Rig.await(25, () -> WHOLE.get() + VISIBLY_CUT.get() + WRONG.get() + OTHER.get() == CLIENTS);
        rig.record("long answers: whole " + WHOLE + ", cut off and the client can tell " + VISIBLY_CUT
                + ", a part given as a whole answer " + WRONG + ", other answers " + OTHER);
        if (WHOLE.get() + VISIBLY_CUT.get() + WRONG.get() + OTHER.get() < CLIENTS
                || next != null && !next.process.isAlive()) {
            throw new Rig.CannotRun("not all clients are done, or the new process has ended");
        }
        if (isKilled && WRONG.get() > 0) {
            throw new Rig.CannotRun("the old process was killed, so how its connections ended is not judged");
        }
        return WRONG.get() == 0;
    }

    /** Sends one request after another, on one connection as long as it is kept; ends with the long answer. */
    private static void ask(Rig rig, int port, int number) throws IOException {
        Socket socket = null;
        InputStream in = null;
        String again = null;
        for (int i = 0; ; i++) {
            Rig.sleep(again == null ? SECONDS_BETWEEN_REQUESTS : 0);
            String id = again == null ? "c" + number + "-" + i : again;
            boolean isLong = asksForLong;
            if (socket == null) {
                socket = Rig.connect(port);
                socket.setSoTimeout(20_000);
                in = new BufferedInputStream(socket.getInputStream());
            }
            Http.Message head;
            try {
                socket.getOutputStream()
                        .write(Http.bytes("GET /tile-read/" + (isLong ? "long" : "short")
                                + " HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + id
                                + "\r\nX-Qos: tile-read\r\nX-Expires-In-Ms: 600\r\n\r\n"));
                head = Http.readHead(in);
            } catch (IOException e) {
                head = null;
            }
            if (head == null) {
                // The connection was closed between two requests: the request is sent once more on a new one.
                socket.close();
                socket = null;
                if (again != null) {
                    OTHER.incrementAndGet();
                    rig.record(id + ": closed without an answer twice");
                    return;
                }
                again = id;
                continue;
            }
            again = null;
            if (isLong) {
                receiveLong(rig, id, head, in);
                return;
            }
            Http.bodyLength(in, head);
            SHORT_ANSWERS.incrementAndGet();
            if ("close".equalsIgnoreCase(head.headers().get("connection"))) {
                socket.close();
                socket = null;
            }
        }
    }

    private static void receiveLong(Rig rig, String id, Http.Message head, InputStream in) {
        String text = head.firstLine() + " " + head.headers();
        if (head.status() != 200) {
            OTHER.incrementAndGet();
            rig.record(id + ": " + text);
            return;
        }
        boolean untilClose = !head.headers().containsKey("transfer-encoding")
                && !head.headers().containsKey("content-length");
        int length;
        try {
            length = untilClose ? readToEnd(in) : Http.bodyLength(in, head);
        } catch (IOException e) {
            VISIBLY_CUT.incrementAndGet();
            rig.record(id + ": " + text + ", cut off, the client can tell: " + e);
            return;
        }
        if (length == PIECE * PIECES) {
            WHOLE.incrementAndGet();
            rig.record(id + ": " + text + ", whole");
        } else {
            WRONG.incrementAndGet();
            rig.record(id + ": " + text + ", ended without a reset after " + length + " of the " + PIECE * PIECES
                    + " bytes of the upstream's answer: whole by its framing - WRONG");
        }
    }

    private static int readToEnd(InputStream in) throws IOException {
        byte[] buffer = new byte[64 * 1024];
        int length = 0;
        for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
            length += count;
        }
        return length;
    }

    private static void answer(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(Rig.IDLE_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] piece = new byte[PIECE];
            Arrays.fill(piece, (byte) 't');
            for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
                boolean isLong = request.target().endsWith("long");
                Rig.sleep(isLong ? LONG_WORK : SHORT_WORK);
                if (!isLong) {
                    out.write(Http.bytes(
                            "HTTP/1.1 200 OK\r\nContent-Length: " + SHORT_BODY + "\r\n\r\n" + "t".repeat(SHORT_BODY)));
                    continue;
                }
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (int i = 0; i < PIECES; i++) {
                    out.write(Http.bytes(Integer.toHexString(PIECE) + "\r\n"));
                    out.write(piece);
                    out.write(Http.bytes("\r\n"));
                    Rig.sleep(SECONDS_A_PIECE);
                }
                out.write(Http.bytes("0\r\n\r\n"));
            }
        }
    }
}
