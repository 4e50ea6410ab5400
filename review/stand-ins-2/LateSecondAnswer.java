import java.io.InputStream;
import java.io.OutputStream;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An upstream in another zone answers some requests a second time, some milliseconds late, when nothing else waits on
 * the connection. A client asks again and again and compares each answer with its request.
 */
final class LateSecondAnswer {

    /** From the first answer to its second copy. */
    private static final double SECOND_AFTER = Double.parseDouble(System.getProperty("second.after", "0.009"));
    /** One way between zones, and its jitter: the site file has 1.4 to 2.6 ms and up to 0.34 of it. */
    private static final double ONE_WAY = 0.0026;
    private static final double JITTER = 0.34;
    private static final double SECONDS = 80;

    private static final AtomicInteger SECOND_ANSWERS = new AtomicInteger();

    public static void main(String[] arguments) {
        Kit2.main(Path.of(arguments[0]), LateSecondAnswer::run);
    }

    private static boolean run(boolean trouble) throws Exception {
        ServerSocket upstream = Kit2.listen();
        Kit2.start("upstream", () -> {
            while (true) {
                Socket socket = upstream.accept();
                socket.setTcpNoDelay(true);
                Kit2.start("upstream-connection", () -> serve(socket, trouble));
            }
        });
        ServerSocket zone = Kit2.listen();
        Kit2.start("network", () -> {
            while (true) {
                Socket near = zone.accept();
                near.setTcpNoDelay(true);
                Socket far = Kit2.connect(upstream.getLocalPort());
                forward(near, far);
                forward(far, near);
            }
        });
        String rows = Kit2.row("s-1", zone.getLocalPort(), 1, 0);
        Kit2.Discovery discovery = new Kit2.Discovery(rows);
        Kit2.Sidecar sidecar = new Kit2.Sidecar("n0");
        sidecar.start(Kit2.configuration(sidecar, 0, discovery.address(), rows, 128, 512, Kit2.thrakiSettings(1, 0)));
        sidecar.awaitReady(30);
        int foreign = askAgainAndAgain(sidecar);
        Kit2.note("second answers=%d foreign answers=%d", SECOND_ANSWERS.get(), foreign);
        return foreign > 0;
    }

    private static int askAgainAndAgain(Kit2.Sidecar sidecar) throws Exception {
        int foreign = 0;
        int asked = 0;
        int served = 0;
        Socket socket = null;
        Kit2.Reader reader = null;
        double until = Kit2.now() + SECONDS;
        while (Kit2.now() < until) {
            if (socket == null) {
                socket = Kit2.connect(sidecar.port);
                socket.setSoTimeout(4000);
                reader = new Kit2.Reader(socket);
            }
            String id = "r-" + asked++;
            socket.getOutputStream()
                    .write(Kit2.latin(Kit2.head(
                            "GET", "/turbine-status/" + id, id, "turbine-status", 1500, "")));
            Kit2.Message answer = reader.read();
            if (answer == null) {
                socket.close();
                socket = null;
                continue;
            }
            if (answer.status() == 200) {
                served++;
                if (!answer.text().equals("answer to " + id)) {
                    foreign++;
                    Kit2.note("foreign: request %s was served with \"%s\"", id, answer.text());
                }
            }
            if ("close".equals(answer.headers().get("connection"))) {
                socket.close();
                socket = null;
            }
            // The application thinks for a moment before it asks for the next thing.
            Kit2.sleep(ThreadLocalRandom.current().nextDouble(0.0095, 0.0115));
        }
        Kit2.note("asked=%d served=%d", asked, served);
        return foreign;
    }

    private static void serve(Socket socket, boolean trouble) throws Exception {
        Kit2.Reader reader = new Kit2.Reader(socket);
        OutputStream out = socket.getOutputStream();
        for (Kit2.Message request = reader.read(); request != null; request = reader.read()) {
            byte[] answer = Kit2.ok("answer to " + request.headers().get("x-trace-id"));
            Kit2.sleep(0.005);
            out.write(answer);
            long received = reader.bytes;
            if (trouble && ThreadLocalRandom.current().nextInt(4) == 0) {
                Kit2.start("second-answer", () -> {
                    Kit2.sleep(SECOND_AFTER);
                    // Only while nothing else waits on the connection.
                    if (reader.bytes == received && socket.getInputStream().available() == 0) {
                        out.write(answer);
                        SECOND_ANSWERS.incrementAndGet();
                    }
                });
            }
        }
        socket.close();
    }

    private record Piece(double due, byte[] bytes) {}

    /** Passes on what arrives, in order, each piece after the time of one way. */
    private static void forward(Socket from, Socket to) {
        BlockingQueue<Piece> pieces = new LinkedBlockingQueue<>();
        Kit2.start("network-in", () -> {
            InputStream in = from.getInputStream();
            byte[] buffer = new byte[16 * 1024];
            try {
                for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                    byte[] bytes = java.util.Arrays.copyOf(buffer, count);
                    double oneWay = ONE_WAY * (1 + JITTER * ThreadLocalRandom.current().nextDouble(-1, 1));
                    pieces.add(new Piece(Kit2.now() + oneWay, bytes));
                }
            } finally {
                pieces.add(new Piece(Kit2.now() + ONE_WAY, null));
            }
        });
        Kit2.start("network-out", () -> {
            for (Piece piece = pieces.take(); piece.bytes() != null; piece = pieces.take()) {
                Kit2.sleep(piece.due() - Kit2.now());
                to.getOutputStream().write(piece.bytes());
            }
            to.close();
        });
    }
}
