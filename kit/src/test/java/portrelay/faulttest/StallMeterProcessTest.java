package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import portrelay.standin.Discovery;
import portrelay.standin.HangingUpstream;
import portrelay.standin.SidecarProcess;
import portrelay.standin.Signals;
import portrelay.standin.Signals.Signal;

/** Guards against a meter that measures nothing: it has to measure the stalls of real processes that are stopped. */
@Timeout(120)
class StallMeterProcessTest {

    private static final double START_TIMEOUT_SECONDS = 30;
    private static final long STOP_MILLIS = 300;
    private static final int STARVED_PERIODS = 5;
    private static final long STARVED_STOP_MILLIS = 100;
    private static final long STARVED_RUN_MILLIS = 25;
    private static final long AWAIT_MILLIS = 5000;
    /** The meter samples at intervals, so that its result is a lower bound; this is the tolerance in seconds. */
    private static final double SAMPLING_TOLERANCE_SECONDS = 0.05;

    @TempDir
    private Path files;

    private interface Disturbance {
        void apply(Signals signals, SidecarProcess sidecar, StallMeter meter) throws Exception;
    }

    private void play(Disturbance disturbance) throws Exception {
        try (Signals signals = new Signals();
                Discovery discovery = new Discovery(1);
                HangingUpstream upstream = new HangingUpstream(1)) {
            String rows = RoundConfiguration.endpointRows(List.of(upstream));
            discovery.publish(rows, "");
            int port = SidecarProcess.freePort();
            String json = RoundConfiguration.json(port, discovery.address(), rows, 1);
            try (SidecarProcess sidecar = SidecarProcess.start(port, json, files.resolve("p"), files.resolve("tmp"))) {
                sidecar.awaitReady(START_TIMEOUT_SECONDS);
                StallMeter meter = new StallMeter();
                meter.start(sidecar.process());
                awaitFirstSample(meter);
                disturbance.apply(signals, sidecar, meter);
            }
        }
    }

    private static void awaitFirstSample(StallMeter meter) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(AWAIT_MILLIS);
        while (true) {
            try {
                meter.maxSeconds();
                return;
            } catch (IllegalStateException e) {
                if (System.nanoTime() > until) {
                    throw e;
                }
                TimeUnit.MILLISECONDS.sleep(1);
            }
        }
    }

    private static void stop(Signals signals, SidecarProcess sidecar, long millis) throws Exception {
        signals.send(Signal.STOP, sidecar.process());
        TimeUnit.MILLISECONDS.sleep(millis);
        signals.send(Signal.CONT, sidecar.process());
    }

    @Test
    void measuresTheTimeForWhichAProcessIsStopped() throws Exception {
        play((signals, sidecar, meter) -> {
            stop(signals, sidecar, STOP_MILLIS);
            TimeUnit.MILLISECONDS.sleep(STARVED_RUN_MILLIS);
            double stallSeconds = meter.maxSeconds();
            assertTrue(
                    stallSeconds > STOP_MILLIS / 1e3 - SAMPLING_TOLERANCE_SECONDS,
                    "longest stall measured, in s: " + stallSeconds);
        });
    }

    @Test
    void measuresTheLongestStallOfAStarvedProcessAndNotTheSum() throws Exception {
        play((signals, sidecar, meter) -> {
            for (int i = 0; i < STARVED_PERIODS; i++) {
                stop(signals, sidecar, STARVED_STOP_MILLIS);
                TimeUnit.MILLISECONDS.sleep(STARVED_RUN_MILLIS);
            }
            double stallSeconds = meter.maxSeconds();
            assertTrue(
                    stallSeconds > STARVED_STOP_MILLIS / 1e3 - SAMPLING_TOLERANCE_SECONDS,
                    "longest stall measured, in s: " + stallSeconds);
            assertTrue(
                    stallSeconds < STARVED_PERIODS * STARVED_STOP_MILLIS / 1e3,
                    "longest stall measured, in s: " + stallSeconds);
        });
    }
}
