package portrelay.faulttest.overload;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import portrelay.faulttest.SidecarTestbed;
import portrelay.standin.DaemonThreads;
import portrelay.standin.HttpReader;

/**
 * The clients of a round that hold what others share, and those whose responses are slow. Their threads end once their
 * connections are closed. Thread-safe.
 */
final class OverloadClients implements AutoCloseable {

    private static final int LEAVE_MILLIS = 100;
    private static final int SENT_AHEAD = 200;
    private static final int BODY_BYTES = 60_000;
    private static final int SENT_BODY_BYTES = 50_000;
    private static final int SENT_HEAD_BYTES = 30_000;
    private static final int UPLOAD_BYTES = 200_000;
    private static final int UPLOAD_PIECE_BYTES = 3_200;
    private static final int PIECE_MILLIS = 50;
    private static final int READ_LATE_MILLIS = 1500;
    private static final int JOIN_SECONDS = 20;
    private static final double LATE_SHARE = 0.9;

    private final SidecarTestbed testbed;
    private final OverloadPlan plan;
    private final OverloadUpstream upstream;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final Queue<OverloadViolation> violations = new ConcurrentLinkedQueue<>();
    private final AtomicInteger wholeResponses = new AtomicInteger();
    /** Counts the slow clients, whose last responses are awaited. */
    private final CountDownLatch slowDone;

    private volatile boolean isStopping;

    OverloadClients(SidecarTestbed testbed, OverloadPlan plan, OverloadUpstream upstream) {
        this.testbed = testbed;
        this.plan = plan;
        this.upstream = upstream;
        slowDone = new CountDownLatch(plan.slowClients());
        for (int i = 0; i < plan.slowClients(); i++) {
            int number = i;
            DaemonThreads.start("slow", () -> {
                askForSlowResponses(number);
                slowDone.countDown();
            });
        }
        for (int i = 0; i < plan.leavingClients(); i++) {
            int number = i;
            DaemonThreads.start("leaving", () -> leaveAndAskAgain(number));
        }
    }

    /** Starts the crowd and the clients that send at full speed. */
    void startOverload() {
        for (int i = 0; plan.crowd() != OverloadPlan.Crowd.NONE && i < plan.crowdSize(); i++) {
            String id = "crowd-" + i;
            DaemonThreads.start("crowd", () -> join(id));
        }
        for (int i = 0; plan.flood() != OverloadPlan.Flood.NONE && i < plan.floodConnections(); i++) {
            DaemonThreads.start("flood", this::flood);
        }
    }

    /** Returns the number of slow responses that were received completely. */
    int wholeResponses() {
        return wholeResponses.get();
    }

    List<OverloadViolation> violations() {
        return List.copyOf(violations);
    }

    private Socket connect() throws IOException {
        Socket socket = testbed.connect();
        sockets.add(socket);
        return socket;
    }

    // ---- Clients whose responses are slow ---------------------------------------------------------------

    private void askForSlowResponses(int number) {
        String[] classes = {"read", "save", "issue"};
        for (int i = 0; !isStopping; i++) {
            String id = OverloadUpstream.SLOW_ID + number + "-" + i;
            long begunNanos = System.nanoTime();
            String end = "";
            try (Socket client = connect()) {
                client.getOutputStream().write(SidecarTestbed.request(id, classes[i % 3], plan.waitMillis()));
                HttpReader reader = new HttpReader(client.getInputStream());
                HttpReader.Head head = reader.readHead();
                end = head == null ? "closed" : "status " + head.status();
                if (head != null && head.status() == 200 && reader.readBody(head) == OverloadUpstream.slowBytes(id)) {
                    wholeResponses.incrementAndGet();
                    continue;
                }
            } catch (IOException e) {
                end = e.toString();
            }
            double seconds = (System.nanoTime() - begunNanos) / 1e9;
            if (!upstream.hasUpstreamEndedSince(begunNanos)) {
                judge(id, end, seconds);
            }
        }
    }

    /** A response that its upstream goes on writing must not be cut off; a request may be rejected early. */
    private void judge(String id, String end, double seconds) {
        boolean isEarlyRejection = end.startsWith("status 429") && seconds < LATE_SHARE * plan.waitMillis() / 1e3;
        if (upstream.hasBegunSlowly(id) && !isEarlyRejection) {
            violations.add(new OverloadViolation(
                    true, String.format(Locale.ROOT, "%s: %s after %.3f s, its response had begun", id, end, seconds)));
        }
    }

    // ---- Clients that leave -----------------------------------------------------------------------------

    private void leaveAndAskAgain(int number) {
        SplittableRandom random = new SplittableRandom(plan.seed() * 31 + number);
        for (int i = 0; !isStopping; i++) {
            byte[] request = SidecarTestbed.request("leaves-" + number + "-" + i, "issue", plan.waitMillis());
            try (Socket first = connect()) {
                first.getOutputStream().write(request);
                TimeUnit.MILLISECONDS.sleep(random.nextInt(LEAVE_MILLIS));
                first.setSoLinger(true, 0);
            } catch (IOException | InterruptedException e) {
                continue;
            }
            try (Socket second = connect()) {
                second.getOutputStream().write(request);
                SidecarTestbed.readStatus(new HttpReader(second.getInputStream()));
            } catch (IOException e) {
                // Any end will do: what counts is how often the id was executed.
            }
        }
    }

    // ---- Clients at full speed --------------------------------------------------------------------------

    private void flood() {
        while (!isStopping) {
            try (Socket client = connect()) {
                InputStream in = client.getInputStream();
                DaemonThreads.start("flood-reader", () -> discard(in));
                OutputStream out = client.getOutputStream();
                for (int i = 0; !isStopping; i++) {
                    out.write(floodRequest(i).getBytes(ISO_8859_1));
                }
            } catch (IOException e) {
                // Closed by the sidecar: again.
            }
        }
    }

    private String floodRequest(int i) {
        return switch (plan.flood()) {
            case READINESS -> "GET /up HTTP/1.1\r\nHost: a\r\n\r\n";
            case PADDED_READINESS -> "GET /up HTTP/1.1\r\nHost: a\r\n" + "X-Pad: p\r\n".repeat(40) + "\r\n";
            case UNKNOWN_CLASS ->
                SidecarTestbed.head("f" + i, "read", plan.waitMillis(), "").replace("read", "c" + i);
            case UNKNOWN_TENANT ->
                SidecarTestbed.head("f" + i, "read", plan.waitMillis(), "").replace("acme", "t" + i);
            default -> "GET /read/x HTTP/1.1\r\nHost: a\r\nX-Qos: read\r\n\r\n";
        };
    }

    private static void discard(InputStream in) {
        byte[] buffer = new byte[16 * 1024];
        try {
            while (in.read(buffer) >= 0) {
                continue;
            }
        } catch (IOException e) {
            // Closed.
        }
    }

    // ---- The crowd --------------------------------------------------------------------------------------

    private void join(String id) {
        try {
            Socket client = connect();
            OutputStream out = client.getOutputStream();
            switch (plan.crowd()) {
                case STOPS_IN_BODY -> out.write(unfinishedBody(id, "Content-Length: " + BODY_BYTES + "\r\n", ""));
                case STOPS_IN_CHUNK ->
                    out.write(unfinishedBody(
                            id, "Transfer-Encoding: chunked\r\n", Integer.toHexString(BODY_BYTES) + "\r\n"));
                case STOPS_IN_HEAD ->
                    out.write(("GET /read/x HTTP/1.1\r\nA: " + "b".repeat(SENT_HEAD_BYTES)).getBytes(ISO_8859_1));
                case SENDS_AHEAD -> sendAhead(out, id);
                case UPLOADS_SLOWLY -> upload(out, id);
                case READS_LATE -> readLate(client, id);
                default -> throw new IllegalStateException(plan.crowd().toString());
            }
        } catch (IOException | InterruptedException e) {
            // Closed or answered by the sidecar.
        }
    }

    private byte[] unfinishedBody(String id, String framing, String before) {
        return (SidecarTestbed.head(id, "issue", plan.waitMillis(), framing) + before + "b".repeat(SENT_BODY_BYTES))
                .getBytes(ISO_8859_1);
    }

    private void sendAhead(OutputStream out, String id) throws IOException {
        for (int i = 0; i < SENT_AHEAD; i++) {
            out.write(SidecarTestbed.request(id + "-" + i, "read", plan.waitMillis()));
        }
    }

    private void upload(OutputStream out, String id) throws IOException, InterruptedException {
        out.write(SidecarTestbed.head(id, "issue", plan.waitMillis(), "Content-Length: " + UPLOAD_BYTES + "\r\n")
                .getBytes(ISO_8859_1));
        for (int written = 0; written < UPLOAD_BYTES && !isStopping; written += UPLOAD_PIECE_BYTES) {
            out.write(new byte[Math.min(UPLOAD_PIECE_BYTES, UPLOAD_BYTES - written)]);
            TimeUnit.MILLISECONDS.sleep(PIECE_MILLIS);
        }
    }

    private void readLate(Socket client, String id) throws IOException, InterruptedException {
        client.getOutputStream()
                .write(SidecarTestbed.request(OverloadUpstream.LARGE_ID + id, "read", plan.waitMillis()));
        TimeUnit.MILLISECONDS.sleep(READ_LATE_MILLIS);
        discard(client.getInputStream());
    }

    /** Ends all clients; the slow ones receive their last responses first. */
    @Override
    public void close() throws IOException, InterruptedException {
        isStopping = true;
        if (!slowDone.await(JOIN_SECONDS, TimeUnit.SECONDS)) {
            violations.add(new OverloadViolation(true, "slow clients without an end: " + slowDone.getCount()));
        }
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
