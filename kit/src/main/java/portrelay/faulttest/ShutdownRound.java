package portrelay.faulttest;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import portrelay.standin.DaemonThreads;
import portrelay.standin.Discovery;
import portrelay.standin.HangingUpstream;
import portrelay.standin.SidecarProcess;
import portrelay.standin.Signals;
import portrelay.standin.Signals.Signal;

/**
 * Plays one shutdown of a real sidecar over loopback: SIGTERM, pauses and further signals, SIGKILL at the earliest
 * moment that the platform's protocol allows.
 */
public final class ShutdownRound {

    private static final int UPSTREAMS = 8;
    private static final double START_TIMEOUT = 30;
    /** Of one plan, where the plays before did not count. */
    private static final int MAX_PLAYS = 2;
    /** The upstreams begin to hang so long before SIGTERM. */
    private static final double HANG_BEFORE = 0.1;
    /** A signal that is sent later than this after its time counts as late. */
    private static final double LATE_SIGNAL = 0.002;

    private static final long CLIENT_SEED_OFFSET = 100;
    private static final long JOIN_MILLIS = 5000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** Exit code of a process that SIGKILL ended. */
    private static final int KILLED = 128 + 9;

    private final ShutdownPlan plan;
    private final Path files;
    private final ShutdownClock clock = new ShutdownClock();
    private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private final PauseMeter pauses = new PauseMeter();
    private final HoldMeter holds = new HoldMeter();
    private final long startedAt = System.nanoTime();

    /**
     * A round that can be played once.
     *
     * @param files a folder for the configuration and the log of each process
     */
    public ShutdownRound(ShutdownPlan plan, Path files) {
        this.plan = plan;
        this.files = files;
    }

    /**
     * Plays the plan; once more where the machine was too busy for the first play to count.
     *
     * @param files a folder for the files of each play
     * @return the plays; the last one counts if any does
     */
    public static List<ShutdownReport> playUntilValid(ShutdownPlan plan, Path files)
            throws IOException, InterruptedException {
        List<ShutdownReport> plays = new ArrayList<>();
        for (int play = 1; play <= MAX_PLAYS; play++) {
            ShutdownReport report = new ShutdownRound(plan, files.resolve("play-" + play)).play();
            plays.add(report);
            if (report.isValid()) {
                break;
            }
        }
        return plays;
    }

    /**
     * Plays it.
     *
     * @throws IOException where a process does not start, or a signal can't be sent
     */
    public ShutdownReport play() throws IOException, InterruptedException {
        List<HangingUpstream> upstreams = new ArrayList<>();
        try (Signals signals = new Signals();
                Discovery discovery = new Discovery(plan.seed())) {
            for (int i = 0; i < UPSTREAMS; i++) {
                upstreams.add(new HangingUpstream(plan.seed() + i));
            }
            String rows = RoundConfiguration.endpointRows(upstreams);
            discovery.list(rows, "");
            int port = SidecarProcess.freePort();
            String configuration = RoundConfiguration.json(port, discovery.address(), rows, plan.maxDeadline());
            return play(signals, upstreams, port, configuration);
        } finally {
            for (HangingUpstream each : upstreams) {
                each.close();
            }
        }
    }

    private ShutdownReport play(Signals signals, List<HangingUpstream> upstreams, int port, String configuration)
            throws IOException, InterruptedException {
        Path shared = files.resolve("tmp");
        try (SidecarProcess sidecar = SidecarProcess.start(port, configuration, files.resolve("process"), shared)) {
            sidecar.awaitListening(START_TIMEOUT);
            if (!plan.isBeforeReady()) {
                sidecar.awaitReady(START_TIMEOUT);
            }
            holds.start(sidecar.process());
            startClients(port);
            SidecarProcess successor = null;
            double runsFor = plan.runsFor();
            if (plan.successor() > 0) {
                successor = SidecarProcess.start(port, configuration, files.resolve("successor"), shared);
                runsFor = plan.successor();
            }
            ShutdownClock.sleepUntil(System.nanoTime() + nanos(runsFor));
            for (HangingUpstream each : upstreams) {
                each.hang(plan.hangingShare());
            }
            double endedAfter = shutDown(signals, sidecar);
            joinClients();
            List<SidecarProcess> sidecars = new ArrayList<>(List.of(sidecar));
            if (successor != null) {
                successor.close();
                sidecars.add(successor);
            }
            return report(sidecars, upstreams, endedAfter);
        }
    }

    /** Returns the seconds from SIGTERM to the end of the process, infinite where SIGKILL ended it. */
    private double shutDown(Signals signals, SidecarProcess sidecar) throws IOException, InterruptedException {
        CompletableFuture<Long> exit = sidecar.process().onExit().thenApply(process -> System.nanoTime());
        long termAt = System.nanoTime() + nanos(HANG_BEFORE);
        for (SignalTimeline.TimedSignal each : SignalTimeline.of(plan)) {
            long at = termAt + nanos(each.at());
            ShutdownClock.sleepUntil(at);
            if (each.signal() == Signal.TERM && each.at() == 0) {
                clock.term();
            }
            boolean isLate = System.nanoTime() - at > nanos(LATE_SIGNAL);
            if (!(isLate && each.signal() == Signal.STOP && plan.stoppedShare() > 0)) {
                // A late stop would follow the end of the one before it at once: the process would never run.
                signals.send(each.signal(), sidecar.process());
                pauses.signalSent(each.signal(), System.nanoTime());
            }
        }
        clock.over();
        if (!sidecar.process().waitFor(JOIN_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the sidecar outlives SIGKILL");
        }
        boolean isKilled = sidecar.process().exitValue() == KILLED;
        return isKilled ? Double.POSITIVE_INFINITY : (exit.join() - clock.termAt()) / NANOS_PER_SECOND;
    }

    private static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }

    private void startClients(int port) {
        SplittableRandom random = new SplittableRandom(plan.seed() + CLIENT_SEED_OFFSET);
        start(port, FaultTestClient.Habit.ASKS_ON, plan.clients() - plan.pipelining(), random);
        start(port, FaultTestClient.Habit.PIPELINES, plan.pipelining(), random);
        start(port, FaultTestClient.Habit.RESTS, plan.resting(), random);
        start(port, FaultTestClient.Habit.UPLOADS, plan.uploads(), random);
    }

    private void start(int port, FaultTestClient.Habit habit, int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            String name = habit.name().toLowerCase(Locale.ROOT) + "-" + i;
            FaultTestClient client =
                    new FaultTestClient(clock, port, name, habit, plan.maxDeadline(), records, random.split());
            clients.add(DaemonThreads.start("client-" + name, client));
        }
    }

    private void joinClients() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_MILLIS);
        for (Thread each : clients) {
            each.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        }
    }

    private ShutdownReport report(List<SidecarProcess> sidecars, List<HangingUpstream> upstreams, double endedAfter)
            throws IOException {
        List<SidecarLog> logs = new ArrayList<>();
        for (SidecarProcess each : sidecars) {
            logs.add(new SidecarLog(each.log(), startedAt, System.nanoTime()));
        }
        List<HangingUpstream.Arrival> arrivals =
                upstreams.stream().flatMap(each -> each.arrivals().stream()).toList();
        List<RequestRecord> requests = List.copyOf(records);
        ShutdownRuleChecker checker =
                new ShutdownRuleChecker(clock.termAt(), clock.after(plan.killAt()), !plan.isBeforeReady());
        int answered = (int) requests.stream().filter(RequestRecord::isAnswered).count();
        int rejected = (int) requests.stream().filter(RequestRecord::isRejected).count();
        return new ShutdownReport(
                plan,
                requests.size(),
                answered,
                rejected,
                endedAfter,
                Math.max(pauses.max(), holds.maxSeconds()),
                checker.judge(requests, arrivals, logs),
                sidecars.get(0).log());
    }
}
