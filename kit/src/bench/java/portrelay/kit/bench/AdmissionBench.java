package portrelay.kit.bench;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import portrelay.admission.AdmissionActions;
import portrelay.admission.AdmissionConfig;
import portrelay.admission.AdmissionController;
import portrelay.admission.AdmissionRequest;
import portrelay.admission.ConnectionCapacityConfig;
import portrelay.admission.FlowId;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;

/**
 * Measures the cost of admission for each request, by the number of clients and with and without a limit on requests in
 * flight, which makes requests queue.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
@Warmup(iterations = 3, time = 1)
@Measurement(iterations = 5, time = 1)
@Fork(
        value = 1,
        jvmArgs = {"-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1"})
public class AdmissionBench implements AdmissionActions {

    private static final RequestClassId REQUEST_CLASS = new RequestClassId(0);
    private static final int INITIAL_REQUESTS = 200;
    private static final double ARRIVAL_INTERVAL_SECONDS = 1e-4;
    private static final double MAX_WAIT_SECONDS = 1;
    private static final double WORK_SECONDS = 0.01;
    private static final int BYTES = 100;

    /** The number of clients, each with a flow of its own. */
    @Param({"1", "100", "10000"})
    private int clients;

    /** The maximum number of requests in flight; 0 for no limit, so that no request is queued. */
    @Param({"0", "8"})
    private int inside;

    private final ArrayDeque<RequestId> inFlight = new ArrayDeque<>();
    private FlowId[] flows;
    private AdmissionController admission;
    private double now;
    private long requests;

    /** Creates the controller and lets the first requests arrive. */
    @Setup
    public void start() {
        flows = new FlowId[clients];
        for (int i = 0; i < clients; i++) {
            flows[i] = new FlowId("127.0." + i / 256 + "." + i % 256);
        }
        admission = new AdmissionController(
                new AdmissionConfig(
                        AdmissionConfig.FlowsBy.CLIENT,
                        inside,
                        false,
                        4096,
                        16 << 20,
                        512,
                        0.25,
                        10,
                        ConnectionCapacityConfig.DEFAULTS),
                2,
                1,
                this);
        for (int i = 0; i < INITIAL_REQUESTS; i++) {
            arrive();
        }
    }

    private void arrive() {
        now += ARRIVAL_INTERVAL_SECONDS;
        requests++;
        admission.requestArrived(
                now,
                new AdmissionRequest(
                        new RequestId("q" + requests),
                        flows[(int) (requests % clients)],
                        null,
                        REQUEST_CLASS,
                        1,
                        WORK_SECONDS,
                        BYTES,
                        now + MAX_WAIT_SECONDS,
                        false));
    }

    /** One request arrives and one is answered; the time includes rejections from the queue. */
    @Benchmark
    public void request() {
        arrive();
        RequestId answered = inFlight.poll();
        if (answered != null) {
            admission.requestAnswered(now, answered);
        }
    }

    @Override
    public void admit(RequestId request) {
        inFlight.add(request);
    }

    @Override
    public void reject(RequestId request, double retryAfter) {
        // Ignored: the controller counts rejections itself.
    }

    @Override
    public void wakeUpAt(double time) {
        // Ignored: each arrival passes the current time.
    }

    @Override
    public boolean loadBalancerHasCapacity() {
        return true;
    }
}
