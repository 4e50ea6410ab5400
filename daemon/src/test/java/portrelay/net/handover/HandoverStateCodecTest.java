package portrelay.net.handover;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import portrelay.json.JsonTree;
import portrelay.model.UpstreamId;
import portrelay.net.discovery.EndpointListLimit;

/** Guards the stored form against changes, as processes of other versions read it. */
class HandoverStateCodecTest {

    /** A state file as version 5d52c72 wrote it. */
    private static final String RECORDED = """
            {
              "form" : 1,
              "name" : "t",
              "listen" : "127.0.0.1:8080",
              "offerings" : [ "read" ],
              "serving" : true,
              "ending" : true,
              "out-of-service" : true,
              "out-of-service-at" : 1.76475000025E9,
              "calls" : [ {
                "id" : "1f",
                "offline" : true,
                "at" : 1.7647500015E9
              }, {
                "id" : "fffffffffffffffe",
                "offline" : false,
                "at" : 1764750002
              } ],
              "ever" : [ "fffffffffffffffe", "1f" ],
              "list" : {
                "seq" : 7,
                "whole" : true,
                "hosts" : [ {
                  "host" : "s-0",
                  "dial" : "127.0.0.1:9",
                  "site" : "a",
                  "class" : "m",
                  "block" : 1,
                  "health" : "SERVING",
                  "share" : 1,
                  "born_ms" : 0
                } ]
              }
            }
            """;

    private static final UpstreamId DISABLED = new UpstreamId(0x1f);
    private static final UpstreamId ENABLED = new UpstreamId(-2);

    @Test
    void recordedStateFileIsDecodedAndEncodedUnchanged() throws Exception {
        HandoverState state = HandoverStateCodec.decode(
                new ByteArrayInputStream(RECORDED.getBytes(UTF_8)), "t", EndpointListLimit.ofHeap(1));
        assertEquals(new HandoverState.Owner("t", "127.0.0.1:8080", Set.of("read")), state.owner);
        assertTrue(state.isServing && state.isShuttingDown);
        assertEquals(new HandoverState.OperatorCall(true, 1764750000.25), state.sidecarCall);
        assertEquals(
                Map.of(
                        DISABLED,
                        new HandoverState.OperatorCall(true, 1764750001.5),
                        ENABLED,
                        new HandoverState.OperatorCall(false, 1764750002)),
                state.upstreamCalls.latest());
        assertEquals(List.of(ENABLED, DISABLED), state.endpointList.everListed());
        String written = new String(JsonTree.write(HandoverStateCodec.encode(state)), UTF_8);
        assertEquals(RECORDED.strip(), written.strip());
    }
}
