import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** A client asks with queries of all forms; the upstream compares each target with the one that the client sent. */
final class ChangedTarget {

    private static final int ROUNDS = 20;
    private static final List<String> USUAL = List.of("?sid=8&draft=1", "", "?a=b?c=d", "?sid=a%20b;x=/y", "?x");
    /** RFC 3986, 3.4: a query may contain question marks, also as its first character. */
    private static final List<String> QUESTION_MARK_FIRST = List.of("??sid=8&draft=1", "???", "??");

    private static final Map<String, String> SENT = new ConcurrentHashMap<>();
    private static final Map<String, String> RECEIVED = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), ChangedTarget::run);
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
        int asked = 0;
        for (int round = 0; round < ROUNDS; round++) {
            for (String query : USUAL) {
                ask(sidecar, "r-" + asked++, query);
            }
            if (trouble) {
                for (String query : QUESTION_MARK_FIRST) {
                    ask(sidecar, "r-" + asked++, query);
                }
            }
        }
        int changed = 0;
        for (String id : SENT.keySet()) {
            String received = RECEIVED.get(id);
            if (received != null && !received.equals(SENT.get(id))) {
                changed++;
                Kit2.note("changed: request %s was sent as %s and reached the upstream as %s", id, SENT.get(id), received);
            }
        }
        Kit2.note("asked=%d forwarded=%d forwarded as another request=%d", asked, RECEIVED.size(), changed);
        if (RECEIVED.size() < USUAL.size() * ROUNDS / 2) {
            throw new IllegalStateException("too few requests were run");
        }
        return changed > 0;
    }

    private static void ask(Kit2.Sidecar sidecar, String id, String query) throws Exception {
        String target = "/permit-issue/7" + query;
        SENT.put(id, target);
        try (Socket socket = Kit2.connect(sidecar.port)) {
            socket.setSoTimeout(4000);
            socket.getOutputStream()
                    .write(Kit2.latin(Kit2.head("POST", target, id, "permit-issue", 2000, "Content-Length: 0\r\n")));
            Kit2.Message answer = new Kit2.Reader(socket).read();
            Kit2.note("%s %s answered: %s %s", id, target, answer.firstLine(), answer.text());
        }
    }

    private static void serve(Socket socket) throws Exception {
        Kit2.Reader reader = new Kit2.Reader(socket);
        for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
            String target = request.firstLine().split(" ")[1];
            RECEIVED.put(request.headers().get("x-trace-id"), target);
            // The protocol page: what no client sent in this form is answered 400 and voids the run.
            boolean isAsSent = target.equals(SENT.get(request.headers().get("x-trace-id")));
            socket.getOutputStream()
                    .write(isAsSent ? Kit2.ok("permit for " + target) : Kit2.latin("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"));
        }
        socket.close();
    }
}
