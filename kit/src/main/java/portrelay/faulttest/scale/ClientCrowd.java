package portrelay.faulttest.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import portrelay.standin.DaemonThreads;

/** The clients of all sidecars of a round, each on a thread of its own, and the requests that they have sent. */
final class ClientCrowd {

    private static final long JOIN_TIMEOUT_MILLIS = 8000;

    private final ScalePlan plan;
    private final SplittableRandom random;
    private final Queue<SentRequest> records = new ConcurrentLinkedQueue<>();
    private final List<ScaleClient> clients = new ArrayList<>();
    private final List<Thread> threads = new ArrayList<>();

    ClientCrowd(ScalePlan plan, SplittableRandom random) {
        this.plan = plan;
        this.random = random;
    }

    /** Starts the clients of each sidecar, which send to the port of the same index. */
    void start(List<Integer> ports) {
        for (int i = 0; i < ports.size(); i++) {
            for (int c = 0; c < plan.clients(); c++) {
                String name = namePrefix(i) + c;
                ScaleClient client = new ScaleClient(ports.get(i), name, random.split(), plan.leavingShare(), records);
                clients.add(client);
                threads.add(DaemonThreads.start(name, client));
            }
        }
    }

    /** Returns the beginning of the names, and so of the request ids, of all clients of a sidecar. */
    String namePrefix(int sidecar) {
        return "r" + Long.toHexString(plan.seed()) + "-" + sidecar + "-";
    }

    /** Makes each client stop once its connection ends. */
    void stopConnecting() {
        clients.forEach(ScaleClient::stopConnecting);
    }

    /** Waits until all clients have stopped, for a limited time. */
    void join() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MILLIS);
        for (Thread thread : threads) {
            thread.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        }
    }

    void interrupt() {
        threads.forEach(Thread::interrupt);
    }

    /** Returns the requests that have ended so far. */
    List<SentRequest> requests() {
        return List.copyOf(records);
    }
}
