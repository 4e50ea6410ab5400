package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Clients that read long responses slowly, but all the time. */
@Timeout(120)
class SlowReaderNetTest {

    private static final int BODY_BYTES = 24 * 1024 * 1024;
    private static final int PIECE_BYTES = 64 * 1024;
    private static final String BODY_END = "the end";

    /** The slowest rate that the operators' pages name for a body, in bytes per second. */
    private static final int RATE = 64_000;

    private static final long READ_INTERVAL_MILLIS = 50;
    /** How long a client reads slowly, before it reads the rest at full speed. */
    private static final int SLOW_SECONDS = 25;

    private static final int LARGE_RECEIVE_BUFFER_BYTES = 4 * 1024 * 1024;
    private static final int NO_BYTES = 0;

    /**
     * A client.
     *
     * @param path the last part of the path: the framing of the response
     * @param version of HTTP
     * @param receiveBuffer the size of the client's receive buffer in bytes, 0 for the default
     * @param readFast the number of bytes that the client reads at full speed first
     * @param rate in bytes per second after these
     */
    private record Client(String path, String version, int receiveBuffer, int readFast, int rate) {}

    /**
     * Guards against a client that is taken for one that does not read, as the kernels of both sides make room in steps
     * that take it seconds.
     */
    @Test
    void aClientThatReadsSlowlyGetsTheWholeResponse() throws Exception {
        List<Client> clients = List.of(
                new Client("length", "1.1", NO_BYTES, NO_BYTES, RATE),
                new Client("chunks", "1.1", NO_BYTES, NO_BYTES, RATE),
                new Client("close", "1.0", NO_BYTES, NO_BYTES, RATE),
                new Client("length", "1.1", NO_BYTES, NO_BYTES, 2 * RATE),
                new Client("length", "1.1", NO_BYTES, NO_BYTES, 8 * RATE),
                new Client("length", "1.1", LARGE_RECEIVE_BUFFER_BYTES, NO_BYTES, RATE),
                new Client("chunks", "1.1", LARGE_RECEIVE_BUFFER_BYTES, NO_BYTES, 4 * RATE),
                new Client("length", "1.1", NO_BYTES, BODY_BYTES / 4, RATE));
        ExecutorService threads = Executors.newFixedThreadPool(clients.size());
        try (SidecarFixture fixture = new SidecarFixture(SlowReaderNetTest::sendBody)) {
            List<Callable<String>> reads = new ArrayList<>();
            for (Client each : clients) {
                reads.add(() -> read(fixture, each, clients.indexOf(each)));
            }
            List<String> ends = new ArrayList<>();
            for (Future<String> each : threads.invokeAll(reads)) {
                ends.add(each.get());
            }
            List<String> whole = clients.stream().map(each -> each + " whole").toList();
            assertEquals(String.join("\n", whole), String.join("\n", ends));
        } finally {
            threads.shutdownNow();
        }
    }

    private static void sendBody(SidecarFixture.Message message, Socket connection) throws IOException {
        OutputStream out = connection.getOutputStream();
        String framing = message.startLine().split(" ")[1];
        boolean isChunked = framing.endsWith("chunks");
        String head = framing.endsWith("length")
                ? "Content-Length: " + (BODY_BYTES + BODY_END.length())
                : isChunked ? "Transfer-Encoding: chunked" : "Connection: close";
        out.write(("HTTP/1.1 200 OK\r\n" + head + "\r\n\r\n").getBytes(ISO_8859_1));
        byte[] piece = new byte[PIECE_BYTES];
        for (int sent = 0; sent < BODY_BYTES; sent += piece.length) {
            sendPiece(out, piece, isChunked);
        }
        sendPiece(out, BODY_END.getBytes(ISO_8859_1), isChunked);
        if (isChunked) {
            out.write("0\r\n\r\n".getBytes(ISO_8859_1));
        }
        if (framing.endsWith("close")) {
            connection.close();
        }
    }

    private static void sendPiece(OutputStream out, byte[] piece, boolean isChunked) throws IOException {
        if (isChunked) {
            out.write((Integer.toHexString(piece.length) + "\r\n").getBytes(ISO_8859_1));
        }
        out.write(piece);
        if (isChunked) {
            out.write("\r\n".getBytes(ISO_8859_1));
        }
    }

    /** Returns how the response ended. */
    private static String read(SidecarFixture fixture, Client client, int number) throws Exception {
        try (Socket socket = new Socket()) {
            if (client.receiveBuffer > 0) {
                socket.setReceiveBufferSize(client.receiveBuffer);
            }
            socket.connect(new InetSocketAddress(
                    fixture.sidecar.address().getAddress(),
                    fixture.sidecar.address().getPort()));
            socket.setSoTimeout(5000);
            String head = SidecarFixture.requestHead("GET /read/" + client.path, "r" + number, "read", 900)
                    .replace("HTTP/1.1", "HTTP/" + client.version);
            socket.getOutputStream().write((head + "\r\n").getBytes(ISO_8859_1));
            InputStream in = socket.getInputStream();
            long received = in.readNBytes(client.readFast).length;
            try {
                received += readSlowly(in, client.rate);
                return client + (endsWhole(in) ? " whole" : " cut off after bytes: " + received);
            } catch (IOException e) {
                return client + " cut off after bytes: " + received + ", " + e.getMessage();
            }
        }
    }

    private static long readSlowly(InputStream in, int rate) throws IOException, InterruptedException {
        byte[] piece = new byte[(int) (rate * READ_INTERVAL_MILLIS / 1000)];
        long received = 0;
        long startedAt = System.nanoTime();
        while (System.nanoTime() - startedAt < SLOW_SECONDS * 1_000_000_000L) {
            int count = in.read(piece);
            if (count < 0) {
                break;
            }
            received += count;
            long dueMillis = received * 1000 / rate;
            long elapsedMillis = (System.nanoTime() - startedAt) / 1_000_000;
            Thread.sleep(Math.max(0, dueMillis - elapsedMillis));
        }
        return received;
    }

    /** Reads the rest at full speed; returns whether it ends as the body does. */
    private static boolean endsWhole(InputStream in) throws IOException {
        StringBuilder last = new StringBuilder();
        byte[] piece = new byte[PIECE_BYTES];
        while (last.indexOf(BODY_END) < 0) {
            int count = in.read(piece);
            if (count < 0) {
                return false;
            }
            last.append(new String(piece, 0, count, ISO_8859_1));
            last.delete(0, Math.max(0, last.length() - 2 * BODY_END.length()));
        }
        return true;
    }
}
