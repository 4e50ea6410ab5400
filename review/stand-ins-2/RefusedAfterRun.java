import java.io.IOException;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Connections to upstreams are reset under requests that have begun. The requests must not run twice, and have bodies of
 * 256 KiB. A client tries again only where the sidecar's answer says that this is harmless.
 */
final class RefusedAfterRun {

    /** How many clients are at work at a time, in turn. */
    private static final int[] CLIENTS = {4, 8, 16};

    private static final int ORDERS = 720;
    /** The first run of one order in so many meets a reset. */
    private static final int RESET_ONE_IN = 3;
    private static final int BODY = 256 * 1024;
    private static final int TRIES = 3;

    /** The requests that an upstream has read to their last byte, and how often each order was run. */
    private static final Set<String> READ_WHOLE = ConcurrentHashMap.newKeySet();
    private static final Map<String, List<String>> RUNS = new ConcurrentHashMap<>();

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), RefusedAfterRun::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        StringBuilder rows = new StringBuilder();
        for (int i = 0; i < 10; i++) {
            ServerSocket upstream = Kit2.listen();
            Kit2.start("upstream", () -> {
                while (true) {
                    Socket socket = upstream.accept();
                    socket.setTcpNoDelay(true);
                    Kit2.start("upstream-connection", () -> serve(socket, trouble));
                }
            });
            rows.append(i == 0 ? "" : ",").append(Kit2.row("s-" + i, upstream.getLocalPort(), i / 5, 0));
        }
        Kit2.Discovery discovery = new Kit2.Discovery(rows.toString());
        Kit2.Sidecar sidecar = new Kit2.Sidecar("n0");
        sidecar.start(Kit2.configuration(
                sidecar, 0, discovery.address(), rows.toString(), 192, 1024, Kit2.idukkiSettings()));
        sidecar.awaitReady(30);
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger nextOrder = new AtomicInteger();
        for (int i = 0; i < CLIENTS.length; i++) {
            int upTo = ORDERS * (i + 1) / CLIENTS.length;
            Kit2.note("%d clients at a time", CLIENTS[i]);
            List<Thread> clients = new ArrayList<>();
            for (int j = 0; j < CLIENTS[i]; j++) {
                clients.add(Kit2.start("client", () -> {
                    for (int order = nextOrder.getAndIncrement(); order < upTo; order = nextOrder.getAndIncrement()) {
                        place(sidecar, order, refused);
                    }
                }));
            }
            for (Thread client : clients) {
                client.join();
            }
            nextOrder.set(upTo);
        }
        long twice = RUNS.values().stream().filter(runs -> runs.size() > 1).count();
        RUNS.forEach((order, runs) -> {
            if (runs.size() > 1) {
                Kit2.note("%s was run %d times, as %s", order, runs.size(), runs);
            }
        });
        Kit2.note("orders=%d refused after they had run=%d run more than once=%d", ORDERS, refused.get(), twice);
        if (READ_WHOLE.size() < ORDERS / 2) {
            throw new IllegalStateException("too few requests were run");
        }
        return refused.get() > 0;
    }

    private static void place(Kit2.Sidecar sidecar, int order, AtomicInteger refused) throws Exception {
        for (int attempt = 1; attempt <= TRIES; attempt++) {
            String id = "r-" + order + "-" + attempt;
            int status = ask(sidecar, id, "/permit-issue/order-" + order);
            boolean isRefusal = status == 429 || status == 503;
            boolean mayHaveRun = READ_WHOLE.contains(id);
            refused.addAndGet(isRefusal && mayHaveRun ? 1 : 0);
            Kit2.note("client: %s order-%d answered %d%s", id, order, status,
                    isRefusal && mayHaveRun ? ": says that trying again is harmless, but an upstream had run it" : "");
            if (!isRefusal) {
                return;
            }
            Kit2.sleep(0.05);
        }
    }

    private static int ask(Kit2.Sidecar sidecar, String id, String target) throws Exception {
        try (Socket socket = Kit2.connect(sidecar.port)) {
            socket.setSoTimeout(6000);
            OutputStream out = socket.getOutputStream();
            out.write(Kit2.latin(Kit2.head("POST", target, id, "permit-issue", 2000, "Content-Length: " + BODY + "\r\n")
                    + "p".repeat(BODY)));
            Kit2.Message answer = new Kit2.Reader(socket).read();
            if (answer == null) {
                throw new IOException("no answer to " + id);
            }
            return answer.status();
        }
    }

    private static void serve(Socket socket, boolean trouble) throws Exception {
        Kit2.Reader reader = new Kit2.Reader(socket);
        for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
            String id = request.headers().get("x-trace-id");
            String order = request.firstLine().split(" ")[1];
            READ_WHOLE.add(id);
            List<String> runs = RUNS.computeIfAbsent(order, unused -> new CopyOnWriteArrayList<>());
            runs.add(id);
            int number = Integer.parseInt(order.substring(order.lastIndexOf('-') + 1));
            if (trouble && runs.size() == 1 && number % RESET_ONE_IN == 0) {
                Kit2.reset(socket);
                return;
            }
            socket.getOutputStream().write(Kit2.ok("permit"));
        }
        socket.close();
    }
}
