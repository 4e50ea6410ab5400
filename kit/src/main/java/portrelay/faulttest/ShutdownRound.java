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
 * Plays one shutdown of a real sidecar over loopback: SIGTERM, pauses and further signals, and SIGKILL at the earliest
 * time that the platform's protocol allows. An instance plays one round.
 */
public final class ShutdownRound {

    private static final int UPSTREAMS = 8;
    private static final double START_TIMEOUT_SECONDS = 30;
    /** How often a plan is played at most, if the earlier plays did not count. */
    private static final int MAX_PLAYS = 2;
    /** How long before SIGTERM the upstreams begin to leave requests unanswered, in seconds. */
    private static final double HANG_LEAD_SECONDS = 0.1;

    private static final long CLIENT_SEED_OFFSET = 100;
    private static final long JOIN_TIMEOUT_MILLIS = 5000;
    private static final double NANOS_PER_SECOND = 1e9;
    /** The exit code of a process that was ended by SIGKILL. */
    private static final int KILLED_EXIT_CODE = 128 + 9;

    private final ShutdownPlan plan;
    private final Path files;
    private final ShutdownClock clock = new ShutdownClock();
    private final Queue<RequestRecord> records = new ConcurrentLinkedQueue<>();
    private final List<Thread> clients = new ArrayList<>();
    private final CountDownLatch clientsMayStart = new CountDownLatch(1);
    private final CountDownLatch clientsHaveStarted;
    private final PauseMeter pauses = new PauseMeter();
    private final StallMeter stalls = new StallMeter();
    private final List<PlayedTimes.SentSignal> sentSignals = new ArrayList<>();
    private final long startedAt = System.nanoTime();
    private double clientsStartSeconds;

    /**
     * Creates a round, which can be played once.
     *
     * @param files the folder for the configuration and the log of each process
     */
    public ShutdownRound(ShutdownPlan plan, Path files) {
        this.plan = plan;
        this.files = files;
        clientsHaveStarted = new CountDownLatch(plan.clients() + plan.restingClients() + plan.uploadingClients());
    }

    /**
     * Plays the plan, and plays it a second time if the first play does not count because the machine was too busy: the
     * process was stalled for longer than planned, or the plan was played late.
     *
     * @param files the folder for the files of all plays
     * @return the reports of all plays; if any of them counts, it is the last one
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
     * Plays the round.
     *
     * @throws IOException if a process does not start, or a signal can't be sent
     */
    public ShutdownReport play() throws IOException, InterruptedException {
        List<HangingUpstream> upstreams = new ArrayList<>();
        try (SignalScheduler signals = new SignalScheduler();
                Discovery discovery = new Discovery(plan.seed())) {
            for (int i = 0; i < UPSTREAMS; i++) {
                upstreams.add(new HangingUpstream(plan.seed() + i));
            }
            String rows = RoundConfiguration.endpointRows(upstreams);
            discovery.publish(rows, "");
            int port = SidecarProcess.freePort();
            String configuration = RoundConfiguration.json(port, discovery.address(), rows, plan.maxDeadline());
            return play(signals, upstreams, port, configuration);
        } finally {
            // If the round failed, clients may still be waiting to start, or keep connecting.
            clients.forEach(Thread::interrupt);
            for (HangingUpstream upstream : upstreams) {
                upstream.close();
            }
        }
    }

    private ShutdownReport play(
            SignalScheduler signals, List<HangingUpstream> upstreams, int port, String configuration)
            throws IOException, InterruptedException {
        Path shared = files.resolve("tmp");
        createClients(port);
        signals.awaitReady();
        try (SidecarProcess sidecar = SidecarProcess.start(port, configuration, files.resolve("process"), shared)) {
            sidecar.awaitListening(START_TIMEOUT_SECONDS);
            if (!plan.isBeforeReady()) {
                sidecar.awaitReady(START_TIMEOUT_SECONDS);
            }
            stalls.start(sidecar.process());
            long clientsStartedAt = System.nanoTime();
            clientsMayStart.countDown();
            clientsHaveStarted.await();
            clientsStartSeconds = (System.nanoTime() - clientsStartedAt) / NANOS_PER_SECOND;
            SidecarProcess successor = null;
            double runSeconds = plan.runSeconds();
            if (plan.successorLeadSeconds() > 0) {
                successor = SidecarProcess.start(port, configuration, files.resolve("successor"), shared);
                runSeconds = plan.successorLeadSeconds();
            }
            List<SignalTimeline.TimedSignal> timeline = SignalTimeline.of(plan);
            double leadSeconds = Math.max(HANG_LEAD_SECONDS, -timeline.get(0).offsetSeconds());
            long plannedTermAt = System.nanoTime() + nanos(runSeconds + leadSeconds);
            double endedAfterSeconds = shutDown(signals, sidecar, upstreams, timeline, plannedTermAt);
            joinClients();
            List<SidecarProcess> sidecars = new ArrayList<>(List.of(sidecar));
            if (successor != null) {
                successor.close();
                sidecars.add(successor);
            }
            return report(sidecars, upstreams, endedAfterSeconds);
        }
    }

    /** Returns the seconds from SIGTERM to the end of the process, or infinity if SIGKILL ended it. */
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
        ShutdownClock.sleepUntil(plannedTermAt - nanos(HANG_LEAD_SECONDS));
        upstreams.forEach(upstream -> upstream.setHangingShare(plan.hangingShare()));
        for (SignalTimeline.TimedSignal signal : timeline) {
            SignalScheduler.SendResult result = signals.awaitNext();
            if (signal.isReferenceTerm()) {
                clock.recordTerm(result.sentAt());
            }
            recordSignal(result);
        }
        clock.recordKill();
        if (!sidecar.process().waitFor(JOIN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)) {
            throw new IOException("the sidecar outlives SIGKILL");
        }
        boolean isKilled = sidecar.process().exitValue() == KILLED_EXIT_CODE;
        return isKilled ? Double.POSITIVE_INFINITY : (exit.join() - clock.termAt()) / NANOS_PER_SECOND;
    }

    private void recordSignal(SignalScheduler.SendResult result) {
        if (result.isSkipped()) {
            return;
        }
        boolean isStarving =
                plan.stoppedShare() > 0 && (result.signal() == Signal.STOP || result.signal() == Signal.CONT);
        pauses.signalSent(result.signal(), result.sentAt());
        if (!isStarving) {
            double lateSeconds = (result.sentAt() - result.plannedAt()) / NANOS_PER_SECOND;
            sentSignals.add(new PlayedTimes.SentSignal(
                    result.signal(), result.offsetSeconds(), result.offsetSeconds() + lateSeconds));
        }
    }

    private static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }

    /**
     * Creates the clients, each on a thread of its own that waits for the common start: creating all of them takes
     * longer than any plan lets the process run.
     */
    private void createClients(int port) {
        SplittableRandom random = new SplittableRandom(plan.seed() + CLIENT_SEED_OFFSET);
        createClients(port, FaultTestClient.Habit.ASKS_ON, plan.clients() - plan.pipeliningClients(), random);
        createClients(port, FaultTestClient.Habit.PIPELINES, plan.pipeliningClients(), random);
        createClients(port, FaultTestClient.Habit.RESTS, plan.restingClients(), random);
        createClients(port, FaultTestClient.Habit.UPLOADS, plan.uploadingClients(), random);
    }

    private void createClients(int port, FaultTestClient.Habit habit, int count, SplittableRandom random) {
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
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(JOIN_TIMEOUT_MILLIS);
        for (Thread client : clients) {
            client.join(Math.max(1, TimeUnit.NANOSECONDS.toMillis(until - System.nanoTime())));
        }
    }

    private PlayedTimes playedTimes() {
        boolean isStarved = plan.stoppedShare() > 0;
        double stoppedShare = isStarved ? pauses.totalSeconds() / plan.killAt() : 0;
        return new PlayedTimes(clientsStartSeconds, List.copyOf(sentSignals), stoppedShare, plan.stoppedShare());
    }

    private ShutdownReport report(
            List<SidecarProcess> sidecars, List<HangingUpstream> upstreams, double endedAfterSeconds)
            throws IOException {
        List<SidecarLog> logs = new ArrayList<>();
        for (SidecarProcess sidecar : sidecars) {
            logs.add(new SidecarLog(sidecar.log(), startedAt, System.nanoTime()));
        }
        List<HangingUpstream.Arrival> arrivals = upstreams.stream()
                .flatMap(upstream -> upstream.arrivals().stream())
                .toList();
        List<RequestRecord> requests = List.copyOf(records);
        ShutdownRuleChecker checker =
                new ShutdownRuleChecker(clock.termAt(), clock.afterTerm(plan.killAt()), !plan.isBeforeReady());
        int answered = (int) requests.stream().filter(RequestRecord::isAnswered).count();
        int rejected = (int) requests.stream().filter(RequestRecord::isRejected).count();
        return new ShutdownReport(
                plan,
                requests.size(),
                answered,
                rejected,
                endedAfterSeconds,
                Math.max(pauses.maxSeconds(), stalls.maxSeconds()),
                playedTimes(),
                checker.check(requests, arrivals, logs),
                sidecars.get(0).log());
    }
}
