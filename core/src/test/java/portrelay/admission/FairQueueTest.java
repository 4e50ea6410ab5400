package portrelay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;

/** Tests the fair queue against a simple, slow fluid server as reference, and its bounds. */
class FairQueueTest {

    private static final int FLOWS = 5;
    private static final double MAX_WORK = 4;

    static AdmissionRequest request(String id, String flow, double weight, double work) {
        return new AdmissionRequest(
                new RequestId(id), new FlowId(flow), null, new RequestClassId(0), weight, work, 10, 1e9, false);
    }

    private static double weight(int flow) {
        return 1 + flow % 3;
    }

    /** Reference implementation: divides each unit of work by weight among the flows that have work left. */
    private static final class FluidServer {
        private final double[] served = new double[FLOWS];
        private final double[] left = new double[FLOWS];

        void serve(double work) {
            double rest = work;
            while (rest > 1e-12) {
                double weights = 0;
                double step = rest;
                for (int i = 0; i < FLOWS; i++) {
                    weights += left[i] > 1e-12 ? weight(i) : 0;
                }
                if (weights == 0) {
                    return;
                }
                for (int i = 0; i < FLOWS; i++) {
                    step = left[i] > 1e-12 ? Math.min(step, left[i] / weight(i) * weights) : step;
                }
                for (int i = 0; i < FLOWS; i++) {
                    double share = left[i] > 1e-12 ? step * weight(i) / weights : 0;
                    served[i] += share;
                    left[i] -= share;
                }
                rest -= step;
            }
        }
    }

    @Property(tries = 600, seed = "20261201")
    void noFlowDiffersFromTheFluidServerByMoreThanTheWorkOfOneRequest(
            @ForAll @Size(max = 120) List<@IntRange(min = 0, max = 59) Integer> steps) {
        FairQueue queue = new FairQueue(1000, 100_000, 100);
        FluidServer fluid = new FluidServer();
        double[] served = new double[FLOWS];
        int sent = 0;
        for (int step : steps) {
            int flow = step % FLOWS;
            double work = 1 + step / FLOWS % (int) MAX_WORK;
            if (step < 40) {
                queue.add(request("q" + sent++, "f" + flow, weight(flow), work), false);
                fluid.left[flow] += work;
            } else {
                AdmissionRequest request = queue.next();
                if (request != null) {
                    served[request.flow().value().charAt(1) - '0'] += request.work();
                    fluid.serve(request.work());
                }
            }
            for (int i = 0; i < FLOWS; i++) {
                assertTrue(
                        Math.abs(served[i] - fluid.served[i]) <= MAX_WORK + 1e-6,
                        "flow " + i + " was served " + served[i] + " by the queue; by the fluid server "
                                + fluid.served[i]);
            }
        }
    }

    @Property(tries = 300, seed = "20261201")
    void losesAndDuplicatesNoRequestAndKeepsItsBounds(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 999) Integer> steps) {
        FairQueue queue = new FairQueue(7, 60, 3);
        Map<RequestId, AdmissionRequest> expected = new HashMap<>();
        int sent = 0;
        for (int step : steps) {
            if (step < 600) {
                AdmissionRequest request = new AdmissionRequest(
                        new RequestId("q" + sent++),
                        new FlowId("f" + step % 40),
                        null,
                        new RequestClassId(0),
                        1 + step % 2,
                        1,
                        step % 23,
                        1e9,
                        false);
                expected.put(request.id(), request);
                queue.add(request, step % 5 == 0)
                        .forEach(evicted -> assertEquals(evicted, expected.remove(evicted.id())));
            } else if (step < 800 && !expected.isEmpty()) {
                RequestId id = new ArrayList<>(expected.keySet()).get(step % expected.size());
                assertEquals(expected.remove(id), queue.remove(id));
            } else {
                AdmissionRequest request = queue.next();
                assertEquals(expected.isEmpty(), request == null);
                assertTrue(request == null || request.equals(expected.remove(request.id())));
            }
            assertEquals(expected.size(), queue.size());
            assertEquals(
                    expected.values().stream()
                            .mapToLong(AdmissionRequest::bytes)
                            .sum(),
                    queue.bytes());
            assertTrue(queue.size() <= 7 && queue.bytes() <= 60 && queue.flowCount() <= 3 + FairQueue.SHARED_FLOWS);
        }
        while (queue.next() != null) {
            assertTrue(queue.size() >= 0);
        }
        assertEquals(0, queue.flowCount(), "flows are kept though no request is queued");
    }

    @Test
    void aFlowGetsNoCreditForTheTimeItWasIdle() {
        FairQueue queue = new FairQueue(1000, 100_000, 10);
        for (int i = 0; i < 100; i++) {
            queue.add(request("a" + i, "a", 1, 1), false);
        }
        for (int i = 0; i < 50; i++) {
            queue.next();
        }
        for (int i = 0; i < 100; i++) {
            queue.add(request("b" + i, "b", 1, 1), false);
        }
        int admittedOfB = 0;
        for (int i = 0; i < 20; i++) {
            admittedOfB += queue.next().flow().value().equals("b") ? 1 : 0;
        }
        assertEquals(10, admittedOfB, 1);
    }
}
