package portrelay.net.handover;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import portrelay.net.eventloop.Log;

class HandoverDirectoryTest {

    private static final int ENDPOINT_COUNT = 20_000;
    private static final int LONGEST_LIST_BYTES = 4 * 1024 * 1024;

    /**
     * Guards against a successor that starts without an endpoint list because it refuses to read a state file whose
     * list is nearly as long as discovery may send.
     */
    @Test
    void aStateFileWithTheLongestEndpointListIsRead(@TempDir Path directory) throws Exception {
        ByteArrayOutputStream logged = new ByteArrayOutputStream();
        Log log = new Log(new PrintStream(logged, true, StandardCharsets.US_ASCII), "t");
        List<Object> rows = new ArrayList<>();
        String host = "x".repeat(LONGEST_LIST_BYTES / ENDPOINT_COUNT);
        for (int i = 0; i < ENDPOINT_COUNT; i++) {
            rows.add(Map.of("host", host + i, "dial", "127.0.0.1:9", "health", "SERVING"));
        }
        HandoverState state = new HandoverState(new HandoverState.Owner("n0", "127.0.0.1:1", Set.of("read")));
        state.endpointList = Map.of("seq", 1.0, "whole", true, "hosts", rows);
        HandoverDirectory first = new HandoverDirectory(directory, "n0", log);
        first.write(state);
        HandoverDirectory successor = new HandoverDirectory(directory, "n0", log);
        HandoverState read = successor.read(first.ownNumber());
        assertNotNull(read, logged.toString(StandardCharsets.US_ASCII));
        assertTrue(read.endpointList != null);
        first.releaseLock();
        successor.releaseLock();
    }
}
