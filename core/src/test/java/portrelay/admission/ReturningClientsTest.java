package portrelay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.HashSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests which clients have a flow of their own, and that the maps of new and of returning clients are bounded. */
class ReturningClientsTest {

    private final ReturningClients clients = new ReturningClients(2);

    private static AdmissionRequest request(String flow) {
        return FairQueueTest.request("q", flow, 16, 1);
    }

    @Test
    void newClientsShareFewFlowsThatTogetherWeighAsMuchAsOne() {
        Set<FlowId> flows = new HashSet<>();
        for (int i = 0; i < 1000; i++) {
            AdmissionRequest assigned = clients.assignFlow(0, request("c" + i));
            assertEquals(1, assigned.weight());
            flows.add(assigned.flow());
        }
        assertEquals(ReturningClients.SHARED_FLOWS, flows.size());
    }

    @Test
    void aClientThatReturnsAfterItsFirstAdmissionHasItsOwnFlow() {
        AdmissionRequest request = request("a");
        clients.assignFlow(0, request);
        assertNotEquals(request, clients.assignFlow(5, request), "the client was never admitted");
        clients.admitted(5, request.flow());
        assertNotEquals(request, clients.assignFlow(5.9, request), "too soon after the first admitted request");
        assertSame(request, clients.assignFlow(6, request));
        assertSame(request, clients.assignFlow(6, request));
    }

    /** Guards against a flood of new clients that evicts returning clients, which would be new again. */
    @Test
    void newClientsDoNotEvictReturningClients() {
        AdmissionRequest request = request("a");
        clients.admitted(0, request.flow());
        clients.assignFlow(1, request);
        for (int i = 0; i < 1000; i++) {
            clients.admitted(1, new FlowId("c" + i));
        }
        assertSame(request, clients.assignFlow(2, request));
        assertNotEquals(request("c0"), clients.assignFlow(3, request("c0")), "should have been evicted as the oldest");
        assertEquals(request("c999"), clients.assignFlow(3, request("c999")));
    }
}
