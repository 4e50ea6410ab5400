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
 * for as long as that is open. Runs on a thread of its own until it is told to stop.
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

    private final int port;
    private final String name;
    private final SplittableRandom random;
    private final Queue<SentRequest> records;
    private volatile boolean mayConnect = true;
    private int sentCount;

    /** @param records receives each request once it has ended */
    ScaleClient(int port, String name, SplittableRandom random, Queue<SentRequest> records) {
        this.port = port;
        this.name = name;
        this.random = random;
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
            RequestKind kind = drawKind();
            boolean hasBody = kind != RequestKind.READ;
            int bodyBytes = hasBody ? BODY_BYTES[random.nextInt(BODY_BYTES.length)] : 0;
            double deadline = random.nextBoolean() ? SHORT_DEADLINE_SECONDS : LONG_DEADLINE_SECONDS;
            String id = name + "-" + sentCount++;
            String path = kind.name().toLowerCase(Locale.ROOT);
            String line = (hasBody ? "POST /" : "GET /") + path + "/" + id + "?of=" + name + " HTTP/1.1";
            byte[] message = message(id, line, kind, path, deadline, bodyBytes);
            HttpReader.Head[] head = new HttpReader.Head[1];
            boolean isWritten = write(socket, message);
            long sentAt = System.nanoTime();
            End end = isWritten ? readAnswer(reader, id, head) : End.NOT_WRITTEN;
            records.add(new SentRequest(
                    id, line, bodyBytes, kind, deadline, socket.getLocalPort(), sentAt, System.nanoTime(), end));
            isOpen = head[0] != null && !head[0].closesConnection() && end != End.CUT_SHORT;
            if (end == End.REJECTED) {
                TimeUnit.MILLISECONDS.sleep(PAUSE_AFTER_REJECTION_MILLIS);
            }
        }
    }

    private static boolean write(Socket socket, byte[] message) {
        try {
            socket.getOutputStream().write(message);
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    private RequestKind drawKind() {
        double draw = random.nextDouble();
        if (draw < READ_SHARE) {
            return RequestKind.READ;
        }
        return draw < READ_SHARE + SAVE_SHARE ? RequestKind.SAVE : RequestKind.ISSUE;
    }

    private static byte[] message(
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
