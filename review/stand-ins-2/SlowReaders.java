import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients read long answers slowly, but all the time; the upstream gives them as fast as they are taken. */
final class SlowReaders {

    private static final int LENGTH = 12 * 1024 * 1024;
    /** Bytes a second: four and eight times the pace that the page names for a body of a client. */
    private static final int[] PACES = {256_000, 256_000, 256_000, 512_000, 512_000, 512_000};
    private static final double PIECE_SECONDS = 0.05;
    private static final double AT_MOST = 75;

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), SlowReaders::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < 3; i++) {
            ServerSocket upstream = Kit2.listen();
            Kit2.start("upstream", () -> {
                while (true) {
                    Socket socket = upstream.accept();
                    socket.setTcpNoDelay(true);
                    Kit2.start("upstream-connection", () -> serve(socket));
                }
            });
            rows.append(i == 0 ? "" : ",").append(Kit2.row("s-" + i, upstream.getLocalPort(), 1, 0));
        }
        Kit2.Discovery discovery = new Kit2.Discovery(rows.toString());
        Kit2.Sidecar sidecar = new Kit2.Sidecar("n0");
        sidecar.start(Kit2.configuration(
                sidecar, 0, discovery.address(), rows.toString(), 192, 1024, Kit2.idukkiSettings()));
        sidecar.awaitReady(30);
        AtomicInteger begun = new AtomicInteger();
        AtomicInteger cutOff = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < PACES.length; i++) {
            int number = i;
            clients.add(Kit2.start("client", () -> read(sidecar, number, trouble, begun, cutOff)));
            Kit2.sleep(0.1);
        }
        for (Thread client : clients) {
            client.join();
        }
        Kit2.note("clients=%d answers begun=%d cut off=%d", PACES.length, begun.get(), cutOff.get());
        if (begun.get() < PACES.length / 2) {
            throw new IllegalStateException("too few answers began");
        }
        return cutOff.get() > 0;
    }

    private static void read(Kit2.Sidecar sidecar, int number, boolean isSlow, AtomicInteger begun, AtomicInteger cutOff)
            throws Exception {
        String id = "r-" + number;
        try (Socket socket = Kit2.connect(sidecar.port)) {
            socket.setSoTimeout(12_000);
            socket.getOutputStream().write(Kit2.latin(Kit2.head("GET", "/tile-read/" + id, id, "tile-read", 600, "")));
            InputStream in = socket.getInputStream();
            byte[] piece = new byte[isSlow ? (int) (PACES[number] * PIECE_SECONDS) : 64 * 1024];
            double startedAt = Kit2.now();
            double lastReadAt = startedAt;
            double longestPause = 0;
            long received = 0;
            String head = "";
            String end = "the connection was closed";
            try {
                while (Kit2.now() < startedAt + AT_MOST) {
                    int count = in.read(piece);
                    if (count < 0) {
                        break;
                    }
                    if (head.isEmpty()) {
                        head = new String(piece, 0, Math.min(count, 15), java.nio.charset.StandardCharsets.ISO_8859_1);
                        begun.addAndGet(head.contains(" 200 ") ? 1 : 0);
                    } else {
                        longestPause = Math.max(longestPause, Kit2.now() - lastReadAt);
                    }
                    lastReadAt = Kit2.now();
                    received += count;
                    if (received >= LENGTH) {
                        end = "whole";
                        break;
                    }
                    if (isSlow) {
                        Kit2.sleep(startedAt + received / (double) PACES[number] - Kit2.now());
                    }
                }
            } catch (IOException e) {
                end = e.getMessage();
            }
            boolean isCut = head.contains(" 200 ") && received < LENGTH && Kit2.now() < startedAt + AT_MOST;
            cutOff.addAndGet(isCut ? 1 : 0);
            Kit2.note("client: %s %s: %d of %d bytes in %.1f s, longest time between two reads %.2f s, end: %s%s", id, head,
                    received, LENGTH, Kit2.now() - startedAt, longestPause, end, isCut ? " (cut off)" : "");
        }
    }

    private static void serve(Socket socket) throws Exception {
        Kit2.Reader reader = new Kit2.Reader(socket);
        OutputStream out = socket.getOutputStream();
        byte[] piece = new byte[64 * 1024];
        Arrays.fill(piece, (byte) 't');
        for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
            String id = request.headers().get("x-trace-id");
            int given = 0;
            try {
                out.write(Kit2.latin("HTTP/1.1 200 OK\r\nContent-Length: " + LENGTH + "\r\n\r\n"));
                while (given < LENGTH) {
                    out.write(piece);
                    given += piece.length;
                }
                Kit2.note("upstream: gave all of %s", id);
            } catch (IOException e) {
                Kit2.note("upstream: had given %d bytes of %s when its connection ended: %s", given, id, e.getMessage());
                throw e;
            }
        }
        socket.close();
    }
}
