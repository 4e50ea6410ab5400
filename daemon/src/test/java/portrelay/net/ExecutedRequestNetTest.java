package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * An upstream reads an unsafe request to its last byte, which executes it, and ends the connection at once. The client
 * must not be told that a retry is harmless.
 */
@Timeout(60)
class ExecutedRequestNetTest {

    private static final int CLIENTS = 8;
    private static final int REQUESTS_PER_CLIENT = 6;

    private static final SidecarFixture.Script END = (message, connection) -> connection.close();

    /**
     * Guards against a request that counts as not sent while its last byte is with the upstream, as the transfer of its
     * body has a step to go: 262,144 bytes are what one turn of the event loop moves.
     */
    @ParameterizedTest
    @CsvSource({
        "RESET, 262144, LENGTH",
        "END, 262144, LENGTH",
        "RESET, 524288, LENGTH",
        "RESET, 263678, LENGTH",
        "RESET, 70000, LENGTH",
        "RESET, 1000, LENGTH",
        "RESET, 262144, CHUNKS",
        "END, 262144, CHUNKS"
    })
    void anExecutedRequestIsNeverRejected(String end, int length, String framing) throws Exception {
        Map<String, Boolean> executed = new ConcurrentHashMap<>();
        SidecarFixture.Script execute = (message, connection) -> {
            boolean isComplete = message.header("Transfer-Encoding") == null
                    ? message.body().length == length
                    : readChunks(connection) == length;
            executed.put(message.header("X-Trace-Id"), isComplete);
            (end.equals("RESET") ? SidecarFixture.RESET : END).run(message, connection);
        };
        try (SidecarFixture fixture = new SidecarFixture(execute, execute, execute, execute)) {
            Map<String, Integer> statuses = sendAll(fixture, body(length, framing.equals("CHUNKS")));

            long rejectedExecuted = executed.entrySet().stream()
                    .filter(each -> each.getValue() && statuses.get(each.getKey()) == 429)
                    .count();
            long executedCount = executed.values().stream().filter(each -> each).count();
            assertEquals(0, rejectedExecuted, "rejected although executed, of " + executedCount);
            assertTrue(executedCount > 0, "nothing was executed");
        }
    }

    private static String body(int length, boolean isChunked) {
        String bytes = "x".repeat(length);
        return isChunked
                ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(length) + "\r\n" + bytes + "\r\n0\r\n\r\n"
                : "Content-Length: " + length + "\r\n\r\n" + bytes;
    }

    /** Returns the status of the response to each request, by its id. */
    private static Map<String, Integer> sendAll(SidecarFixture fixture, String body) throws Exception {
        Map<String, Integer> statuses = new ConcurrentHashMap<>();
        ExecutorService threads = Executors.newFixedThreadPool(CLIENTS);
        List<Callable<Void>> clients = new ArrayList<>();
        for (int client = 0; client < CLIENTS; client++) {
            String name = "c" + client;
            clients.add(() -> {
                for (int i = 0; i < REQUESTS_PER_CLIENT; i++) {
                    String id = name + "-" + i;
                    statuses.put(id, send(fixture, id, body));
                }
                return null;
            });
        }
        try {
            for (Future<Void> each : threads.invokeAll(clients)) {
                each.get();
            }
        } finally {
            threads.shutdownNow();
        }
        return statuses;
    }

    private static int send(SidecarFixture fixture, String id, String body) throws Exception {
        try (Socket client = fixture.connect()) {
            String head = SidecarFixture.requestHead("POST /issue/x", id, "issue", 900);
            return SidecarFixture.exchange(client, head + body).status();
        }
    }

    /** Reads a chunked body and returns its length. */
    private static int readChunks(Socket connection) throws Exception {
        int total = 0;
        while (true) {
            int size = Integer.parseInt(readLine(connection), 16);
            total += connection.getInputStream().readNBytes(size).length;
            readLine(connection);
            if (size == 0) {
                return total;
            }
        }
    }

    private static String readLine(Socket connection) throws Exception {
        byte[] line = new byte[100];
        int length = 0;
        for (int next = connection.getInputStream().read();
                next != '\n';
                next = connection.getInputStream().read()) {
            assertTrue(next >= 0, "the connection ended within a chunked body");
            line[length++] = (byte) next;
        }
        return new String(line, 0, length, ISO_8859_1).trim();
    }
}
