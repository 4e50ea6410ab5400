package portrelay.faulttest.overload;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import portrelay.faulttest.SidecarTestbed;
import portrelay.faulttest.UsualClients;
import portrelay.faulttest.scale.ProcessMeter;
import portrelay.standin.SidecarProcess;
import portrelay.standin.Signals;

/**
 * One round with a real sidecar: usual clients all the time, and from its second second on those that hold what all
 * share. Checks that no usual request is cut or late, that responses which have begun are received completely, that no
 * unsafe request runs twice, and that the process lives within its memory.
 */
public final class OverloadRound {

    private static final int USUAL_CLIENTS = 12;
    private static final int UPSTREAMS = 6;
    private static final double DEADLINE_SECONDS = 2;
    private static final double MAX_KILL_DELAY_SECONDS = DEADLINE_SECONDS + 0.7;
    private static final int STEPS = 50;
    private static final int STEP_MILLIS = 100;
    private static final int OVERLOAD_STEP = 10;
    private static final int REPLACE_UPSTREAM_EVERY = 12;
    private static final int RELOAD_STEP = 20;
    private static final int RELOADS = 3;

    private final OverloadPlan plan;
    private final Path files;
    private final OverloadUpstream upstream = new OverloadUpstream();
    private final List<OverloadViolation> violations = new ArrayList<>();
    private ProcessMeter meter;

    private OverloadRound(OverloadPlan plan, Path files) {
        this.plan = plan;
        this.files = files;
    }

    /**
     * Plays the round that is drawn from the seed.
     *
     * @param files an empty folder for configurations and logs
     */
    public static OverloadReport play(long seed, Path files) throws IOException, InterruptedException {
        return new OverloadRound(OverloadPlan.draw(seed), files).play();
    }

    private OverloadReport play() throws IOException, InterruptedException {
        SidecarTestbed.Limits limits = new SidecarTestbed.Limits(DEADLINE_SECONDS, plan.sockets(), plan.memoryMb());
        try (SidecarTestbed testbed = new SidecarTestbed(files, limits, UPSTREAMS, upstream);
                Signals signals = new Signals()) {
            meter = new ProcessMeter(testbed.sidecar().process().pid());
            UsualClients usual = new UsualClients(testbed.sidecar().port(), USUAL_CLIENTS, plan.waitMillis());
            OverloadClients others = new OverloadClients(testbed, plan, upstream);
            SidecarProcess successor = null;
            try {
                run(testbed, signals, others);
                successor = plan.isReplaced() ? replaceProcess(testbed, signals) : null;
                others.close();
                usual.close();
                SidecarProcess last = successor == null ? testbed.sidecar() : successor;
                if (!last.process().isAlive()) {
                    String lastLine = last.log().get(last.log().size() - 1);
                    violations.add(new OverloadViolation(false, "the process has ended: " + lastLine));
                }
            } finally {
                others.close();
                if (successor != null) {
                    successor.close();
                }
            }
            return report(usual, others);
        }
    }

    private void run(SidecarTestbed testbed, Signals signals, OverloadClients others)
            throws IOException, InterruptedException {
        for (int step = 0; step < STEPS; step++) {
            TimeUnit.MILLISECONDS.sleep(STEP_MILLIS);
            meter.sample();
            if (step == OVERLOAD_STEP) {
                others.startOverload();
            }
            if (plan.replacesUpstreams() && step % REPLACE_UPSTREAM_EVERY == REPLACE_UPSTREAM_EVERY - 1) {
                int index = step / REPLACE_UPSTREAM_EVERY % UPSTREAMS;
                upstream.upstreamEnded();
                testbed.replaceUpstream(index, index % 2 == 0, upstream);
            }
            if (step >= RELOAD_STEP && step < RELOAD_STEP + RELOADS) {
                signals.send(Signals.Signal.HUP, testbed.sidecar().process());
            }
        }
    }

    /** Starts a successor, ends the first process at its earliest time, and goes on for a while. */
    private SidecarProcess replaceProcess(SidecarTestbed testbed, Signals signals)
            throws IOException, InterruptedException {
        SidecarProcess successor = testbed.startSuccessor(files.resolve("successor"));
        SidecarTestbed.awaitReady(successor);
        signals.send(Signals.Signal.TERM, testbed.sidecar().process());
        if (!testbed.sidecar().process().waitFor((long) (MAX_KILL_DELAY_SECONDS * 1000), TimeUnit.MILLISECONDS)) {
            signals.send(Signals.Signal.KILL, testbed.sidecar().process());
        }
        TimeUnit.MILLISECONDS.sleep(OVERLOAD_STEP * STEP_MILLIS);
        return successor;
    }

    private OverloadReport report(UsualClients usual, OverloadClients others) {
        violations.addAll(others.violations());
        upstream.executions().forEach((id, count) -> {
            boolean isUnsafe = id.startsWith("leaves-");
            if (isUnsafe && count > 1) {
                violations.add(new OverloadViolation(false, id + ": executed " + count + " times"));
            }
        });
        if (meter.peakMemoryMb() > plan.memoryMb()) {
            String text = "memory: " + meter.peakMemoryMb() + " MB of " + plan.memoryMb();
            violations.add(new OverloadViolation(false, text));
        }
        usual.problems().forEach(each -> violations.add(new OverloadViolation(true, each)));
        return new OverloadReport(
                plan,
                usual.ends(),
                others.wholeResponses(),
                meter.peakMemoryMb(),
                meter.maxWaitSeconds(),
                List.copyOf(violations));
    }
}
