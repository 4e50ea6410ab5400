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
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import portrelay.standin.DaemonThreads;
import portrelay.standin.Discovery;
import portrelay.standin.HangingUpstream;
import portrelay.standin.SidecarProcess;
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
    private final CountDownLatch clientsMayStart = new CountDownLatch(1);
    private final CountDownLatch clientsHaveStarted;
    private final PauseMeter pauses = new PauseMeter();
    private final HoldMeter holds = new HoldMeter();
    private final List<PlayedTimes.SentSignal> sentSignals = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private double clientsStartedIn;

    /**
     * A round that can be played once.
     *
     * @param files a folder for the configuration and the log of each process
     */
    public ShutdownRound(ShutdownPlan plan, Path files) {
        this.plan = plan;
        this.files = files;
        clientsHaveStarted = new CountDownLatch(plan.clients() + plan.resting() + plan.uploads());
    }

    /**
     * Plays the plan; once more where the machine was too busy for the first play to count, be it that the process was
     * held or that the plan was played late.
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
        try (SignalScheduler signals = new SignalScheduler();
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
            // Where the round failed they may still wait to start, or go on connecting.
            clients.forEach(Thread::interrupt);
            for (HangingUpstream each : upstreams) {
                each.close();
            }
        }
    }

    private ShutdownReport play(
            SignalScheduler signals, List<HangingUpstream> upstreams, int port, String configuration)
            throws IOException, InterruptedException {
        Path shared = files.resolve("tmp");
        makeClients(port);
        signals.awaitReady();
        try (SidecarProcess sidecar = SidecarProcess.start(port, configuration, files.resolve("process"), shared)) {
            sidecar.awaitListening(START_TIMEOUT);
            if (!plan.isBeforeReady()) {
                sidecar.awaitReady(START_TIMEOUT);
            }
            holds.start(sidecar.process());
            long clientsFrom = System.nanoTime();
            clientsMayStart.countDown();
            clientsHaveStarted.await();
            clientsStartedIn = (System.nanoTime() - clientsFrom) / NANOS_PER_SECOND;
            SidecarProcess successor = null;
            double runsFor = plan.runsFor();
            if (plan.successor() > 0) {
                successor = SidecarProcess.start(port, configuration, files.resolve("successor"), shared);
                runsFor = plan.successor();
            }
            List<SignalTimeline.TimedSignal> timeline = SignalTimeline.of(plan);
            double disturbedBefore = Math.max(HANG_BEFORE, -timeline.get(0).at());
            long plannedTermAt = System.nanoTime() + nanos(runsFor + disturbedBefore);
            double endedAfter = shutDown(signals, sidecar, upstreams, timeline, plannedTermAt);
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
    private double shutDown(
            SignalScheduler signals,
            SidecarProcess sidecar,
            List<HangingUpstream> upstreams,
            List<SignalTimeline.TimedSignal> timeline,
            long plannedTermAt)
            throws IOException, InterruptedException {
        CompletableFuture<Long> exit = sidecar.process().onExit().thenApply(process -> System.nanoTime());
        boolean isStarved = plan.stoppedShare() > 0;
        signals.play(timeline, sidecar.process().pid(), plannedTermAt, isStarved);
        ShutdownClock.sleepUntil(plannedTermAt - nanos(HANG_BEFORE));
        upstreams.forEach(upstream -> upstream.hang(plan.hangingShare()));
        for (SignalTimeline.TimedSignal each : timeline) {
            SignalScheduler.Sent sent = signals.next();
            if (each.isTerm()) {
                clock.term(sent.sentAt());
            }
            record(sent);
        }
        clock.over();
        if (!sidecar.process().waitFor(JOIN_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the sidecar outlives SIGKILL");
        }
        boolean isKilled = sidecar.process().exitValue() == KILLED;
        return isKilled ? Double.POSITIVE_INFINITY : (exit.join() - clock.termAt()) / NANOS_PER_SECOND;
    }

    private void record(SignalScheduler.Sent sent) {
        if (sent.isSkipped()) {
            return;
        }
        boolean isStarving = plan.stoppedShare() > 0 && (sent.signal() == Signal.STOP || sent.signal() == Signal.CONT);
        pauses.signalSent(sent.signal(), sent.sentAt());
        if (!isStarving) {
            double late = (sent.sentAt() - sent.plannedAt()) / NANOS_PER_SECOND;
            sentSignals.add(new PlayedTimes.SentSignal(sent.signal(), sent.at(), sent.at() + late));
        }
    }

    private static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }

    /** Each on a thread of its own that waits to start: making them all takes longer than any plan says. */
    private void makeClients(int port) {
        SplittableRandom random = new SplittableRandom(plan.seed() + CLIENT_SEED_OFFSET);
        make(port, FaultTestClient.Habit.ASKS_ON, plan.clients() - plan.pipelining(), random);
        make(port, FaultTestClient.Habit.PIPELINES, plan.pipelining(), random);
        make(port, FaultTestClient.Habit.RESTS, plan.resting(), random);
        make(port, FaultTestClient.Habit.UPLOADS, plan.uploads(), random);
    }

    private void make(int port, FaultTestClient.Habit habit, int count, SplittableRandom random) {
        for (int i = 0; i < count; i++) {
            String name = habit.name().toLowerCase(Locale.ROOT) + "-" + i;
            FaultTestClient client =
                    new FaultTestClient(clock, port, name, habit, plan.maxDeadline(), records, random.split());
            clients.add(DaemonThreads.start("client-" + name, () -> startWithOthers(client)));
        }
    }

    private void startWithOthers(FaultTestClient client) {
        try {
            clientsMayStart.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return;
        }
        clientsHaveStarted.countDown();
        client.run();
    }

    private void joinClients() throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_MILLIS);
        for (Thread each : clients) {
            each.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        }
    }

    private PlayedTimes playedTimes() {
        boolean isStarved = plan.stoppedShare() > 0;
        double stoppedShare = isStarved ? pauses.total() / plan.killAt() : 0;
        return new PlayedTimes(clientsStartedIn, List.copyOf(sentSignals), stoppedShare, plan.stoppedShare());
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
                playedTimes(),
                checker.judge(requests, arrivals, logs),
                sidecars.get(0).log());
    }
}
