package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import portrelay.standin.HttpReader;

/**
 * A client that sends requests on one connection for as long as it is open, then opens another one, until the round
 * allows no new connections. Records each request that was sent completely. Runs on a thread of its own.
 */
final class FaultTestClient implements Runnable {

    /** How a client uses its connection. The names are part of the request ids. */
    enum Habit {
        /** Sends the next request as soon as the last one is answered, or after a short think time. */
        ASKS_ON,
        /** Does the same with two requests in one write. */
        PIPELINES,
        /** Sends a request, pauses, and sends another one some time after SIGTERM. */
        RESTS,
        /** Sends requests with bodies that are long enough to be streamed. */
        UPLOADS
    }

    private static final int[] THINK_MILLIS = {0, 0, 10, 100};
    private static final int PAUSE_AFTER_REJECTION_MILLIS = 10;
    private static final int REJECTED = 429;
    private static final int READ_TIMEOUT_MILLIS = 10_000;
    private static final int LONG_BODY_BYTES = 100_000;
    private static final int PIECE_BYTES = 20_000;
    private static final int PIECE_PAUSE_MILLIS = 2;
    private static final double MIN_DEADLINE = 0.1;
    private static final int RECONNECT_DELAY_MILLIS = 5;

    private final ShutdownClock clock;
    private final int port;
    private final String name;
    private final Habit habit;
    private final double maxDeadline;
    private final Queue<RequestRecord> records;
    private final SplittableRandom random;
    private int sentCount;

    FaultTestClient(
            ShutdownClock clock,
            int port,
            String name,
            Habit habit,
            double maxDeadline,
            Queue<RequestRecord> records,
            SplittableRandom random) {
        this.clock = clock;
        this.port = port;
        this.name = name;
        this.habit = habit;
        this.maxDeadline = maxDeadline;
        this.records = records;
        this.random = random;
    }

    @Override
    public void run() {
        try {
            while (clock.allowsNewConnections()) {
                try (SocketChannel connection =
                        SocketChannel.open(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))) {
                    connection.setOption(StandardSocketOptions.TCP_NODELAY, true);
                    connection.socket().setSoTimeout(READ_TIMEOUT_MILLIS);
                    sendRequests(connection);
                } catch (IOException e) {
                    TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Sends requests until the connection ends or the round is over. */
    private void sendRequests(SocketChannel connection) throws IOException, InterruptedException {
        HttpReader reader = new HttpReader(connection.socket().getInputStream());
        int clientPort = connection.socket().getLocalPort();
        boolean isOpen = true;
        while (isOpen && !clock.isOver()) {
            // Writes even if the connection's end has arrived: the sidecar must neither read nor forward such a
            // request, even if the client does not check for the end.
            long checkedAt = System.nanoTime();
            boolean hadEnded = hasEnded(connection);
            List<SentRequest> batch = sendBatch(connection.socket().getOutputStream());
            long previousAnsweredAt = 0;
            RequestRecord.End end = RequestRecord.End.NONE;
            for (SentRequest request : batch) {
                if (isOpen) {
                    end = receiveAnswer(reader, request);
                    isOpen = end == RequestRecord.End.NONE && !request.closesConnection;
                }
                if (request.status == 0) {
                    request.endedAt = System.nanoTime();
                }
                records.add(request.toRecord(
                        new RequestRecord.ConnectionRecord(clientPort, checkedAt, hadEnded, end), previousAnsweredAt));
                previousAnsweredAt = request.status == 0 ? 0 : request.endedAt;
            }
            if (isOpen) {
                pauseBeforeNextRequest(batch.get(batch.size() - 1).status == REJECTED);
            }
        }
    }

    private void pauseBeforeNextRequest(boolean isRejected) throws InterruptedException {
        if (habit == Habit.RESTS) {
            clock.awaitTerm();
            TimeUnit.MILLISECONDS.sleep(
                    random.nextInt(1, (int) (1e3 * (maxDeadline + ShutdownPlan.KILL_GRACE_SECONDS))));
        } else {
            int think = THINK_MILLIS[random.nextInt(THINK_MILLIS.length)];
            TimeUnit.MILLISECONDS.sleep(isRejected ? Math.max(think, PAUSE_AFTER_REJECTION_MILLIS) : think);
        }
    }

    /** A request that is sent, with the result filled in as it becomes known. */
    private static final class SentRequest {
        private final String id;
        private final boolean isUnsafe;
        private final double deadline;
        private long sentAt;
        private int status;
        private long endedAt;
        /** Whether the answer announced that the connection closes after it. */
        private boolean closesConnection;

        SentRequest(String id, boolean isUnsafe, double deadline) {
            this.id = id;
            this.isUnsafe = isUnsafe;
            this.deadline = deadline;
        }

        RequestRecord toRecord(RequestRecord.ConnectionRecord connection, long previousAnsweredAt) {
            return new RequestRecord(id, isUnsafe, deadline, connection, sentAt, status, endedAt, previousAnsweredAt);
        }
    }

    private List<SentRequest> sendBatch(OutputStream out) throws IOException, InterruptedException {
        int count = habit == Habit.PIPELINES ? 2 : 1;
        StringBuilder text = new StringBuilder();
        List<SentRequest> batch = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            double deadline = Math.max(MIN_DEADLINE, maxDeadline * random.nextDouble(0.5, 1));
            SentRequest request = new SentRequest(name + "-" + sentCount++, random.nextBoolean(), deadline);
            batch.add(request);
            text.append(format(request));
        }
        if (habit == Habit.UPLOADS) {
            sendInPieces(out, text.toString());
        } else {
            out.write(text.toString().getBytes(ISO_8859_1));
        }
        long now = System.nanoTime();
        batch.forEach(request -> request.sentAt = now);
        return batch;
    }

    private static void sendInPieces(OutputStream out, String text) throws IOException, InterruptedException {
        for (int from = 0; from < text.length(); from += PIECE_BYTES) {
            String piece = text.substring(from, Math.min(text.length(), from + PIECE_BYTES));
            out.write(piece.getBytes(ISO_8859_1));
            TimeUnit.MILLISECONDS.sleep(PIECE_PAUSE_MILLIS);
        }
    }

    private String format(SentRequest request) {
        boolean withBody = request.isUnsafe || habit == Habit.UPLOADS;
        String name = request.isUnsafe ? "issue" : habit == Habit.UPLOADS ? "save" : "read";
        String head =
                (withBody ? "POST /" : "GET /") + name + "/x HTTP/1.1\r\nHost: app.svc\r\nX-Trace-Id: " + request.id
                        + "\r\nX-Qos: " + name
                        + "\r\nX-Customer: acme\r\nX-Expires-In-Ms: " + Math.round(request.deadline * 1e3) + "\r\n"
                        + (name.equals("save") ? "Idempotency-Key: " + request.id + "\r\n" : "");
        if (!withBody) {
            return head + "\r\n";
        }
        String body = habit == Habit.UPLOADS ? "y".repeat(LONG_BODY_BYTES) : "hi";
        return head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Whether the connection's end has arrived. As no request is open, there is nothing else to read. */
    private static boolean hasEnded(SocketChannel connection) throws IOException {
        connection.configureBlocking(false);
        try {
            return connection.read(ByteBuffer.allocate(1)) < 0;
        } catch (IOException e) {
            return true;
        } finally {
            connection.configureBlocking(true);
        }
    }

    /** Reads the answer; returns how the connection ended if it did so before, {@code NONE} if the answer arrived. */
    private static RequestRecord.End receiveAnswer(HttpReader reader, SentRequest request) {
        try {
            HttpReader.Head head = reader.readHead();
            if (head == null) {
                return RequestRecord.End.CLOSED;
            }
            reader.skipBody(head);
            request.status = head.status();
            request.endedAt = System.nanoTime();
            request.closesConnection = head.closesConnection();
            return RequestRecord.End.NONE;
        } catch (IOException e) {
            return RequestRecord.End.BROKEN;
        }
    }
}
