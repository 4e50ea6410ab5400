package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.HttpReader;
import portrelay.standin.ScriptedUpstream;
import portrelay.standin.SidecarProcess;

/**
 * A client that leaves and asks again with the same id, on real sidecars. Guards against an unsafe request that runs
 * twice.
 */
@Timeout(120)
class RepeatedIdTest {

    private static final int WAIT_MILLIS = 9000;
    private static final SidecarTestbed.Limits LIMITS = new SidecarTestbed.Limits(WAIT_MILLIS / 1e3, 512, 192);
    private static final int WORK_MILLIS = 300;
    private static final int REQUESTS = 20;
    private static final double READY_SECONDS = 40;

    @TempDir
    private Path files;

    /** Takes a while, so that the client can leave before the answer. */
    private static final ScriptedUpstream.Script WORKS = (head, reader, connection) -> {
        reader.skipBody(head);
        TimeUnit.MILLISECONDS.sleep(WORK_MILLIS);
        connection.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".getBytes(ISO_8859_1));
    };

    /** Sends a request, and resets the connection once an upstream has read it. */
    private static void sendAndLeave(SidecarTestbed testbed, String id, String requestClass) throws Exception {
        try (Socket client = testbed.connect()) {
            client.getOutputStream().write(SidecarTestbed.request(id, requestClass, WAIT_MILLIS));
            while (testbed.receivedCount(id) == 0) {
                Thread.onSpinWait();
            }
            client.setSoLinger(true, 0);
        }
    }

    private static int send(SidecarTestbed testbed, String id, String requestClass) throws Exception {
        try (Socket client = testbed.connect()) {
            client.getOutputStream().write(SidecarTestbed.request(id, requestClass, WAIT_MILLIS));
            return SidecarTestbed.readStatus(new HttpReader(client.getInputStream()));
        }
    }

    @Test
    void anUnsafeRequestWhoseClientLeftIsNotRunAgainUnderItsId() throws Exception {
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 3, WORKS)) {
            for (int i = 0; i < REQUESTS; i++) {
                String id = "left-" + i;
                sendAndLeave(testbed, id, "issue");
                assertEquals(409, send(testbed, id, "issue"));
                assertEquals(1, testbed.receivedCount(id));
            }
        }
    }

    /** Their upstreams recognise a repeat only within a cell, and the retry may go to another one. */
    @Test
    void aKeyedRequestWhoseClientLeftIsNotRunElsewhereUnderItsId() throws Exception {
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 3, WORKS)) {
            sendAndLeave(testbed, "left", "save");
            assertEquals(409, send(testbed, "left", "save"));
            assertEquals(1, testbed.receivedCount("left"));
        }
    }

    @Test
    void aSafeRequestWhoseClientLeftIsServedUnderItsId() throws Exception {
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 3, WORKS)) {
            sendAndLeave(testbed, "left", "read");
            assertEquals(200, send(testbed, "left", "read"));
        }
    }

    /** The first process is killed, so that it can't tell its successor anything any more. */
    @Test
    void anUnsafeRequestOfTheProcessBeforeIsNotRunAgainUnderItsId() throws Exception {
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 3, WORKS)) {
            try (SidecarProcess successor = testbed.startSuccessor(files.resolve("successor"))) {
                sendAndLeave(testbed, "left", "issue");
                testbed.sidecar().process().destroyForcibly().waitFor();
                successor.awaitReady(READY_SECONDS);
                assertTrue(successor.process().isAlive());
                assertEquals(409, send(testbed, "left", "issue"));
                assertEquals(1, testbed.receivedCount("left"));
            }
        }
    }
}
