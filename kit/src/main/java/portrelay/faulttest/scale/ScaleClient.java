package portrelay.faulttest.scale;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import portrelay.faulttest.scale.SentRequest.End;
import portrelay.faulttest.scale.SentRequest.RequestKind;
import portrelay.standin.HttpReader;
import portrelay.standin.MessageBody;

/**
 * A client that sends one request after the other, each as soon as the last one has ended, and stays on its connection
 * for as long as that is open. Leaves some requests alone: closes the connection before the answer, or before the whole
 * request is written. Runs on a thread of its own until it is told to stop.
 */
final class ScaleClient implements Runnable {

    static final double LONG_DEADLINE_SECONDS = 2;
    private static final double SHORT_DEADLINE_SECONDS = 0.6;
    /** How long a client waits for an answer before it counts as lost. */
    private static final int GIVE_UP_MILLIS = 5000;

    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int RECONNECT_DELAY_MILLIS = 20;
    private static final int PAUSE_AFTER_REJECTION_MILLIS = 10;
    private static final int[] BODY_BYTES = {0, 200, 5000, 60_000};
    private static final double READ_SHARE = 0.6;
    private static final double SAVE_SHARE = 0.25;
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;
    private static final int UNAVAILABLE = 503;

    /** Of the requests that their clients leave, the share that is not written completely. */
    private static final double UNFINISHED_SHARE = 0.4;

    private static final int MAX_STAY_MILLIS = 300;
    private static final int PIECES = 3;
    private static final int PAUSE_BETWEEN_PIECES_MILLIS = 20;

    /** What a client does with a request. */
    private enum Conduct {
        /** Writes it at once and waits for the answer. */
        STAYS,
        /** Writes it in pieces and waits for the answer. */
        WRITES_SLOWLY,
        /** Writes it and closes the connection some time later, whether or not it has an answer. */
        LEAVES,
        /** Writes a part of it and closes the connection some time later. */
        LEAVES_UNFINISHED
    }

    /** A request as it is written. */
    private record Message(
            String id, String line, int bodyBytes, RequestKind kind, double deadlineSeconds, byte[] bytes) {}

    private final int port;
    private final String name;
    private final SplittableRandom random;
    private final double leavingShare;
    private final Queue<SentRequest> records;
    private volatile boolean mayConnect = true;
    private int sentCount;

    /**
     * @param leavingShare the share of the requests that the client leaves alone, and of those that it writes slowly
     * @param records receives each request once it has ended
     */
    ScaleClient(int port, String name, SplittableRandom random, double leavingShare, Queue<SentRequest> records) {
        this.port = port;
        this.name = name;
        this.random = random;
        this.leavingShare = leavingShare;
        this.records = records;
    }

    /** Makes the client stop once its connection ends, or at once while it has none. */
    void stopConnecting() {
        mayConnect = false;
    }

    @Override
    public void run() {
        try {
            while (mayConnect) {
                try (Socket socket = new Socket()) {
                    socket.connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), CONNECT_TIMEOUT_MILLIS);
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(GIVE_UP_MILLIS);
                    useConnection(socket);
                } catch (IOException e) {
                    TimeUnit.MILLISECONDS.sleep(RECONNECT_DELAY_MILLIS);
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void useConnection(Socket socket) throws IOException, InterruptedException {
        HttpReader reader = new HttpReader(socket.getInputStream());
        boolean isOpen = true;
        while (isOpen) {
            Message message = nextMessage();
            isOpen = switch (drawConduct()) {
                case STAYS -> exchange(socket, reader, message, 1);
                case WRITES_SLOWLY -> exchange(socket, reader, message, PIECES);
                case LEAVES -> leave(socket, message, message.bytes.length, End.LEFT);
                case LEAVES_UNFINISHED ->
                    leave(socket, message, 1 + random.nextInt(message.bytes.length - 1), End.LEFT_UNFINISHED);
            };
        }
    }

    private Conduct drawConduct() {
        if (leavingShare == 0) {
            return Conduct.STAYS;
        }
        double draw = random.nextDouble();
        if (draw < leavingShare) {
            return random.nextDouble() < UNFINISHED_SHARE ? Conduct.LEAVES_UNFINISHED : Conduct.LEAVES;
        }
        return draw < 2 * leavingShare ? Conduct.WRITES_SLOWLY : Conduct.STAYS;
    }

    /** Writes a request and reads its answer; returns whether the connection can be used for another one. */
    private boolean exchange(Socket socket, HttpReader reader, Message message, int pieces)
            throws InterruptedException {
        HttpReader.Head[] head = new HttpReader.Head[1];
        boolean isWritten = write(socket, message.bytes, message.bytes.length, pieces);
        long sentAt = System.nanoTime();
        End end = isWritten ? readAnswer(reader, message.id, head) : End.NOT_WRITTEN;
        record(message, socket, sentAt, end);
        if (end == End.REJECTED) {
            TimeUnit.MILLISECONDS.sleep(PAUSE_AFTER_REJECTION_MILLIS);
        }
        return head[0] != null && !head[0].closesConnection() && end != End.CUT_SHORT;
    }

    /** Writes the first bytes of a request and closes the connection some time later; returns false. */
    private boolean leave(Socket socket, Message message, int bytes, End end) throws InterruptedException {
        boolean isWritten = write(socket, message.bytes, bytes, 1);
        long sentAt = System.nanoTime();
        TimeUnit.MILLISECONDS.sleep(random.nextInt(MAX_STAY_MILLIS));
        try {
            socket.close();
        } catch (IOException e) {
            // The sidecar has closed it.
        }
        record(message, socket, sentAt, isWritten ? end : End.NOT_WRITTEN);
        return false;
    }

    private void record(Message message, Socket socket, long sentAt, End end) {
        records.add(new SentRequest(
                message.id,
                message.line,
                message.bodyBytes,
                message.kind,
                message.deadlineSeconds,
                socket.getLocalPort(),
                sentAt,
                System.nanoTime(),
                end));
    }

    /** Writes the first bytes of a message in pieces of about the same length, with pauses in between. */
    private static boolean write(Socket socket, byte[] message, int length, int pieces) throws InterruptedException {
        try {
            for (int i = 0; i < pieces; i++) {
                if (i > 0) {
                    TimeUnit.MILLISECONDS.sleep(PAUSE_BETWEEN_PIECES_MILLIS);
                }
                int from = length * i / pieces;
                socket.getOutputStream().write(message, from, length * (i + 1) / pieces - from);
            }
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private Message nextMessage() {
        RequestKind kind = drawKind();
        boolean hasBody = kind != RequestKind.READ;
        int bodyBytes = hasBody ? BODY_BYTES[random.nextInt(BODY_BYTES.length)] : 0;
        double deadline = random.nextBoolean() ? SHORT_DEADLINE_SECONDS : LONG_DEADLINE_SECONDS;
        String id = name + "-" + sentCount++;
        String path = kind.name().toLowerCase(Locale.ROOT);
        String line = (hasBody ? "POST /" : "GET /") + path + "/" + id + "?of=" + name + " HTTP/1.1";
        return new Message(id, line, bodyBytes, kind, deadline, bytes(id, line, kind, path, deadline, bodyBytes));
    }

    private RequestKind drawKind() {
        double draw = random.nextDouble();
        if (draw < READ_SHARE) {
            return RequestKind.READ;
        }
        return draw < READ_SHARE + SAVE_SHARE ? RequestKind.SAVE : RequestKind.ISSUE;
    }

    private static byte[] bytes(
            String id, String line, RequestKind kind, String path, double deadlineSeconds, int bodyBytes) {
        String key = kind == RequestKind.SAVE ? "Idempotency-Key: " + id + "\r\n" : "";
        String length = kind == RequestKind.READ ? "" : "Content-Length: " + bodyBytes + "\r\n";
        byte[] head = (line + "\r\nHost: app.svc\r\nX-Trace-Id: " + id + "\r\nX-Qos: " + path
                        + "\r\nX-Customer: acme\r\nX-Expires-In-Ms: " + (int) (deadlineSeconds * 1e3) + "\r\n" + key
                        + length + "\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        byte[] message = new byte[head.length + bodyBytes];
        System.arraycopy(head, 0, message, 0, head.length);
        System.arraycopy(MessageBody.of(id, bodyBytes), 0, message, head.length, bodyBytes);
        return message;
    }

    /** Reads the answer; stores its head, or leaves it null if there is none. */
    private static End readAnswer(HttpReader reader, String id, HttpReader.Head[] head) {
        try {
            head[0] = reader.readHead();
        } catch (SocketTimeoutException e) {
            return End.SILENT;
        } catch (IOException e) {
            return End.CLOSED;
        }
        if (head[0] == null) {
            return End.CLOSED;
        }
        try {
            byte[] body = reader.readBodyBytes(head[0]);
            int status = head[0].status();
            if (status == OK) {
                return body.length > 0 && MessageBody.belongsTo(id, body) ? End.SERVED : End.WRONG_ANSWER;
            }
            return status == TOO_MANY_REQUESTS || status == UNAVAILABLE ? End.REJECTED : End.FAILED;
        } catch (IOException e) {
            return End.CUT_SHORT;
        }
    }
}
