package portrelay.faulttest;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import portrelay.standin.DaemonThreads;
import portrelay.standin.ScriptedUpstream;

/**
 * Hundreds of clients that begin a request and stop, on a real sidecar with little memory. Guards against a process
 * that runs out of memory because each connection is bounded, but not their sum.
 */
@Timeout(120)
class CrowdMemoryTest {

    private static final SidecarTestbed.Limits LIMITS = new SidecarTestbed.Limits(2, 1024, 96);
    private static final int CROWD = 850;
    private static final int USUAL_CLIENTS = 10;
    private static final int WAIT_MILLIS = 2000;
    private static final int CROWDED_SECONDS = 3;
    private static final int PIPELINING_CLIENTS = 300;
    private static final int SENT_BODY_BYTES = 50_000;
    private static final int SENT_HEAD_BYTES = 30_000;

    @TempDir
    private Path files;

    /** What a client of the crowd sends before it stops. */
    private enum Unfinished {
        BODY_WITH_LENGTH {
            @Override
            String bytes(String id) {
                return SidecarTestbed.head(id, "issue", WAIT_MILLIS, "Content-Length: 60000\r\n")
                        + "b".repeat(SENT_BODY_BYTES);
            }
        },
        CHUNKED_BODY {
            @Override
            String bytes(String id) {
                return SidecarTestbed.head(id, "issue", WAIT_MILLIS, "Transfer-Encoding: chunked\r\n") + "ea60\r\n"
                        + "b".repeat(SENT_BODY_BYTES);
            }
        },
        HEAD_OF_MANY_FIELDS {
            @Override
            String bytes(String id) {
                String request = SidecarTestbed.head(id, "read", WAIT_MILLIS, "");
                return request.substring(0, request.length() - 2) + "A: b\r\n".repeat(180);
            }
        },
        HEAD_WITH_A_LONG_FIELD {
            @Override
            String bytes(String id) {
                String request = SidecarTestbed.head(id, "read", WAIT_MILLIS, "");
                return request.substring(0, request.length() - 2) + "A: " + "b".repeat(SENT_HEAD_BYTES);
            }
        };

        abstract String bytes(String id);
    }

    @ParameterizedTest
    @EnumSource
    void aCrowdThatStopsWithinItsRequestsTakesNeitherTheProcessNorUsualRequests(Unfinished kind) throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 4, ScriptedUpstream.answering("a"));
                UsualClients usual = new UsualClients(testbed.sidecar().port(), USUAL_CLIENTS, WAIT_MILLIS)) {
            for (int i = 0; i < CROWD; i++) {
                crowd.add(testbed.connect());
                send(crowd.get(i), kind.bytes("crowd-" + i));
            }
            TimeUnit.SECONDS.sleep(CROWDED_SECONDS);
            usual.close();
            assertTrue(testbed.sidecar().process().isAlive(), () -> "the sidecar has ended: " + usual.ends());
            assertEquals(List.of(), List.copyOf(usual.problems()), () -> "of " + usual.ends());
        } finally {
            for (Socket client : crowd) {
                client.close();
            }
        }
    }

    private static void send(Socket client, String bytes) {
        try {
            client.getOutputStream().write(bytes.getBytes(ISO_8859_1));
        } catch (IOException e) {
            // Closed by the sidecar: allowed for a client that does not finish its request.
        }
    }

    /**
     * Guards against requests sent ahead that are held without a limit on their sum, and against records of each of
     * them that take several times what is counted.
     *
     * @param pipelined how many requests each client sends ahead
     */
    @ParameterizedTest
    @ValueSource(ints = {300, 600})
    void manyClientsThatSendManyRequestsAheadTakeNeitherTheProcessNorUsualRequests(int pipelined) throws Exception {
        List<Socket> crowd = new ArrayList<>();
        try (SidecarTestbed testbed = new SidecarTestbed(files, LIMITS, 4, ScriptedUpstream.answering("a"));
                UsualClients usual = new UsualClients(testbed.sidecar().port(), USUAL_CLIENTS, WAIT_MILLIS)) {
            for (int i = 0; i < PIPELINING_CLIENTS; i++) {
                crowd.add(testbed.connect());
                StringBuilder requests = new StringBuilder();
                for (int j = 0; j < pipelined; j++) {
                    requests.append(new String(
                            SidecarTestbed.request("crowd-" + i + "-" + j, "read", WAIT_MILLIS), ISO_8859_1));
                }
                Socket client = crowd.get(i);
                DaemonThreads.start("pipelining", () -> send(client, requests.toString()));
            }
            TimeUnit.SECONDS.sleep(CROWDED_SECONDS);
            usual.close();
            assertTrue(testbed.sidecar().process().isAlive(), () -> "the sidecar has ended: " + usual.ends());
            assertEquals(List.of(), List.copyOf(usual.problems()), () -> "of " + usual.ends());
        } finally {
            for (Socket client : crowd) {
                client.close();
            }
        }
    }
}
