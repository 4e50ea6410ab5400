import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedDeque;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Operators take an upstream out at all sidecars of a deployment, restart it, and put it back at all sidecars. Counts
 * what the cold upstream gets. The figures are those of the site file thraki-monitoring.
 */
final class ReturnedUpstream {

    private static final int SIDECARS = Integer.getInteger("sidecars", 54);
    private static final int UPSTREAMS = 13;
    /** Cores and work of the site file; the speed of the upstream that is restarted, and of the others. */
    private static final int CORES = 2;
    private static final double RESTARTED_SPEED = 0.7;
    private static final double SPEED = 0.9;
    private static final Map<String, Double> WORK = Map.of("turbine-status", 0.061, "power-curve", 0.100);
    private static final double STATUS_SHARE = 0.8;
    private static final double MEAN_WORK = 0.0688;
    /** The share of the capacity of all upstreams that is asked for. */
    private static final double LOAD = 0.5;

    private static final double COLD_SHARE = 0.19;
    private static final double COLD_SECONDS = 23;
    private static final double MULTIPLE = 3;
    private static final double WINDOW = 1.5;
    /** From the restart until the list shows it: the site file has 0.33 s at least. */
    private static final double TOLD_AFTER = 0.35;

    private static final List<Upstream> ALL = new ArrayList<>();
    private static final Map<String, AtomicInteger> ANSWERS = new ConcurrentHashMap<>();
    private static volatile boolean isOver;

    private record Arrival(double at, double work, String sidecar) {}

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), ReturnedUpstream::run);
    }

    private static String rows() {
        StringBuilder rows = new StringBuilder();
        for (Upstream each : ALL) {
            rows.append(rows.isEmpty() ? "" : ",").append(Kit2.row("s-" + each.number, each.port, each.number / 7, each.bornMs));
        }
        return rows.toString();
    }

    private static boolean run(boolean trouble) throws Exception {
        for (int i = 0; i < UPSTREAMS; i++) {
            ALL.add(new Upstream(i, i == 0 ? RESTARTED_SPEED : SPEED));
        }
        Kit2.Discovery discovery = new Kit2.Discovery(rows());
        List<Kit2.Sidecar> sidecars = new ArrayList<>();
        for (int i = 0; i < SIDECARS; i++) {
            Kit2.Sidecar sidecar = new Kit2.Sidecar("n" + i);
            sidecar.start(Kit2.configuration(sidecar, i, discovery.address(), rows(), 128, 512, Kit2.thrakiSettings(SIDECARS, i)));
            sidecars.add(sidecar);
            if (i % 8 == 7) {
                sidecar.awaitReady(40);
            }
        }
        for (Kit2.Sidecar each : sidecars) {
            each.awaitReady(40);
        }
        Kit2.note("sidecars=%d ready", SIDECARS);
        double capacity = ALL.stream().mapToDouble(each -> each.capacity(0)).sum();
        for (int i = 0; i < SIDECARS; i++) {
            startClient(i, sidecars.get(i), LOAD * capacity / SIDECARS);
        }
        Kit2.sleep(6);
        Upstream upstream = ALL.get(0);
        if (trouble) {
            if (!Boolean.getBoolean("restart.only")) {
                callAll(sidecars, "offline");
                Kit2.sleep(1.5);
            }
            upstream.restart();
            Kit2.sleep(TOLD_AFTER);
            long version = discovery.publish(rows());
            Kit2.sleep(0.15);
            if (discovery.written(version) < SIDECARS) {
                throw new IllegalStateException("told only " + discovery.written(version) + " sidecars of the restart");
            }
            Kit2.note("all %d sidecars were told of the restart", SIDECARS);
            if (!Boolean.getBoolean("restart.only")) {
                callAll(sidecars, "online");
            }
        }
        Kit2.sleep(8);
        isOver = true;
        Kit2.note("answers to clients: %s", ANSWERS);
        Kit2.note("most in %.1f s: %s", WINDOW, upstream.most);
        return upstream.hasFallen;
    }

    private static void callAll(List<Kit2.Sidecar> sidecars, String state) throws IOException {
        for (Kit2.Sidecar each : sidecars) {
            int status = each.call("/control/upstreams/s-0/" + state);
            if (status / 100 != 2) {
                throw new IOException("operators' call answered " + status);
            }
        }
        Kit2.note("operators: PUT /control/upstreams/s-0/%s at all sidecars, each said yes", state);
    }

    // ---- Clients ----------------------------------------------------------------------------------------

    private static void startClient(int number, Kit2.Sidecar sidecar, double rate) {
        Deque<Socket> idle = new ConcurrentLinkedDeque<>();
        Kit2.start("client", () -> {
            ThreadLocalRandom random = ThreadLocalRandom.current();
            double next = Kit2.now() + random.nextDouble();
            for (int i = 0; !isOver; i++) {
                next += -Math.log(1 - random.nextDouble()) / rate;
                Kit2.sleep(next - Kit2.now());
                String id = number + "-" + i;
                String requestClass = random.nextDouble() < STATUS_SHARE ? "turbine-status" : "power-curve";
                Kit2.start("request", () -> ask(sidecar, idle, id, requestClass));
            }
        });
    }

    private static void ask(Kit2.Sidecar sidecar, Deque<Socket> idle, String id, String requestClass) throws IOException {
        Socket kept = idle.pollLast();
        for (boolean isNew = kept == null; ; isNew = true) {
            Socket socket = kept == null ? Kit2.connect(sidecar.port) : kept;
            kept = null;
            try {
                socket.setSoTimeout(4000);
                socket.getOutputStream().write(Kit2.latin(Kit2.head("GET", "/" + requestClass, id, requestClass, 1000, "")));
                Kit2.Message answer = new Kit2.Reader(socket).read();
                if (answer != null) {
                    ANSWERS.computeIfAbsent(Integer.toString(answer.status()), status -> new AtomicInteger()).incrementAndGet();
                    if ("close".equals(answer.headers().get("connection"))) {
                        socket.close();
                    } else {
                        idle.addLast(socket);
                    }
                    return;
                }
            } catch (IOException e) {
                // As below.
            }
            socket.close();
            if (isNew) {
                ANSWERS.computeIfAbsent("none", status -> new AtomicInteger()).incrementAndGet();
                return;
            }
            // The sidecar closed a resting connection: once more on a new one.
        }
    }

    // ---- Upstreams --------------------------------------------------------------------------------------

    /** An upstream of two cores. After a restart its capacity grows from the cold share to all of it. */
    private static final class Upstream {
        private final int number;
        private final double speed;
        private final ServerSocket listener = Kit2.listen();
        private final int port = listener.getLocalPort();
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private final double[] coreFreeAt = new double[CORES];
        private final Deque<Arrival> inWindow = new ArrayDeque<>();
        private volatile long bornMs;
        private volatile double bornAt = Double.NEGATIVE_INFINITY;
        private double mostShare;
        private volatile String most = "-";
        private volatile boolean hasFallen;

        Upstream(int number, double speed) throws IOException {
            this.number = number;
            this.speed = speed;
            Kit2.start("upstream", () -> {
                while (true) {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    Kit2.start("upstream-connection", () -> serve(socket));
                }
            });
        }

        private double share(double now) {
            return Math.min(1, COLD_SHARE + (1 - COLD_SHARE) * Math.max(0, now - bornAt) / COLD_SECONDS);
        }

        /** Requests of mean work in a second. */
        double capacity(double now) {
            return CORES * speed / MEAN_WORK * share(now);
        }

        synchronized void restart() {
            bornMs = System.currentTimeMillis();
            bornAt = Kit2.now();
            java.util.Arrays.fill(coreFreeAt, 0);
            inWindow.clear();
            mostShare = 0;
            connections.forEach(Kit2::reset);
            Kit2.note("upstream s-%d restarted, cold", number);
        }

        /** Counts an arrival, and falls as the page says. */
        private void count(Arrival arrival) {
            inWindow.addLast(arrival);
            while (inWindow.peekFirst().at() <= arrival.at() - WINDOW) {
                inWindow.removeFirst();
            }
            double work = inWindow.stream().mapToDouble(Arrival::work).sum();
            double n = MULTIPLE * capacity(arrival.at()) * WINDOW;
            double limit = n < 30 ? n + 3 * Math.sqrt(n) + 3 : n + 2 * Math.sqrt(n) + 2;
            Set<String> from = new TreeSet<>();
            inWindow.forEach(each -> from.add(each.sidecar()));
            if (work / limit > mostShare) {
                mostShare = work / limit;
                most = String.format("%.1f requests of mean work from %d sidecars, %.2f s after the start; N=%.1f, falls over %.1f",
                        work, from.size(), arrival.at() - bornAt, n, limit);
            }
            if (work > limit && bornAt > 0 && share(arrival.at()) < 1) {
                hasFallen = true;
                Kit2.note("upstream s-%d has fallen: %s", number, most);
                inWindow.forEach(each -> Kit2.note("  got at %.4f from sidecar n%s", each.at(), each.sidecar()));
                try {
                    listener.close();
                } catch (IOException e) {
                    Kit2.note("listener: %s", e);
                }
                connections.forEach(Kit2::reset);
            }
        }

        /** Returns when the request is done; a negative number if it can't be done in time. */
        private synchronized double begin(Kit2.Message request) {
            double now = Kit2.now();
            double work = WORK.get(request.firstLine().split(" ")[1].substring(1));
            String sidecar = request.headers().get("x-trace-id").split("-")[0];
            if (!hasFallen) {
                count(new Arrival(now, work / MEAN_WORK, sidecar));
            }
            int core = coreFreeAt[0] <= coreFreeAt[1] ? 0 : 1;
            double done = Math.max(now, coreFreeAt[core]) + work / (speed * share(now));
            if (done > now + 3) {
                return -1;
            }
            coreFreeAt[core] = done;
            return done;
        }

        private void serve(Socket socket) throws Exception {
            try (socket) {
                Kit2.Reader reader = new Kit2.Reader(socket);
                for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
                    double done = begin(request);
                    if (done < 0) {
                        socket.getOutputStream().write(Kit2.latin("HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"));
                        continue;
                    }
                    Kit2.sleep(done - Kit2.now());
                    socket.getOutputStream().write(Kit2.ok("status"));
                }
            } finally {
                connections.remove(socket);
            }
        }
    }
}
