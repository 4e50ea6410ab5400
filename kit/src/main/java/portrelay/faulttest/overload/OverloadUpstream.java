package portrelay.faulttest.overload;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import portrelay.standin.HttpReader;
import portrelay.standin.ScriptedUpstream;

/**
 * The script of all upstreams of a round. The id of a request says how it is answered: those of slow clients slowly,
 * the others after a few milliseconds. Counts how often each id was executed. Thread-safe.
 */
final class OverloadUpstream implements ScriptedUpstream.Script {

    /** The beginning of the ids of requests whose responses are written slowly. */
    static final String SLOW_ID = "slow-";
    /** The beginning of the ids of requests whose responses are several megabytes. */
    static final String LARGE_ID = "large-";

    static final int LARGE_BYTES = 3_000_000;
    private static final int MIN_SLOW_BYTES = 70_000;
    private static final int SLOW_BYTES_RANGE = 140_000;
    private static final int SLOW_MILLIS = 1500;
    private static final int[] PIECES = {4, 70};
    private static final int MAX_WORK_MILLIS = 30;

    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private final Set<String> begunSlowly = ConcurrentHashMap.newKeySet();
    private final Queue<Long> endNanos = new ConcurrentLinkedQueue<>();

    /** Returns how often each id was executed. */
    Map<String, Integer> executions() {
        return executions;
    }

    /** Whether a slow response to this id has begun. */
    boolean hasBegunSlowly(String id) {
        return begunSlowly.contains(id);
    }

    /** Records that an upstream is ended now, and the responses that it writes with it. */
    void upstreamEnded() {
        endNanos.add(System.nanoTime());
    }

    /** Whether an upstream was ended since this time, of {@link System#nanoTime}. */
    boolean hasUpstreamEndedSince(long nanos) {
        return endNanos.stream().anyMatch(each -> each - nanos >= 0);
    }

    /** Returns the length of the slow response to this id. */
    static int slowBytes(String id) {
        int pieces = pieces(id);
        int bytes = MIN_SLOW_BYTES + Math.floorMod(id.hashCode(), SLOW_BYTES_RANGE);
        return bytes - bytes % pieces;
    }

    private static int pieces(String id) {
        return PIECES[Math.floorMod(id.hashCode() / 7, PIECES.length)];
    }

    @Override
    public void serve(HttpReader.Head head, HttpReader reader, Socket connection) throws Exception {
        reader.skipBody(head);
        String id = String.valueOf(head.header("x-trace-id"));
        executions.merge(id, 1, Integer::sum);
        TimeUnit.MILLISECONDS.sleep(Math.floorMod(id.hashCode(), MAX_WORK_MILLIS));
        OutputStream out = connection.getOutputStream();
        if (id.startsWith(SLOW_ID)) {
            writeSlowly(out, id, connection);
        } else {
            int length = id.startsWith(LARGE_ID) ? LARGE_BYTES : 1;
            out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n").getBytes(ISO_8859_1));
            out.write(new byte[length]);
        }
    }

    private void writeSlowly(OutputStream out, String id, Socket connection) throws IOException, InterruptedException {
        boolean isChunked = id.hashCode() % 2 == 0;
        String framing = isChunked ? "Transfer-Encoding: chunked" : "Connection: close";
        out.write(("HTTP/1.1 200 OK\r\n" + framing + "\r\n\r\n").getBytes(ISO_8859_1));
        writePieces(out, id, isChunked);
        if (!isChunked) {
            connection.close();
        }
    }

    private void writePieces(OutputStream out, String id, boolean isChunked) throws IOException, InterruptedException {
        int pieces = pieces(id);
        byte[] piece = new byte[slowBytes(id) / pieces];
        byte[] chunkSize = (Integer.toHexString(piece.length) + "\r\n").getBytes(ISO_8859_1);
        for (int i = 0; i < pieces; i++) {
            if (isChunked) {
                out.write(chunkSize);
            }
            out.write(piece);
            if (isChunked) {
                out.write("\r\n".getBytes(ISO_8859_1));
            }
            if (i == 0) {
                begunSlowly.add(id);
            }
            TimeUnit.MILLISECONDS.sleep(SLOW_MILLIS / pieces);
        }
        if (isChunked) {
            out.write("0\r\n\r\n".getBytes(ISO_8859_1));
        }
    }
}
