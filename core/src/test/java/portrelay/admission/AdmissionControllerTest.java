package portrelay.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.TenantId;
import portrelay.settings.InvalidSettingException;
import portrelay.settings.JsonFields;

/** Tests admission control in virtual time, with a fleet of fixed capacity and fixed service time. */
class AdmissionControllerTest {

    private static final int FLEET_CAPACITY = 10;
    private static final double SERVICE_SECONDS = 0.05;
    private static final double MAX_RETRY_AFTER_SECONDS = 2;
    private static final double MAX_WAIT_SECONDS = 0.3;
    private static final double FLEET_PER_SECOND = FLEET_CAPACITY / SERVICE_SECONDS;

    private record Event(double time, long order, Runnable action) {}

    /**
     * A controller with a virtual clock, a fleet that serves FLEET_CAPACITY requests at once, and clients that may
     * honour Retry-After.
     */
    private static final class VirtualTimeHarness implements AdmissionActions {
        final AdmissionController admission;
        final PriorityQueue<Event> events = new PriorityQueue<>(
                (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
        final Map<RequestId, Integer> tenantOf = new HashMap<>();
        final Map<RequestId, Double> waitUntil = new HashMap<>();
        final Map<Integer, Integer> admitted = new HashMap<>();
        final Map<Integer, Integer> rejected = new HashMap<>();
        final List<Double> retryAfters = new ArrayList<>();
        boolean clientsHonourRetryAfter;
        double now;
        long order;
        int peakQueued;

        VirtualTimeHarness(AdmissionConfig config) {
            admission = new AdmissionController(config, MAX_RETRY_AFTER_SECONDS, 7, this);
        }

        void schedule(double time, Runnable action) {
            events.add(new Event(time, order++, action));
        }

        RequestId send(int tenant, String flow, boolean isRetry) {
            RequestId id = new RequestId("q" + order++);
            tenantOf.put(id, tenant);
            waitUntil.put(id, now + MAX_WAIT_SECONDS);
            admission.requestArrived(
                    now,
                    new AdmissionRequest(
                            id,
                            new FlowId(flow),
                            new TenantId(tenant),
                            new RequestClassId(0),
                            1,
                            admission.expectedWork(new RequestClassId(0)),
                            100,
                            now + MAX_WAIT_SECONDS,
                            isRetry));
            peakQueued = Math.max(peakQueued, admission.queuedCount());
            return id;
        }

        void run(double until) {
            while (!events.isEmpty() && events.peek().time <= until) {
                Event event = events.poll();
                now = Math.max(now, event.time);
                event.action.run();
            }
            now = until;
        }

        @Override
        public void admit(RequestId request) {
            assertTrue(now <= waitUntil.get(request) + 1e-9, "admitted after the end of its maximum wait");
            admitted.merge(tenantOf.get(request), 1, Integer::sum);
            schedule(now + SERVICE_SECONDS, () -> admission.requestAnswered(now, request));
        }

        @Override
        public void reject(RequestId request, double retryAfter) {
            int tenant = tenantOf.get(request);
            rejected.merge(tenant, 1, Integer::sum);
            retryAfters.add(retryAfter);
            if (clientsHonourRetryAfter && retryAfter > 0) {
                schedule(now + retryAfter, () -> send(tenant, "t" + tenant, true));
            }
        }

        @Override
        public void wakeUpAt(double time) {
            schedule(time, () -> admission.wakeUp(now));
        }

        @Override
        public boolean loadBalancerHasCapacity() {
            return true;
        }

        void sendPoisson(int tenant, double perSecond, double from, double until, SplittableRandom random) {
            for (double time = from; time < until; time -= Math.log(1 - random.nextDouble()) / perSecond) {
                schedule(time, () -> send(tenant, "t" + tenant, false));
            }
        }
    }

    private static AdmissionConfig config(int maxQueued, int maxFlows) {
        return new AdmissionConfig(
                AdmissionConfig.FlowsBy.TENANT,
                FLEET_CAPACITY,
                false,
                maxQueued,
                1 << 20,
                maxFlows,
                0.25,
                10,
                ConnectionCapacityConfig.DEFAULTS);
    }

    /** The fleet serves 200 requests per second. Tenant 0 sends 300 per second, three times its share. */
    @Test
    void aTenantKeepsItsShareWhileAnotherSendsThreeTimesItsOwn() {
        VirtualTimeHarness harness = new VirtualTimeHarness(config(1024, 64));
        SplittableRandom random = new SplittableRandom(1);
        harness.sendPoisson(0, 300, 0, 60, random);
        harness.sendPoisson(1, 100, 0, 60, random);
        harness.run(60);
        double shareOfTenantOne = harness.admitted.get(1) / 60.0 / FLEET_PER_SECOND;
        assertEquals(0.5, shareOfTenantOne, 0.05);
        assertTrue(
                harness.rejected.getOrDefault(1, 0) < 0.1 * harness.admitted.get(1),
                "rejected by tenant: " + harness.rejected);
        assertTrue(harness.admitted.get(0) > 0.9 * 60 * FLEET_PER_SECOND / 2);
    }

    /** Tenant 0 sends a thousand retries within 10 ms. */
    @Test
    void aRetryStormOfOneTenantRejectsNoRequestOfAnother() {
        VirtualTimeHarness harness = new VirtualTimeHarness(config(256, 64));
        SplittableRandom random = new SplittableRandom(2);
        harness.sendPoisson(1, 60, 0, 4, random);
        harness.sendPoisson(0, 60, 0, 4, random);
        for (int i = 0; i < 1000; i++) {
            harness.schedule(2 + i * 1e-5, () -> harness.send(0, "t0", true));
        }
        harness.run(5);
        assertEquals(0, harness.rejected.getOrDefault(1, 0));
        assertTrue(harness.peakQueued <= 256 && harness.rejected.get(0) > 800);
        assertEquals(0, harness.admission.queuedCount() + harness.admission.inFlightCount());
    }

    /** 10,000 clients, each with a flow of its own, arrive within a second and disconnect 0.1 s later. */
    @Test
    void aFloodOfNewClientsStaysWithinTheBoundAndLeavesNoState() {
        VirtualTimeHarness harness = new VirtualTimeHarness(new AdmissionConfig(
                AdmissionConfig.FlowsBy.CLIENT,
                FLEET_CAPACITY,
                false,
                512,
                1 << 20,
                128,
                0.25,
                10,
                ConnectionCapacityConfig.DEFAULTS));
        SplittableRandom random = new SplittableRandom(3);
        for (double time = 0; time < 4; time += 0.02) {
            harness.schedule(time, () -> harness.send(1, "regular", false));
        }
        for (int i = 0; i < 10_000; i++) {
            String flow = "c" + i;
            harness.schedule(2 + random.nextDouble(), () -> {
                RequestId id = harness.send(0, flow, false);
                harness.schedule(harness.now + 0.1, () -> harness.admission.clientLeft(harness.now, id));
            });
        }
        harness.run(2.5);
        assertTrue(harness.peakQueued <= 512);
        harness.run(10);
        assertEquals(0, harness.admission.queuedCount() + harness.admission.inFlightCount());
        assertTrue(
                harness.admitted.get(1) >= 190,
                "of 200 regular requests " + harness.admitted.get(1) + " were admitted");
    }

    /** The clients of half of the requests disconnect if their request is still queued. */
    @Test
    void anAbandonedRequestLeavesNoState() {
        VirtualTimeHarness harness = new VirtualTimeHarness(config(1024, 64));
        List<RequestId> sent = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            sent.add(harness.send(i % 4, "t" + i % 4, false));
        }
        for (int i = 0; i < 400; i += 2) {
            if (harness.admission.isQueued(sent.get(i))) {
                harness.admission.clientLeft(harness.now, sent.get(i));
                assertTrue(!harness.admission.isOpen(sent.get(i)));
            }
        }
        harness.run(5);
        harness.admission.wakeUp(harness.now);
        assertEquals(
                0,
                harness.admission.queuedCount()
                        + harness.admission.inFlightCount()
                        + harness.admission.openRetryAfterCount());
        sent.forEach(each -> assertTrue(!harness.admission.isOpen(each)));
        assertTrue(harness.admission.countersByTenant().values().stream().allMatch(counters -> counters.queued() == 0));
    }

    /** Covers a shutdown while requests are queued. */
    @Test
    void closeRejectsAllQueuedRequestsAndAdmitsNoMore() {
        VirtualTimeHarness harness = new VirtualTimeHarness(config(1024, 64));
        for (int i = 0; i < 100; i++) {
            harness.send(i % 3, "t" + i % 3, false);
        }
        int inFlight = harness.admission.inFlightCount();
        harness.admission.close(harness.now);
        assertEquals(0, harness.admission.queuedCount());
        assertEquals(100 - inFlight, harness.retryAfters.size());
        harness.send(0, "t0", false);
        harness.run(1);
        assertEquals(101 - inFlight, harness.retryAfters.size());
        assertEquals(0, harness.admission.inFlightCount());
    }

    /** At least nine of ten requests that come at their Retry-After are admitted. */
    @Test
    void nineOfTenRequestsAtTheirRetryAfterAreAdmitted() {
        VirtualTimeHarness harness = new VirtualTimeHarness(config(256, 64));
        harness.clientsHonourRetryAfter = true;
        SplittableRandom random = new SplittableRandom(4);
        harness.sendPoisson(0, 300, 0, 30, random);
        harness.sendPoisson(1, 150, 0, 30, random);
        harness.run(40);
        for (int tenant = 0; tenant < 2; tenant++) {
            TenantCounters counters = harness.admission.countersByTenant().get(new TenantId(tenant));
            assertTrue(counters.retryAfterGiven() > 500, "Retry-After given: " + counters.retryAfterGiven());
            assertTrue(counters.retryAfterHonoured() > 100, "too few Retry-After times were honoured: " + counters);
            assertTrue(
                    counters.retryAfterHonoured()
                            >= 0.9 * (counters.retryAfterHonoured() + counters.retryAfterMissed()),
                    counters.toString());
        }
        assertTrue(harness.retryAfters.stream().allMatch(each -> each <= MAX_RETRY_AFTER_SECONDS));
        assertTrue(
                harness.retryAfters.stream().filter(each -> each > 0).distinct().count() > 500,
                "too few distinct Retry-After times: given without jitter");
    }

    @Test
    void anInvalidSettingIsNamedWithItsPath() throws InvalidSettingException {
        Map<String, Object> invalid = Map.of(
                "flows-by",
                "tennant",
                "most-inside",
                1.5,
                "most-waiting",
                0.0,
                "wait-share",
                Double.NaN,
                "follow-module",
                "yes",
                "connections",
                Map.of("silent-share", 2.0),
                "most-wating",
                3.0);
        for (Map.Entry<String, Object> each : invalid.entrySet()) {
            JsonFields fields = JsonFields.of(Map.of(each.getKey(), each.getValue()), "door");
            InvalidSettingException thrown =
                    assertThrows(InvalidSettingException.class, () -> AdmissionConfig.read(fields), each.getKey());
            assertTrue(thrown.getMessage().contains("door." + each.getKey()), thrown.getMessage());
        }
        assertEquals(AdmissionConfig.DEFAULTS, AdmissionConfig.read(JsonFields.of(Map.of(), "door")));
    }
}
