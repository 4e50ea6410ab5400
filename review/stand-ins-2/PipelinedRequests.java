import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A client sends several requests at once on one connection. Those that the connection's end leaves unanswered it sends
 * once more, on a new connection.
 */
final class PipelinedRequests {

    private static final int ROUNDS = 5;
    private static final int REQUESTS = 10;
    /** Half of what a body may have. */
    private static final int BODY = 32 * 1024;
    /** The mean work of the class is 110 to 200 ms; ten of them are through before the first one's time is up. */
    private static final double WORK = 0.11;

    private static final Set<String> RUN = ConcurrentHashMap.newKeySet();

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), PipelinedRequests::run);
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
        int lost = 0;
        for (int round = 0; round < ROUNDS; round++) {
            List<String> ids = new ArrayList<>();
            for (int i = 0; i < REQUESTS; i++) {
                ids.add("r-" + round + "-" + i);
            }
            if (!trouble) {
                for (String id : ids) {
                    lost += ask(sidecar, List.of(id)).size();
                }
                continue;
            }
            List<String> unanswered = ask(sidecar, ids);
            if (!unanswered.isEmpty()) {
                Kit2.note("client: sends %s once more on a new connection", unanswered);
                unanswered = ask(sidecar, unanswered);
            }
            unanswered.forEach(id -> Kit2.note("lost: %s was sent twice, each time read and never answered; run by an upstream: %s",
                    id, RUN.contains(id) ? "yes" : "no"));
            lost += unanswered.size();
        }
        Kit2.note("requests=%d lost=%d", ROUNDS * REQUESTS, lost);
        return lost > 0;
    }

    /** Sends requests at once on a new connection; returns those that it left unanswered when the sidecar closed it. */
    private static List<String> ask(Kit2.Sidecar sidecar, List<String> ids) throws Exception {
        try (Socket socket = Kit2.connect(sidecar.port)) {
            socket.setSoTimeout(6000);
            StringBuilder requests = new StringBuilder();
            for (String id : ids) {
                requests.append(Kit2.head("POST", "/permit-issue/7", id, "permit-issue", 2000, "Content-Length: " + BODY + "\r\n"))
                        .append("p".repeat(BODY));
            }
            socket.getOutputStream().write(Kit2.latin(requests.toString()));
            Kit2.note("client: %d requests written, the last byte too: %s", ids.size(), ids);
            Kit2.Reader reader = new Kit2.Reader(socket);
            for (int i = 0; i < ids.size(); i++) {
                Kit2.Message answer;
                try {
                    answer = reader.read();
                } catch (IOException e) {
                    // A reset tells of unread bytes: what was not read is not lost, but not judged here either.
                    Kit2.note("client: connection broke before the answer to %s: %s", ids.get(i), e.getMessage());
                    throw e;
                }
                if (answer == null) {
                    Kit2.note("client: connection closed, not reset, before the answer to %s: all bytes were read", ids.get(i));
                    return List.copyOf(ids.subList(i, ids.size()));
                }
                Kit2.note("client: %s answered: %s, connection: %s", ids.get(i), answer.firstLine(),
                        answer.headers().getOrDefault("connection", "kept"));
            }
        }
        return List.of();
    }

    private static void serve(Socket socket) throws Exception {
        Kit2.Reader reader = new Kit2.Reader(socket);
        for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
            RUN.add(request.headers().get("x-trace-id"));
            Kit2.sleep(WORK);
            socket.getOutputStream().write(Kit2.ok("permit"));
        }
        socket.close();
    }
}
