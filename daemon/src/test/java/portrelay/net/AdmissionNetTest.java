package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static portrelay.net.SidecarFixture.answer;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicIntegerArray;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.xnio.conduits.StreamSourceConduit;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.Script;
import portrelay.net.client.RequestFramingFilter;

/** Admission over sockets: connection capacity, fair queues, Retry-After. */
@Timeout(30)
class AdmissionNetTest {

    /** Answers after so many milliseconds; any number at once. */
    private static Script after(long millis) {
        return (m, on) -> {
            Thread.sleep(millis);
            answer("200 OK", "ok").run(m, on);
        };
    }

    private static double arrival(SidecarFixture testbed, String id) throws IOException {
        long start = System.nanoTime();
        assertEquals(200, testbed.exchange(SidecarFixture.readRequest(id, 900)).status(), id);
        return (System.nanoTime() - start) / 1e9;
    }

    /** Guards against connections that send no complete request locking clients out. */
    @Test
    void silentSlowAndUnreadingConnectionsDoNotKeepAUsualClientWaiting() throws Exception {
        CountDownLatch until = new CountDownLatch(1);
        ExecutorService threads = Executors.newCachedThreadPool();
        try (SidecarFixture testbed = new SidecarFixture(120, answer("200 OK", "ok"))) {
            for (int i = 0; i < 10; i++) {
                Future<?> ignored = threads.submit(() -> {
                    // Connects again as soon as it is closed, and never sends a byte.
                    while (until.getCount() > 0) {
                        try (Socket on = testbed.connect()) {
                            on.getInputStream().read();
                        }
                    }
                    return null;
                });
            }
            double worst = 0;
            for (int i = 0; i < 150; i++) {
                Socket bad = testbed.connect();
                String slow = "GET /read/x HTTP/1.1\r\nHost: a\r\nX-Slow: ";
                String says = List.of("", slow, SidecarFixture.readRequest("u" + i, 900))
                        .get(i % 3);
                bad.getOutputStream().write(says.getBytes(ISO_8859_1));
                worst = Math.max(worst, arrival(testbed, "usual" + i));
            }
            until.countDown();
            assertTrue(worst < 0.15, "waited " + worst);
        } finally {
            threads.shutdownNow();
        }
    }

    /** All have sent bytes before one is tried for eviction, so none is evicted; guards against trying without end. */
    @Test
    void moreRequestsAtOnceThanConnectionsAreEachAnsweredOrClosed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(60, after(50))) {
            List<Socket> all = new ArrayList<>();
            for (int round = 0; round < 5; round++) {
                for (int i = 0; i < 60; i++) {
                    Socket one = testbed.connect();
                    one.getOutputStream()
                            .write(SidecarFixture.readRequest("q" + round + "-" + i, 900)
                                    .getBytes(ISO_8859_1));
                    all.add(one);
                }
            }
            int answered = 0;
            for (Socket each : all) {
                try {
                    Message got = Message.read(each.getInputStream());
                    answered += got == null ? 0 : 1;
                } catch (SocketException e) {
                    // Evicted.
                }
            }
            assertTrue(answered >= 40, answered + " answered");
            assertEquals(
                    200,
                    testbed.exchange(SidecarFixture.readRequest("after", 900)).status());
        }
    }

    /** Guards against idle connections keeping the capacity from new clients. */
    @Test
    void clientsThatSendOneRequestAndKeepTheirConnectionLockNobodyOut() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(120, answer("200 OK", "ok"))) {
            for (int i = 0; i < 300; i++) {
                assertTrue(arrival(testbed, "q" + i) < 0.5, "request " + i);
            }
            // Well before an idle connection would be closed by itself.
            long until = System.nanoTime() + 1_500_000_000L;
            long open = testbed.clients.size();
            while (open > 20 && System.nanoTime() < until) {
                open = testbed.clients.stream().filter(AdmissionNetTest::isOpen).count();
            }
            assertTrue(open <= 20, open + " are idle");
        }
    }

    private static boolean isOpen(Socket each) {
        try {
            each.setSoTimeout(1);
            return each.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against bytes that are lost because a peek took them out of the kernel. */
    @Test
    void peekedBytesAreReadAllTheSame() throws Exception {
        byte[] request = SidecarFixture.readRequest("a", 900).getBytes(ISO_8859_1);
        ByteBuffer wire = ByteBuffer.wrap(request);
        AtomicInteger woken = new AtomicInteger();
        StreamSourceConduit source = (StreamSourceConduit) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {StreamSourceConduit.class}, (self, method, arguments) -> {
                    if (method.getName().equals("isReadResumed")) {
                        return true;
                    }
                    if (method.getName().equals("wakeupReads")) {
                        woken.incrementAndGet();
                        return null;
                    }
                    ByteBuffer to = (ByteBuffer) arguments[0];
                    int count = Math.min(Math.min(30, wire.remaining()), to.remaining());
                    to.put(wire.slice().limit(count));
                    wire.position(wire.position() + count);
                    return count;
                });
        AtomicInteger received = new AtomicInteger();
        RequestFramingFilter guard = new RequestFramingFilter(source, received::incrementAndGet, () -> 0);
        assertTrue(guard.peek());
        assertEquals(1, woken.get(), "the kernel does not signal bytes that a peek took");
        assertEquals(0, received.get());
        byte[] all = new byte[request.length];
        for (int got = 0; got < all.length; ) {
            ByteBuffer some = ByteBuffer.allocate(7);
            int count = guard.read(some);
            assertTrue(count > 0);
            System.arraycopy(some.array(), 0, all, got, count);
            got += count;
        }
        assertArrayEquals(request, all);
        assertFalse(guard.peek());
    }

    /** A client that sends the next request as soon as it has a response; counts those that were served. */
    private static Future<Integer> sendRequests(
            ExecutorService threads,
            SidecarFixture testbed,
            String tenant,
            int n,
            CountDownLatch from,
            CountDownLatch until) {
        return threads.submit(() -> {
            int served = 0;
            Socket on = testbed.connect();
            for (int i = 0; until.getCount() > 0; i++) {
                String id = tenant + n + "-" + i;
                Message got = SidecarFixture.exchange(
                        on, SidecarFixture.readRequest(id, 900).replace("acme", tenant));
                served += got.status() == 200 && from.getCount() == 0 ? 1 : 0;
            }
            return served;
        });
    }

    /** Guards against a share that follows the number of a tenant's clients. */
    @Test
    void aQuietTenantsQuotaHoldsAgainstThreeTimesAsManyClients() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        CountDownLatch from = new CountDownLatch(1);
        CountDownLatch until = new CountDownLatch(1);
        try (SidecarFixture testbed = new SidecarFixture(1024, "{\"most-inside\": 8}", after(10), after(10))) {
            List<Future<Integer>> loud = new ArrayList<>();
            List<Future<Integer>> quiet = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                boolean isQuiet = i % 4 == 0;
                (isQuiet ? quiet : loud).add(sendRequests(threads, testbed, isQuiet ? "beta" : "acme", i, from, until));
            }
            assertFalse(until.await(700, TimeUnit.MILLISECONDS));
            from.countDown();
            assertFalse(until.await(2, TimeUnit.SECONDS));
            until.countDown();
            double ofQuiet = 0;
            double ofLoud = 0;
            for (Future<Integer> each : quiet) {
                ofQuiet += each.get();
            }
            for (Future<Integer> each : loud) {
                ofLoud += each.get();
            }
            assertTrue(ofQuiet + ofLoud > 400, "served " + (ofQuiet + ofLoud));
            assertEquals(0.5, ofQuiet / (ofQuiet + ofLoud), 0.05);
        } finally {
            threads.shutdownNow();
        }
    }

    /** At least nine of ten requests that come back after their Retry-After are admitted. */
    @Test
    void clientsThatComeBackAfterRetryAfterAreAdmitted() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        List<String> tenants = List.of("acme", "beta");
        AtomicIntegerArray admitted = new AtomicIntegerArray(2);
        AtomicIntegerArray rejected = new AtomicIntegerArray(2);
        CountDownLatch until = new CountDownLatch(1);
        try (SidecarFixture testbed =
                new SidecarFixture(1024, "{\"most-inside\": 8, \"most-waiting\": 16}", after(20), after(20))) {
            List<Future<?>> all = new ArrayList<>();
            for (int n = 0; n < 50; n++) {
                int client = n;
                all.add(threads.submit(() -> {
                    String retryAfter = null;
                    for (int i = 0; until.getCount() > 0; i++) {
                        String again = retryAfter == null ? "\r\n" : "X-Second-Try: 1\r\n\r\n";
                        Message got;
                        String request = SidecarFixture.readRequest("c" + client + "-" + i, 900)
                                .replace("acme", tenants.get(client % 2));
                        // A connection that was idle meanwhile may have been closed.
                        try (Socket on = new Socket(
                                testbed.sidecar.address().getAddress(),
                                testbed.sidecar.address().getPort())) {
                            got = SidecarFixture.exchange(on, request.substring(0, request.length() - 2) + again);
                        }
                        if (retryAfter != null) {
                            (got.status() == 200 ? admitted : rejected).incrementAndGet(client % 2);
                        }
                        retryAfter = got.header("Retry-After");
                        until.await(
                                retryAfter == null ? 20_000 : (long) (Double.parseDouble(retryAfter) * 1e6),
                                TimeUnit.MICROSECONDS);
                    }
                    return null;
                }));
            }
            assertFalse(until.await(3, TimeUnit.SECONDS));
            until.countDown();
            for (Future<?> each : all) {
                each.get();
            }
            for (int tenant = 0; tenant < 2; tenant++) {
                int kept = admitted.get(tenant);
                String counts = tenants.get(tenant) + ": " + kept + " admitted, " + rejected.get(tenant) + " rejected";
                assertTrue(kept > 50 && kept >= 0.9 * (kept + rejected.get(tenant)), counts);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Guards against a drain that leaves queued requests without a response. */
    @Test
    void aDrainAnswersAllQueuedRequests() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(1024, "{\"most-inside\": 2}", after(100))) {
            List<Socket> waiting = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Socket one = testbed.connect();
                one.getOutputStream()
                        .write(SidecarFixture.readRequest("q" + i, 900).getBytes(ISO_8859_1));
                waiting.add(one);
            }
            testbed.upstreams.get(0).next();
            testbed.sidecar.drain();
            for (Socket each : waiting) {
                int status = Message.read(each.getInputStream()).status();
                assertTrue(status == 200 || status == 429, "status " + status);
            }
        }
    }
}
