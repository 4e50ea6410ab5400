import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A client sends its bodies in chunks whose sizes it writes with eight hexadecimal digits, as HTTP/1.1 allows. */
final class PaddedChunks {

    private static final int REQUESTS = 40;
    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), PaddedChunks::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        ServerSocket upstream = Kit2.listen();
        Kit2.start("upstream", () -> {
            while (true) {
                Socket socket = upstream.accept();
                socket.setTcpNoDelay(true);
                Kit2.start("upstream-connection", () -> serve(socket));
            }
        });
        String rows = Kit2.row("s-1", upstream.getLocalPort(), 1, 0);
        Kit2.Discovery discovery = new Kit2.Discovery(rows);
        Kit2.Sidecar sidecar = new Kit2.Sidecar("n0");
        sidecar.start(Kit2.configuration(sidecar, 0, discovery.address(), rows, 192, 1024, Kit2.idukkiSettings()));
        sidecar.awaitReady(30);
        int lost = 0;
        for (int i = 0; i < REQUESTS; i++) {
            String id = "r-" + i;
            String size = trouble ? "%08x" : "%x";
            String requestClass = i % 2 == 0 ? "route-save" : "permit-issue";
            String body = ("point " + i + ";").repeat(1 + i);
            String end = ask(sidecar, id, requestClass, String.format(size, body.length()), body, String.format(size, 0));
            boolean isLost = end == null;
            lost += isLost ? 1 : 0;
            Kit2.note("%s %s body=%d: %s", id, requestClass, body.length(), isLost ? "connection closed, no byte of an answer" : end);
        }
        Kit2.note("sent=%d run=%d lost=%d", REQUESTS, RUN.size(), lost);
        return lost > 0;
    }

    /** Sends a request on a new connection; returns how it was answered, or null if the connection ended unanswered. */
    private static String ask(Kit2.Sidecar sidecar, String id, String requestClass, String size, String body, String end)
            throws Exception {
        try (Socket socket = Kit2.connect(sidecar.port)) {
            socket.setSoTimeout(5000);
            String more = "Idempotency-Key: k" + id + "\r\nTransfer-Encoding: chunked\r\n";
            socket.getOutputStream()
                    .write(Kit2.latin(Kit2.head("POST", "/" + requestClass + "/7", id, requestClass, 2000, more) + size
                            + "\r\n" + body + "\r\n" + end + "\r\n\r\n"));
            try {
                Kit2.Message answer = new Kit2.Reader(socket).read();
                return answer == null ? null : answer.firstLine();
            } catch (IOException e) {
                Kit2.note("%s: %s", id, e.getMessage());
                return null;
            }
        }
    }

    private static void serve(Socket socket) throws Exception {
        Kit2.Reader reader = new Kit2.Reader(socket);
        for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
            RUN.add(request.headers().get("x-trace-id"));
            socket.getOutputStream().write(Kit2.ok("saved"));
        }
        socket.close();
    }
}
