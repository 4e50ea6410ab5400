package review;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Many long answers at a time, in chunks, from slow upstreams: the sidecar runs out of memory and ends. */
final class Case2 {

    private static final int MEMORY_MB = 96;
    private static final int SOCKETS = 512;
    /** Under a third of the descriptors. */
    private static final int CLIENTS = 165;

    private static final double SECONDS_BETWEEN_CLIENTS = 0.06;
    private static final int UPSTREAMS = 12;

    private static final int PIECE = 8 * 1024;
    /** About 2 MB. */
    private static final int PIECES = 244;
    /** The first 80 KiB come at once, the rest at 64 kB a second. */
    private static final int PROMPT_PIECES = 10;

    private static final double SECONDS_A_PIECE = PIECE / 64e3;
    private static final int RETRIES = 3;

    private static final AtomicInteger SERVED = new AtomicInteger();
    private static final AtomicInteger REFUSED = new AtomicInteger();
    private static final AtomicInteger FAILED = new AtomicInteger();
    private static final AtomicInteger CUT_OFF = new AtomicInteger();
    private static final AtomicInteger OPEN = new AtomicInteger();
    private static final AtomicInteger DONE = new AtomicInteger();

    private Case2() {}

    public static void main(String[] args) {
        Rig.main(args, Case2::run);
    }

    private static boolean run(Rig rig) throws Exception {
        Discovery discovery = new Discovery();
        for (int i = 0; i < UPSTREAMS; i++) {
            ServerSocket listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
            Threads.start("upstream", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    Threads.start("upstream-connection", () -> answer(rig, socket));
                }
            });
            discovery.set(
                    "s-" + i, Discovery.row("s-" + i, "127.0.0.1:" + listener.getLocalPort(), i / 6, "SERVING", 0));
        }
        int port = Rig.freePort();
        Rig.Sidecar sidecar = rig.startSidecar(
                "sidecar",
                Rig.configuration(port, discovery.address(), MEMORY_MB, SOCKETS, discovery.rows(), ""),
                port,
                rig.temporary.resolve("tmp"));
        sidecar.awaitReady(30);
        rig.record("sent: GET /tile-read/N from " + CLIENTS + " clients, one each, every " + SECONDS_BETWEEN_CLIENTS
                + " s; answers of " + PIECE * PIECES + " bytes in chunks");
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Threads.start("client", () -> {
                Rig.sleep(number * SECONDS_BETWEEN_CLIENTS);
                ask(rig, port, number);
                DONE.incrementAndGet();
            });
        }
        while (DONE.get() < CLIENTS && sidecar.process.isAlive()) {
            Rig.sleep(1);
            rig.record("answers being received: " + OPEN + ", whole: " + SERVED + ", refused: " + REFUSED + ", failed: "
                    + FAILED + ", cut off: " + CUT_OFF);
        }
        Rig.sleep(0.5);
        if (sidecar.process.isAlive()) {
            rig.record("all clients are done, the sidecar runs; whole: " + SERVED + ", cut off: " + CUT_OFF);
            return true;
        }
        rig.record("the sidecar has ended by itself: exit code " + sidecar.process.exitValue() + ", answers cut off: "
                + CUT_OFF + ", last lines of its log:");
        List<String> log = Files.readAllLines(sidecar.log);
        log.subList(Math.max(0, log.size() - 2), log.size()).forEach(line -> rig.record("  " + line));
        return false;
    }

    /** One request; a refused one is sent again after a wait, under a new id. */
    private static void ask(Rig rig, int port, int number) throws IOException {
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
            String id = "c" + number + "-" + attempt;
            try (Socket socket = Rig.connect(port)) {
                socket.setSoTimeout(15_000);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                socket.getOutputStream()
                        .write(Http.bytes("GET /tile-read/" + number + " HTTP/1.1\r\nHost: app.svc\r\n" + "X-Trace-Id: "
                                + id + "\r\nX-Qos: tile-read\r\nX-Expires-In-Ms: 600\r\n\r\n"));
                Http.Message head = Http.readHead(in);
                if (head != null && head.status() == 200) {
                    OPEN.incrementAndGet();
                    rig.record(id + ": " + head.firstLine() + ", the answer has begun");
                    receive(head, in);
                    return;
                }
                (head != null && head.status() == 429 ? REFUSED : FAILED).incrementAndGet();
                rig.record(id + ": " + (head == null ? "closed without an answer" : head.firstLine()));
            } catch (IOException e) {
                rig.record(id + ": " + e);
                FAILED.incrementAndGet();
            }
            Rig.sleep(0.3);
        }
    }

    private static void receive(Http.Message head, InputStream in) {
        try {
            int length = Http.bodyLength(in, head);
            (length == PIECE * PIECES ? SERVED : CUT_OFF).incrementAndGet();
        } catch (IOException e) {
            CUT_OFF.incrementAndGet();
        } finally {
            OPEN.decrementAndGet();
        }
    }

    private static void answer(Rig rig, Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(Rig.IDLE_MS);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            byte[] body = new byte[PIECE];
            Arrays.fill(body, (byte) 't');
            byte[] start = Http.bytes(Integer.toHexString(PIECE) + "\r\n");
            byte[] chunk = Arrays.copyOf(start, start.length + PIECE + 2);
            System.arraycopy(body, 0, chunk, start.length, PIECE);
            chunk[chunk.length - 2] = '\r';
            chunk[chunk.length - 1] = '\n';
            while (Http.read(in) != null) {
                out.write(Http.bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
                for (int i = 0; i < PIECES; i++) {
                    if (rig.trouble && i >= PROMPT_PIECES) {
                        Rig.sleep(SECONDS_A_PIECE);
                    }
                    out.write(chunk);
                }
                out.write(Http.bytes("0\r\n\r\n"));
            }
        }
    }
}
