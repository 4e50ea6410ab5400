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

    private static final int PLACES = 10;
    private static final double SERVICE_SECONDS = 0.05;
    private static final double MAX_RETRY_AFTER_SECONDS = 2;
    private static final double MAX_WAIT_SECONDS = 0.3;
    private static final double FLEET_PER_SECOND = PLACES / SERVICE_SECONDS;

    private record Event(double time, long order, Runnable action) {}

    /**
     * A controller with a virtual clock, a fleet that serves PLACES requests at once, and clients that may honour
     * Retry-After.
     */
    private static final class World implements AdmissionActions {
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

        World(AdmissionConfig config) {
            admission = new AdmissionController(config, MAX_RETRY_AFTER_SECONDS, 7, this);
        }

        void at(double time, Runnable action) {
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
                            admission.typicalWork(new RequestClassId(0)),
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
            at(now + SERVICE_SECONDS, () -> admission.requestAnswered(now, request));
        }

        @Override
        public void reject(RequestId request, double retryAfter) {
            int tenant = tenantOf.get(request);
            rejected.merge(tenant, 1, Integer::sum);
            retryAfters.add(retryAfter);
            if (clientsHonourRetryAfter && retryAfter > 0) {
                at(now + retryAfter, () -> send(tenant, "t" + tenant, true));
            }
        }

        @Override
        public void wakeUpAt(double time) {
            at(time, () -> admission.wakeUp(now));
        }

        @Override
        public boolean loadBalancerHasCapacity() {
            return true;
        }

        void sendPoisson(int tenant, double perSecond, double from, double until, SplittableRandom random) {
            for (double time = from; time < until; time -= Math.log(1 - random.nextDouble()) / perSecond) {
                at(time, () -> send(tenant, "t" + tenant, false));
            }
        }
    }

    private static AdmissionConfig config(int maxQueued, int maxFlows) {
        return new AdmissionConfig(
                AdmissionConfig.FlowsBy.TENANT,
                PLACES,
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
    void keepsAQuietTenantsShareWhileAnotherSendsThreeTimesItsOwn() {
        World world = new World(config(1024, 64));
        SplittableRandom random = new SplittableRandom(1);
        world.sendPoisson(0, 300, 0, 60, random);
        world.sendPoisson(1, 100, 0, 60, random);
        world.run(60);
        double quietShare = world.admitted.get(1) / 60.0 / FLEET_PER_SECOND;
        assertEquals(0.5, quietShare, 0.05);
        assertTrue(
                world.rejected.getOrDefault(1, 0) < 0.1 * world.admitted.get(1),
                "rejected by tenant: " + world.rejected);
        assertTrue(world.admitted.get(0) > 0.9 * 60 * FLEET_PER_SECOND / 2);
    }

    /** Tenant 0 sends a thousand retries within 10 ms. */
    @Test
    void aRetryStormOfOneTenantRejectsNothingOfAnother() {
        World world = new World(config(256, 64));
        SplittableRandom random = new SplittableRandom(2);
        world.sendPoisson(1, 60, 0, 4, random);
        world.sendPoisson(0, 60, 0, 4, random);
        for (int i = 0; i < 1000; i++) {
            world.at(2 + i * 1e-5, () -> world.send(0, "t0", true));
        }
        world.run(5);
        assertEquals(0, world.rejected.getOrDefault(1, 0));
        assertTrue(world.peakQueued <= 256 && world.rejected.get(0) > 800);
        assertEquals(0, world.admission.queuedCount() + world.admission.inFlightCount());
    }

    /** 10,000 clients, each with a flow of its own, arrive within a second and disconnect 0.1 s later. */
    @Test
    void aFloodOfNewClientsStaysWithinTheBoundAndLeavesNoState() {
        World world = new World(new AdmissionConfig(
                AdmissionConfig.FlowsBy.CLIENT,
                PLACES,
                false,
                512,
                1 << 20,
                128,
                0.25,
                10,
                ConnectionCapacityConfig.DEFAULTS));
        SplittableRandom random = new SplittableRandom(3);
        for (double time = 0; time < 4; time += 0.02) {
            world.at(time, () -> world.send(1, "regular", false));
        }
        for (int i = 0; i < 10_000; i++) {
            String flow = "c" + i;
            world.at(2 + random.nextDouble(), () -> {
                RequestId id = world.send(0, flow, false);
                world.at(world.now + 0.1, () -> world.admission.clientLeft(world.now, id));
            });
        }
        world.run(2.5);
        assertTrue(world.peakQueued <= 512);
        world.run(10);
        assertEquals(0, world.admission.queuedCount() + world.admission.inFlightCount());
        assertTrue(world.admitted.get(1) >= 190, "of 200 regular requests " + world.admitted.get(1) + " were admitted");
    }

    /** The clients of half of the requests disconnect if their request is still queued. */
    @Test
    void anAbandonedRequestLeavesNoState() {
        World world = new World(config(1024, 64));
        List<RequestId> sent = new ArrayList<>();
        for (int i = 0; i < 400; i++) {
            sent.add(world.send(i % 4, "t" + i % 4, false));
        }
        for (int i = 0; i < 400; i += 2) {
            if (world.admission.isQueued(sent.get(i))) {
                world.admission.clientLeft(world.now, sent.get(i));
                assertTrue(!world.admission.isOpen(sent.get(i)));
            }
        }
        world.run(5);
        world.admission.wakeUp(world.now);
        assertEquals(
                0,
                world.admission.queuedCount()
                        + world.admission.inFlightCount()
                        + world.admission.openRetryAfterCount());
        sent.forEach(each -> assertTrue(!world.admission.isOpen(each)));
        assertTrue(world.admission.countersByTenant().values().stream().allMatch(counters -> counters.queued() == 0));
    }

    /** Covers a shutdown while requests are queued. */
    @Test
    void closingRejectsAllQueuedAndAdmitsNoMore() {
        World world = new World(config(1024, 64));
        for (int i = 0; i < 100; i++) {
            world.send(i % 3, "t" + i % 3, false);
        }
        int inFlight = world.admission.inFlightCount();
        world.admission.close(world.now);
        assertEquals(0, world.admission.queuedCount());
        assertEquals(100 - inFlight, world.retryAfters.size());
        world.send(0, "t0", false);
        world.run(1);
        assertEquals(101 - inFlight, world.retryAfters.size());
        assertEquals(0, world.admission.inFlightCount());
    }

    /** At least nine of ten requests that come at their Retry-After are admitted. */
    @Test
    void aRetryAfterIsHonouredInNineCasesOfTen() {
        World world = new World(config(256, 64));
        world.clientsHonourRetryAfter = true;
        SplittableRandom random = new SplittableRandom(4);
        world.sendPoisson(0, 300, 0, 30, random);
        world.sendPoisson(1, 150, 0, 30, random);
        world.run(40);
        for (int tenant = 0; tenant < 2; tenant++) {
            TenantCounters counters = world.admission.countersByTenant().get(new TenantId(tenant));
            assertTrue(counters.retryAfterGiven() > 500, "Retry-After given: " + counters.retryAfterGiven());
            assertTrue(counters.retryAfterHonoured() > 100, "too few Retry-After times were honoured: " + counters);
            assertTrue(
                    counters.retryAfterHonoured()
                            >= 0.9 * (counters.retryAfterHonoured() + counters.retryAfterMissed()),
                    counters.toString());
        }
        assertTrue(world.retryAfters.stream().allMatch(each -> each <= MAX_RETRY_AFTER_SECONDS));
        assertTrue(
                world.retryAfters.stream().filter(each -> each > 0).distinct().count() > 500,
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
