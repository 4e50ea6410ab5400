package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.DaemonThreads;
import portrelay.standin.HttpReader;
import portrelay.standin.ScriptedUpstream;

/**
 * Hundreds of clients that send long bodies slowly, as slowly as the protocol allows, on a real sidecar. Guards against
 * uploads and requests of others that are cut off instead of answered.
 */
@Timeout(120)
class SlowUploadsTest {

    private static final SidecarTestbed.Limits LIMITS = new SidecarTestbed.Limits(2, 512, 96);
    private static final int UPLOADS = 300;
    private static final int USUAL_CLIENTS = 10;
    private static final int WAIT_MILLIS = 1500;
    private static final int BODY_BYTES = 200_000;
    private static final int PIECE_BYTES = 3_200;
    private static final int PIECE_MILLIS = 50;

    @TempDir
    private Path files;

    private final Map<String, Integer> uploadEnds = new TreeMap<>();

    private void upload(SidecarTestbed testbed, String id) {
        String end;
        try (Socket client = testbed.connect()) {
            end = "status " + upload(client, id);
        } catch (IOException | InterruptedException e) {
            end = e.toString();
        }
        synchronized (uploadEnds) {
            uploadEnds.merge(end, 1, Integer::sum);
        }
    }

    /** Writes until the body is complete or a response has come; returns its status. */
    private static int upload(Socket client, String id) throws IOException, InterruptedException {
        OutputStream out = client.getOutputStream();
        out.write(SidecarTestbed.head(id, "issue", WAIT_MILLIS, "Content-Length: " + BODY_BYTES + "\r\n")
                .getBytes(ISO_8859_1));
        byte[] piece = new byte[PIECE_BYTES];
        for (int written = 0;
                written < BODY_BYTES && client.getInputStream().available() == 0;
                written += PIECE_BYTES) {
            out.write(piece, 0, Math.min(PIECE_BYTES, BODY_BYTES - written));
            TimeUnit.MILLISECONDS.sleep(PIECE_MILLIS);
        }
        return SidecarTestbed.readStatus(new HttpReader(client.getInputStream()));
    }

    @Test
    void slowUploadsAndTheRequestsBesideThemAreAnswered() throws Exception {
        CountDownLatch done = new CountDownLatch(UPLOADS);
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 4, ScriptedUpstream.answering("a"));
                UsualClients usual = new UsualClients(testbed.sidecar().port(), USUAL_CLIENTS, WAIT_MILLIS)) {
            for (int i = 0; i < UPLOADS; i++) {
                String id = "upload-" + i;
                DaemonThreads.start("upload", () -> {
                    upload(testbed, id);
                    done.countDown();
                });
            }
            assertTrue(done.await(60, TimeUnit.SECONDS), "uploads without an end");
            usual.close();
            assertEquals(Set.of("status 200", "status 429"), uploadEnds.keySet(), () -> "uploads " + uploadEnds);
            assertEquals(Set.of(UsualClients.End.SERVED), usual.ends().keySet(), () -> "usual " + usual.ends());
        }
    }
}
