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

/** Tests admission over sockets: connection capacity, fair queues and Retry-After. */
@Timeout(30)
class AdmissionNetTest {

    /** Serves each message after so many milliseconds; the messages of all connections concurrently. */
    private static Script after(long millis) {
        return (message, connection) -> {
            Thread.sleep(millis);
            answer("200 OK", "ok").run(message, connection);
        };
    }

    /** Sends a request on a new connection and returns the seconds until it is served. */
    private static double secondsToServe(SidecarFixture testbed, String id) throws IOException {
        long start = System.nanoTime();
        assertEquals(200, testbed.exchange(SidecarFixture.readRequest(id, 900)).status(), id);
        return (System.nanoTime() - start) / 1e9;
    }

    /** Guards against locking clients out for connections that send no complete request or read no response. */
    @Test
    void silentSlowAndUnreadingConnectionsDoNotDelayUsualClients() throws Exception {
        CountDownLatch stop = new CountDownLatch(1);
        ExecutorService threads = Executors.newCachedThreadPool();
        try (SidecarFixture testbed = new SidecarFixture(120, answer("200 OK", "ok"))) {
            for (int i = 0; i < 10; i++) {
                Future<?> ignored = threads.submit(() -> {
                    // Never sends a byte, and connects again as soon as it is closed.
                    while (stop.getCount() > 0) {
                        try (Socket client = testbed.connect()) {
                            client.getInputStream().read();
                        }
                    }
                    return null;
                });
            }
            double longest = 0;
            for (int i = 0; i < 150; i++) {
                Socket unusual = testbed.connect();
                String incomplete = "GET /read/x HTTP/1.1\r\nHost: a\r\nX-Slow: ";
                String bytes = List.of("", incomplete, SidecarFixture.readRequest("u" + i, 900))
                        .get(i % 3);
                unusual.getOutputStream().write(bytes.getBytes(ISO_8859_1));
                longest = Math.max(longest, secondsToServe(testbed, "usual" + i));
            }
            stop.countDown();
            assertTrue(longest < 0.15, "seconds that a usual client waited: " + longest);
        } finally {
            threads.shutdownNow();
        }
    }

    /**
     * All connections have sent bytes before the first is considered for eviction, so none can be evicted; guards
     * against looking for one without end.
     */
    @Test
    void withMoreConcurrentRequestsThanConnectionsEachIsAnsweredOrClosed() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(60, after(50))) {
            List<Socket> clients = new ArrayList<>();
            for (int round = 0; round < 5; round++) {
                for (int i = 0; i < 60; i++) {
                    Socket client = testbed.connect();
                    client.getOutputStream()
                            .write(SidecarFixture.readRequest("q" + round + "-" + i, 900)
                                    .getBytes(ISO_8859_1));
                    clients.add(client);
                }
            }
            int answered = 0;
            for (Socket client : clients) {
                try {
                    Message response = Message.read(client.getInputStream());
                    answered += response == null ? 0 : 1;
                } catch (SocketException e) {
                    // Evicted.
                }
            }
            assertTrue(answered >= 40, answered + " requests were answered");
            assertEquals(
                    200,
                    testbed.exchange(SidecarFixture.readRequest("after", 900)).status());
        }
    }

    /** Guards against idle connections that use up the capacity for new clients. */
    @Test
    void clientsThatKeepTheirConnectionAfterOneRequestLockNobodyOut() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(120, answer("200 OK", "ok"))) {
            for (int i = 0; i < 300; i++) {
                assertTrue(secondsToServe(testbed, "q" + i) < 0.5, "request " + i);
            }
            // Ends well before the sidecar would close idle connections without need.
            long deadlineNanos = System.nanoTime() + 1_500_000_000L;
            long open = testbed.clients.size();
            while (open > 20 && System.nanoTime() < deadlineNanos) {
                open = testbed.clients.stream().filter(AdmissionNetTest::isOpen).count();
            }
            assertTrue(open <= 20, open + " idle connections are still open");
        }
    }

    private static boolean isOpen(Socket client) {
        try {
            client.setSoTimeout(1);
            return client.getInputStream().read() >= 0;
        } catch (SocketTimeoutException e) {
            return true;
        } catch (IOException e) {
            return false;
        }
    }

    /** Guards against losing the bytes that a peek read out of the kernel. */
    @Test
    void bytesThatAPeekReadAreStillRead() throws Exception {
        byte[] request = SidecarFixture.readRequest("a", 900).getBytes(ISO_8859_1);
        ByteBuffer wire = ByteBuffer.wrap(request);
        AtomicInteger wakeups = new AtomicInteger();
        StreamSourceConduit source = (StreamSourceConduit) Proxy.newProxyInstance(
                getClass().getClassLoader(), new Class<?>[] {StreamSourceConduit.class}, (self, method, arguments) -> {
                    if (method.getName().equals("isReadResumed")) {
                        return true;
                    }
                    if (method.getName().equals("wakeupReads")) {
                        wakeups.incrementAndGet();
                        return null;
                    }
                    ByteBuffer target = (ByteBuffer) arguments[0];
                    int count = Math.min(Math.min(30, wire.remaining()), target.remaining());
                    target.put(wire.slice().limit(count));
                    wire.position(wire.position() + count);
                    return count;
                });
        AtomicInteger received = new AtomicInteger();
        RequestFramingFilter filter =
                new RequestFramingFilter(source, received::incrementAndGet, () -> 0, Runnable::run);
        assertTrue(filter.peek());
        assertEquals(
                1, wakeups.get(), "reads were not woken up, and the kernel does not signal bytes that a peek took");
        assertEquals(0, received.get());
        byte[] all = new byte[request.length];
        for (int length = 0; length < all.length; ) {
            ByteBuffer buffer = ByteBuffer.allocate(7);
            int count = filter.read(buffer);
            assertTrue(count > 0);
            System.arraycopy(buffer.array(), 0, all, length, count);
            length += count;
        }
        assertArrayEquals(request, all);
        assertFalse(filter.peek());
    }

    /**
     * Starts a client that sends the next request as soon as it has a response, until stopped.
     *
     * @param counting has the count 0 while served requests count
     * @param stop has the count 0 once the client is to end
     * @return how many requests were served while they counted
     */
    private static Future<Integer> sendRequests(
            ExecutorService threads,
            SidecarFixture testbed,
            String tenant,
            int n,
            CountDownLatch counting,
            CountDownLatch stop) {
        return threads.submit(() -> {
            int served = 0;
            Socket client = testbed.connect();
            for (int i = 0; stop.getCount() > 0; i++) {
                String id = tenant + n + "-" + i;
                Message response = SidecarFixture.exchange(
                        client, SidecarFixture.readRequest(id, 900).replace("acme", tenant));
                served += response.status() == 200 && counting.getCount() == 0 ? 1 : 0;
            }
            return served;
        });
    }

    /** Guards against a tenant's share that grows with the number of its clients. */
    @Test
    void aTenantGetsItsShareAgainstOneWithThreeTimesAsManyClients() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        CountDownLatch counting = new CountDownLatch(1);
        CountDownLatch stop = new CountDownLatch(1);
        try (SidecarFixture testbed = new SidecarFixture(1024, "{\"most-inside\": 8}", after(10), after(10))) {
            List<Future<Integer>> loud = new ArrayList<>();
            List<Future<Integer>> quiet = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                boolean isQuiet = i % 4 == 0;
                (isQuiet ? quiet : loud)
                        .add(sendRequests(threads, testbed, isQuiet ? "beta" : "acme", i, counting, stop));
            }
            assertFalse(stop.await(700, TimeUnit.MILLISECONDS));
            counting.countDown();
            assertFalse(stop.await(2, TimeUnit.SECONDS));
            stop.countDown();
            double servedToQuiet = 0;
            double servedToLoud = 0;
            for (Future<Integer> served : quiet) {
                servedToQuiet += served.get();
            }
            for (Future<Integer> served : loud) {
                servedToLoud += served.get();
            }
            assertTrue(servedToQuiet + servedToLoud > 400, "served " + (servedToQuiet + servedToLoud));
            assertEquals(0.5, servedToQuiet / (servedToQuiet + servedToLoud), 0.05);
        } finally {
            threads.shutdownNow();
        }
    }

    /** Checks that at least nine of ten requests that return after their Retry-After are admitted. */
    @Test
    void clientsThatReturnAfterRetryAfterAreAdmitted() throws Exception {
        ExecutorService threads = Executors.newCachedThreadPool();
        List<String> tenants = List.of("acme", "beta");
        AtomicIntegerArray admitted = new AtomicIntegerArray(2);
        AtomicIntegerArray rejected = new AtomicIntegerArray(2);
        CountDownLatch stop = new CountDownLatch(1);
        try (SidecarFixture testbed =
                new SidecarFixture(1024, "{\"most-inside\": 8, \"most-waiting\": 16}", after(20), after(20))) {
            List<Future<?>> clients = new ArrayList<>();
            for (int n = 0; n < 50; n++) {
                int client = n;
                clients.add(threads.submit(() -> {
                    String retryAfter = null;
                    for (int i = 0; stop.getCount() > 0; i++) {
                        String headEnd = retryAfter == null ? "\r\n" : "X-Second-Try: 1\r\n\r\n";
                        Message response;
                        String request = SidecarFixture.readRequest("c" + client + "-" + i, 900)
                                .replace("acme", tenants.get(client % 2));
                        // Connects anew: a connection that was idle meanwhile may have been closed.
                        try (Socket connection = new Socket(
                                testbed.sidecar.address().getAddress(),
                                testbed.sidecar.address().getPort())) {
                            response = SidecarFixture.exchange(
                                    connection, request.substring(0, request.length() - 2) + headEnd);
                        }
                        if (retryAfter != null) {
                            (response.status() == 200 ? admitted : rejected).incrementAndGet(client % 2);
                        }
                        retryAfter = response.header("Retry-After");
                        stop.await(
                                retryAfter == null ? 20_000 : (long) (Double.parseDouble(retryAfter) * 1e6),
                                TimeUnit.MICROSECONDS);
                    }
                    return null;
                }));
            }
            assertFalse(stop.await(3, TimeUnit.SECONDS));
            stop.countDown();
            for (Future<?> running : clients) {
                running.get();
            }
            for (int tenant = 0; tenant < 2; tenant++) {
                int admittedCount = admitted.get(tenant);
                String counts =
                        tenants.get(tenant) + ": " + admittedCount + " admitted, " + rejected.get(tenant) + " rejected";
                assertTrue(admittedCount > 50 && admittedCount >= 0.9 * (admittedCount + rejected.get(tenant)), counts);
            }
        } finally {
            threads.shutdownNow();
        }
    }

    /** Guards against a drain that leaves queued requests unanswered. */
    @Test
    void aDrainAnswersAllQueuedRequests() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(1024, "{\"most-inside\": 2}", after(100))) {
            List<Socket> waiting = new ArrayList<>();
            for (int i = 0; i < 60; i++) {
                Socket client = testbed.connect();
                client.getOutputStream()
                        .write(SidecarFixture.readRequest("q" + i, 900).getBytes(ISO_8859_1));
                waiting.add(client);
            }
            testbed.upstreams.get(0).next();
            testbed.sidecar.drain();
            for (Socket client : waiting) {
                int status = Message.read(client.getInputStream()).status();
                assertTrue(status == 200 || status == 429, "status " + status);
            }
        }
    }
}
