package portrelay.faulttest.scale;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import portrelay.faulttest.scale.ScaleRuleChecker.ShutdownWindow;
import portrelay.faulttest.scale.ScaleViolation.Rule;
import portrelay.standin.DaemonThreads;
import portrelay.standin.Discovery;
import portrelay.standin.SidecarProcess;
import portrelay.standin.Signals;
import portrelay.standin.UpstreamFleet;

/**
 * Plays one round: real sidecars under load while their endpoint lists change, SIGHUP in a row, a successor for each,
 * SIGTERM and SIGKILL at the earliest time that the protocol allows, and the same for the successors. An instance plays
 * one round.
 */
public final class ScaleRound {

    private static final double START_TIMEOUT_SECONDS = 30;
    private static final double SAMPLE_INTERVAL_SECONDS = 0.25;
    private static final double REFUSED_CALLS_SECONDS = 2;
    /** For how long the operators' pages allow a process to be held. */
    static final double HOLD_SECONDS = 0.15;

    private static final double HANGUP_INTERVAL_SECONDS = 0.2;
    /** How long after SIGTERM clients may open connections. */
    private static final double CONNECT_AFTER_TERM_SECONDS = 0.4;

    private static final long JOIN_TIMEOUT_MILLIS = 8000;
    private static final long EXIT_TIMEOUT_SECONDS = 5;

    private final ScalePlan plan;
    private final Path files;
    private final SplittableRandom random;
    private final ResourceMeter resources;
    private final ClientCrowd clients;
    private final List<ScaleViolation> processViolations = new ArrayList<>();
    private final List<ShutdownWindow> shutdowns = new ArrayList<>();
    private final List<SidecarProcess> processes = new ArrayList<>();
    /** One for each sidecar, so that it is known which lists a sidecar was told. */
    private final List<Discovery> discoveries = new ArrayList<>();

    private volatile boolean isOver;
    private double readySeconds;
    private double successorReadySeconds;
    private int killed;

    /** @param files the folder for the configuration and the log of each process */
    public ScaleRound(ScalePlan plan, Path files) {
        this.plan = plan;
        this.files = files;
        random = new SplittableRandom(plan.seed());
        resources = new ResourceMeter(plan);
        clients = new ClientCrowd(plan, random);
    }

    /**
     * Plays the plan, and plays it a second time if the machine was too busy for a result.
     *
     * @param files the folder for the files of all plays
     * @return the report of the last play
     */
    public static ScaleReport playUntilValid(ScalePlan plan, Path files) throws IOException, InterruptedException {
        ScaleReport report = new ScaleRound(plan, files.resolve("play-1")).play();
        if (!report.isInconclusive()) {
            return report;
        }
        System.out.println(report);
        return new ScaleRound(plan, files.resolve("play-2")).play();
    }

    /**
     * Plays the round.
     *
     * @throws IOException if a process can't be started, or a signal can't be sent
     */
    public ScaleReport play() throws IOException, InterruptedException {
        try (UpstreamFleet fleet = new UpstreamFleet(plan.rows(), plan.seed());
                Signals signals = new Signals()) {
            for (int i = 0; i < plan.sidecars(); i++) {
                discoveries.add(new Discovery(plan.seed() + i));
            }
            ListPublisher lists = new ListPublisher(plan, fleet, discoveries);
            lists.publishFirst();
            play(fleet, signals, lists);
            return report(fleet, lists);
        } finally {
            isOver = true;
            clients.interrupt();
            processes.forEach(SidecarProcess::close);
            discoveries.forEach(Discovery::close);
        }
    }

    private void play(UpstreamFleet fleet, Signals signals, ListPublisher lists)
            throws IOException, InterruptedException {
        List<Integer> ports = new ArrayList<>();
        List<Integer> peerPorts = new ArrayList<>();
        for (int i = 0; i < plan.sidecars(); i++) {
            ports.add(SidecarProcess.freePort());
            peerPorts.add(SidecarProcess.freeUdpPort());
        }
        Thread background = DaemonThreads.start("background", () -> runBackground(lists, signals));
        List<SidecarProcess> first = startAll(ports, peerPorts, lists, "first");
        readySeconds = awaitReady(first, "first");
        clients.start(ports);
        fleet.setTroubledShare(plan.troubledShare());
        discoveries.forEach(each -> each.refuse(plan.refusedCallsShare(), REFUSED_CALLS_SECONDS));
        fleet.refuseFrom((int) Math.ceil(plan.rows() * (1 - plan.refusingShare())));
        sleep(plan.runSeconds() / 3);
        hangUp(signals, first);
        List<SidecarProcess> successors = startAll(ports, peerPorts, lists, "successor");
        successorReadySeconds = awaitReady(successors, "successor");
        shutDown(signals, first, "first", false);
        sleep(plan.runSeconds() / 3);
        shutDown(signals, successors, "successor", true);
        isOver = true;
        clients.join();
        background.join(JOIN_TIMEOUT_MILLIS);
    }

    private List<SidecarProcess> startAll(
            List<Integer> ports, List<Integer> peerPorts, ListPublisher lists, String name) throws IOException {
        List<SidecarProcess> started = new ArrayList<>();
        String rows = plan.isListConfigured() ? lists.rows() : "";
        for (int i = 0; i < plan.sidecars(); i++) {
            String json = ScaleConfiguration.json(
                    plan, i, ports.get(i), discoveries.get(i).address(), rows, peerPorts);
            Path folder = files.resolve("n" + i);
            Path temporary = folder.resolve("tmp");
            SidecarProcess process = SidecarProcess.startByScript(ports.get(i), json, folder.resolve(name), temporary);
            started.add(process);
            resources.add(i, process.process().pid(), temporary);
        }
        synchronized (processes) {
            processes.addAll(started);
        }
        return started;
    }

    /**
     * Waits until all are ready, by the log as the port may be another process's, and returns the seconds that took.
     */
    private double awaitReady(List<SidecarProcess> started, String name) throws IOException, InterruptedException {
        long from = System.nanoTime();
        for (int i = 0; i < started.size(); i++) {
            SidecarProcess process = started.get(i);
            while (process.log().stream().noneMatch(line -> line.contains("ready: listen="))) {
                boolean isLate = System.nanoTime() - from > START_TIMEOUT_SECONDS * 1e9;
                if (isLate || !process.process().isAlive()) {
                    violation(Rule.NOT_READY, name + " " + i, describeEnd(process));
                    break;
                }
                sleep(0.02);
            }
        }
        return (System.nanoTime() - from) / 1e9;
    }

    private void hangUp(Signals signals, List<SidecarProcess> targets) throws IOException, InterruptedException {
        for (int i = 0; i < plan.hangups(); i++) {
            for (SidecarProcess target : targets) {
                signals.send(Signals.Signal.HUP, target.process());
            }
            sleep(HANGUP_INTERVAL_SECONDS);
        }
    }

    /** Sends SIGTERM to all, and SIGKILL at the earliest time to those that are still there. */
    private void shutDown(Signals signals, List<SidecarProcess> targets, String name, boolean isLast)
            throws IOException, InterruptedException {
        long termAt = System.nanoTime();
        for (int i = 0; i < targets.size(); i++) {
            SidecarProcess target = targets.get(i);
            if (!target.process().isAlive()) {
                violation(Rule.EXITED, name + " " + i, describeEnd(target));
            }
            signals.send(Signals.Signal.TERM, target.process());
        }
        sleep(CONNECT_AFTER_TERM_SECONDS);
        if (isLast) {
            clients.stopConnecting();
        }
        sleepUntil(termAt + (long) (ScalePlan.KILL_DELAY_SECONDS * 1e9));
        for (SidecarProcess target : targets) {
            killed += target.process().isAlive() ? 1 : 0;
            signals.send(Signals.Signal.KILL, target.process());
        }
        shutdowns.add(new ShutdownWindow(termAt, System.nanoTime()));
        for (SidecarProcess target : targets) {
            if (!target.process().waitFor(EXIT_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                throw new IOException("a sidecar outlives SIGKILL");
            }
        }
    }

    /** Publishes lists, samples what processes use, and holds some of them, until the round is over. */
    private void runBackground(ListPublisher lists, Signals signals) {
        SplittableRandom holds = new SplittableRandom(plan.seed());
        long nextListAt = System.nanoTime() + (long) (plan.listIntervalSeconds() * 1e9);
        try {
            while (!isOver) {
                sleep(SAMPLE_INTERVAL_SECONDS);
                resources.sample();
                if (holds.nextDouble() < plan.heldShare()) {
                    hold(signals, holds);
                }
                if (System.nanoTime() >= nextListAt) {
                    nextListAt += (long) (plan.listIntervalSeconds() * 1e9);
                    lists.publishNext();
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException("a signal was not sent", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void hold(Signals signals, SplittableRandom holds) throws IOException, InterruptedException {
        SidecarProcess held;
        synchronized (processes) {
            if (processes.isEmpty()) {
                return;
            }
            held = processes.get(holds.nextInt(processes.size()));
        }
        signals.send(Signals.Signal.STOP, held.process());
        sleep(HOLD_SECONDS);
        signals.send(Signals.Signal.CONT, held.process());
    }

    private ScaleReport report(UpstreamFleet fleet, ListPublisher lists) throws IOException {
        List<SentRequest> requests = clients.requests();
        List<UpstreamFleet.Arrival> arrivals = fleet.arrivals();
        IdleCloses idleCloses = new IdleCloses();
        for (SidecarProcess process : processes) {
            idleCloses.add(process.log());
        }
        ScaleRuleChecker checker = new ScaleRuleChecker(plan, requests, shutdowns, idleCloses);
        processViolations.addAll(resources.violations());
        processViolations.forEach(each -> checker.add(each.rule(), each.subject(), each.evidence()));
        checker.checkUnfinished(fleet.unfinished());
        for (int i = 0; i < plan.sidecars(); i++) {
            String prefix = clients.namePrefix(i);
            List<UpstreamFleet.Arrival> ofSidecar = arrivals.stream()
                    .filter(each -> String.valueOf(each.id()).startsWith(prefix))
                    .toList();
            checker.checkDrains(ofSidecar, lists.published(), discoveries.get(i));
        }
        Map<String, Integer> ends = new TreeMap<>();
        requests.forEach(request -> ends.merge(request.end().name(), 1, Integer::sum));
        return new ScaleReport(
                plan,
                requests.size(),
                arrivals.size(),
                fleet.connections(),
                ends,
                readySeconds,
                successorReadySeconds,
                killed,
                resources.descriptions(),
                resources.peakMemoryMb(),
                discoveries.stream().mapToLong(Discovery::bytesSent).sum(),
                resources.maxWaitSeconds(),
                checker.check(arrivals, fleet.malformed()));
    }

    private void violation(Rule rule, String subject, String evidence) {
        processViolations.add(new ScaleViolation(rule, subject, evidence));
    }

    private static String describeEnd(SidecarProcess process) throws IOException {
        String exit = process.process().isAlive()
                ? "alive"
                : "exit code " + process.process().exitValue();
        List<String> log = process.log();
        return exit + ", last line: " + (log.isEmpty() ? "none" : log.get(log.size() - 1));
    }

    private static void sleep(double seconds) throws InterruptedException {
        TimeUnit.MICROSECONDS.sleep((long) (seconds * 1e6));
    }

    private static void sleepUntil(long nanoTime) throws InterruptedException {
        TimeUnit.NANOSECONDS.sleep(Math.max(0, nanoTime - System.nanoTime()));
    }
}
