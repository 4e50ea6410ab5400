package portrelay.net.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;

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
import portrelay.json.JsonTree;
import portrelay.json.ValueReader;
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.discovery.EndpointListPage;
import portrelay.net.discovery.EndpointListReader;
import portrelay.net.discovery.EndpointListSnapshot;
import portrelay.net.eventloop.Log;
import portrelay.settings.InvalidSettingException;

class HandoverDirectoryTest {

    private static final int ENDPOINT_COUNT = 20_000;
    private static final int LONGEST_LIST_BYTES = 4 * 1024 * 1024;

    private static EndpointListSnapshot snapshot(Object list, EndpointListLimit limit) throws Exception {
        ValueReader<InvalidSettingException> reader = json -> EndpointListReader.read(json, "list", limit);
        Object tree = JsonTree.parseStrict(JsonTree.write(Map.of("list", list)), Map.of("list", reader));
        return EndpointListSnapshot.of((EndpointListPage) ((Map<?, ?>) tree).get("list"), List.of());
    }

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
        EndpointListLimit limit = new EndpointListLimit(Long.MAX_VALUE, 1);
        state.endpointList = snapshot(Map.of("seq", 1.0, "whole", true, "hosts", rows), limit);
        HandoverDirectory first = new HandoverDirectory(directory, "n0", limit, log);
        first.write(state);
        HandoverDirectory successor = new HandoverDirectory(directory, "n0", limit, log);
        HandoverState read = successor.read(first.ownNumber());
        assertNotNull(read, logged.toString(StandardCharsets.US_ASCII));
        assertEquals(ENDPOINT_COUNT, read.endpointList.page().rows().size());
        first.releaseLock();
        successor.releaseLock();
    }
}
