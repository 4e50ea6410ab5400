import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executors;

/**
 * A demo environment for portrelay: three upstreams at 127.0.0.1:9001 to 9003, and a discovery service at
 * 127.0.0.1:8500 that lists them. Each upstream answers with its name; the third is slow, so that hedged requests can
 * be seen to win.
 *
 * <p>Start it with {@code java examples/ToyServer.java}.
 */
public class ToyServer {

    private static final int[] PORTS = {9001, 9002, 9003};
    private static final long[] WORK_MS = {20, 30, 400};

    /** Starts the upstreams and the discovery service, which run until the process is killed. */
    public static void main(String[] args) throws IOException {
        List<String> hosts = new ArrayList<>();
        for (int i = 0; i < PORTS.length; i++) {
            String name = "toy-" + (i + 1);
            long work = WORK_MS[i];
            serve(PORTS[i], exchange -> {
                exchange.getRequestBody().readAllBytes();
                sleep(work);
                System.out.println(name + " " + exchange.getRequestMethod() + " " + exchange.getRequestURI());
                answer(exchange, "handled by " + name + "\n");
            });
            hosts.add("{\"host\":\"" + name + "\",\"dial\":\"127.0.0.1:" + PORTS[i] + "\",\"site\":\"a\",\"class\":\"toy\","
                    + "\"block\":1,\"health\":\"SERVING\",\"share\":1.0,\"born_ms\":0}");
        }
        String list = "{\"seq\":2,\"whole\":true,\"hosts\":[" + String.join(",", hosts) + "]}";
        serve(8500, exchange -> {
            String query = exchange.getRequestURI().getQuery();
            if (query != null && query.contains("index=2")) {
                // The list never changes, so a watch is answered only when its wait time is over.
                sleep(Long.parseLong(query.replaceAll(".*wait=(\\d+).*", "$1")));
                answer(exchange, "{\"seq\":2,\"whole\":false,\"hosts\":[]}");
            } else {
                answer(exchange, list);
            }
        });
        System.out.println("discovery at 127.0.0.1:8500, upstreams at 9001, 9002 and 9003");
    }

    private interface Work {
        void on(HttpExchange exchange) throws IOException;
    }

    private static void serve(int port, Work work) throws IOException {
        HttpServer server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 0);
        server.createContext("/", exchange -> work.on(exchange));
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
    }

    private static void answer(HttpExchange exchange, String text) throws IOException {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private static void sleep(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
