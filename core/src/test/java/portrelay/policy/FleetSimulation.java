package portrelay.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.Outcome;
import portrelay.model.RequestId;
import portrelay.model.SlowStartRule;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/**
 * A simulation in virtual time of many load balancers that send to the same servers of a few cores each. Messages
 * between the load balancers may be delayed, lost or duplicated. All random draws come from one seed.
 */
final class FleetSimulation {

    private static final double STEP_SECONDS = 0.005;
    private static final double BUDGET_SECONDS = 2;
    private static final int CORES = 3;
    private static final double SERVICE_SECONDS = 0.05;
    private static final int FIRST_REPLACEMENT_ID = 1000;

    /** An action that is due at a time; events of the same time run in the order in which they were scheduled. */
    private record Event(double time, long order, Runnable action) {}

    /** One upstream: its cores, their unbounded queue, and the attempts that all sidecars sent to it. */
    final class Server {
        final UpstreamId id;
        /** For each core, when it has executed all attempts that it got so far. */
        private final double[] coreFreeAt = new double[CORES];

        boolean isUnresponsive;
        /** When the process started; 0 if it is warm. */
        double startedAt;
        /** Attempts received since the counts were last reset. */
        int sentCount;
        /** The arrival time of each attempt since the process started. */
        final List<Double> arrivals = new ArrayList<>();

        Server(int id) {
            this.id = new UpstreamId(id);
        }

        /** Receives an attempt now and returns when it will be answered; infinite while unresponsive. */
        private double completesAt() {
            sentCount++;
            arrivals.add(now);
            int core = 0;
            for (int i = 1; i < CORES; i++) {
                core = coreFreeAt[i] < coreFreeAt[core] ? i : core;
            }
            // Each attempt takes longer while the server warms up.
            double serviceSeconds = -SERVICE_SECONDS
                    * Math.log(1 - random.nextDouble())
                    / capacityShare(LoadBalancerHarness.SLOW_START, now);
            coreFreeAt[core] = Math.max(now, coreFreeAt[core]) + serviceSeconds;
            return isUnresponsive ? Double.POSITIVE_INFINITY : coreFreeAt[core];
        }

        /** Starts a new process with idle cores, which is warm at once unless it starts cold. */
        void restart(boolean isCold) {
            isUnresponsive = false;
            startedAt = isCold ? now : 0;
            arrivals.clear();
            Arrays.fill(coreFreeAt, now);
        }

        /** Keeps all cores busy for the given time from now on. */
        void occupy(double seconds) {
            Arrays.fill(coreFreeAt, now + seconds);
        }

        Endpoint endpoint(Endpoint.Health health) {
            return LoadBalancerHarness.endpoint((int) id.value(), health, startedAt);
        }

        /**
         * Returns by how many attempts the fullest overload window of the rule exceeded the bound N + 2 * sqrt(N) + 2,
         * where N is the number that overloads the warming-up cores in that time and the rest allows for random
         * variation; at most 0 if the bound held.
         */
        double overloadExcess(SlowStartRule rule) {
            double excess = Double.NEGATIVE_INFINITY;
            for (int i = 0, from = 0; i < arrivals.size(); i++) {
                while (arrivals.get(from) < arrivals.get(i) - rule.overloadWindow()) {
                    from++;
                }
                double windowStart = arrivals.get(i) - rule.overloadWindow();
                double allowed = rule.overloadFactor()
                        * CORES
                        / SERVICE_SECONDS
                        * rule.overloadWindow()
                        * capacityShare(rule, Math.max(startedAt, windowStart) + rule.overloadWindow() / 2);
                excess = Math.max(excess, i - from + 1 - allowed - 2 * Math.sqrt(allowed) - 2);
            }
            return excess;
        }

        /** The share of its full capacity that the server has at a time; 1 if it is warm. */
        double capacityShare(SlowStartRule rule, double time) {
            double warmUpShare = Math.min(1, Math.max(0, time - startedAt) / rule.warmUpTime());
            return startedAt <= 0 ? 1 : rule.initialShare() + (1 - rule.initialShare()) * warmUpShare;
        }

        /** The highest number of attempts that arrived within the given time, since the process started. */
        int maxArrivalsWithin(double seconds) {
            int max = 0;
            for (int i = 0, from = 0; i < arrivals.size(); i++) {
                while (arrivals.get(from) < arrivals.get(i) - seconds) {
                    from++;
                }
                max = Math.max(max, i - from + 1);
            }
            return max;
        }
    }

    final List<LoadBalancerHarness> sidecars = new ArrayList<>();
    final Map<UpstreamId, Server> servers = new HashMap<>();
    final SplittableRandom random;
    private final PriorityQueue<Event> events = new PriorityQueue<>(
            (a, b) -> a.time != b.time ? Double.compare(a.time, b.time) : Long.compare(a.order, b.order));
    /** The requests without a final answer, for each sidecar. */
    private final Map<LoadBalancerHarness, Set<RequestId>> openRequests = new HashMap<>();

    private long nextOrder;
    private final Map<RequestId, Double> deadlines = new HashMap<>();
    /** Requests that have arrived since the counts were last reset. */
    private int arrivalCount;

    private int requestCount;
    private int replacementCount;
    double now = 100;
    /** The probability that a copy of a message is lost. */
    double lossShare;
    /** The probability that a message is duplicated. */
    double duplicateShare;

    double maxDelaySeconds = 0.01;
    /** Requests whose first answer has arrived, since the counts were last reset. */
    int servedCount;
    /** The request rate of each sidecar relative to the mean rate; null if all have the mean rate. */
    double[] relativeRates;

    FleetSimulation(long seed, int sidecarCount, int upstreamCount) {
        this(seed, sidecarCount, upstreamCount, true);
    }

    FleetSimulation(long seed, int sidecarCount, int upstreamCount, boolean hasMessages) {
        this(seed, sidecarCount, upstreamCount, hasMessages, sidecarCount);
    }

    /**
     * Creates a fleet whose settings may name a wrong number of sidecars.
     *
     * @param hasMessages whether sidecars exchange messages
     * @param configuredSidecars the number of sidecars in the settings of each
     */
    FleetSimulation(long seed, int sidecarCount, int upstreamCount, boolean hasMessages, int configuredSidecars) {
        random = new SplittableRandom(seed);
        for (int i = 0; i < upstreamCount; i++) {
            addServer(i);
        }
        for (int i = 0; i < sidecarCount; i++) {
            sidecars.add(new LoadBalancerHarness(
                    seed * 1000 + i,
                    new Topology(
                            i % configuredSidecars,
                            configuredSidecars,
                            null,
                            Topology.Weights.NOMINAL,
                            Topology.Reports.SILENT,
                            hasMessages,
                            false)));
            openRequests.put(sidecars.get(i), new HashSet<>());
        }
    }

    Server addServer(int id) {
        Server server = new Server(id);
        servers.put(server.id, server);
        return server;
    }

    /**
     * Replaces the given number of the oldest servers by cold ones; sidecars learn of it from the next endpoint list.
     */
    void replace(int upstreamCount) {
        servers.keySet().stream()
                .sorted(Comparator.comparing(UpstreamId::value))
                .limit(upstreamCount)
                .toList()
                .forEach(servers::remove);
        for (int i = 0; i < upstreamCount; i++) {
            addServer(FIRST_REPLACEMENT_ID + replacementCount++).restart(true);
        }
    }

    /** Gives all sidecars the complete endpoint list now. */
    void publishEndpoints() {
        sidecars.forEach(this::publishEndpoints);
    }

    void publishEndpoints(LoadBalancerHarness harness) {
        harness.now = now;
        harness.loadBalancer.endpointsUpdated(
                now,
                EndpointUpdate.COMPLETE,
                servers.values().stream()
                        .map(server -> server.endpoint(Endpoint.Health.READY))
                        .toList());
    }

    /** Disables or enables the upstream at all sidecars now, as operators do. */
    void setDisabled(UpstreamId id, boolean isDisabled) {
        for (LoadBalancerHarness harness : sidecars) {
            harness.now = now;
            harness.loadBalancer.setDisabled(now, id, isDisabled);
        }
    }

    /** Kills a sidecar and starts it again with the same index; its attempts in flight get no end. */
    void restart(int sidecar) {
        LoadBalancerHarness harness = sidecars.get(sidecar);
        harness.sent.clear();
        harness.cancelled.clear();
        harness.messages.clear();
        openRequests.get(harness).clear();
        harness.now = now;
        harness.restart(random.nextLong());
        publishEndpoints(harness);
    }

    /** Runs with safe requests; {@code rate} is the mean of the requests per second at each sidecar. */
    void run(double seconds, double rate) {
        run(seconds, rate, LoadBalancerHarness.SAFE);
    }

    /** Runs with requests of one class; {@code rate} is the mean of the requests per second at each sidecar. */
    void run(double seconds, double rate, int requestClass) {
        for (double endTime = now + seconds; now < endTime; now += STEP_SECONDS) {
            for (Event event = nextEvent(); event != null; event = nextEvent()) {
                event.action.run();
            }
            for (int i = 0; i < sidecars.size(); i++) {
                LoadBalancerHarness harness = sidecars.get(i);
                harness.advance(now - harness.now);
                double expected = rate * STEP_SECONDS * (relativeRates == null ? 1 : relativeRates[i]);
                // More than one request a step where one sidecar gets the traffic of the whole fleet.
                int count = (int) (expected + random.nextDouble());
                for (int started = 0; started < count; started++) {
                    RequestId id = new RequestId("q" + requestCount++);
                    openRequests.get(harness).add(id);
                    deadlines.put(id, now + BUDGET_SECONDS);
                    arrivalCount++;
                    harness.requestArrives(id.value(), requestClass, BUDGET_SECONDS);
                }
                perform(i);
            }
        }
    }

    private Event nextEvent() {
        return !events.isEmpty() && events.peek().time <= now ? events.poll() : null;
    }

    private void schedule(double time, Runnable action) {
        events.add(new Event(time, nextOrder++, action));
    }

    /** Executes the actions that a sidecar has recorded since the last call. */
    private void perform(int sidecar) {
        LoadBalancerHarness harness = sidecars.get(sidecar);
        for (LoadBalancerHarness.SentAttempt attempt : List.copyOf(harness.sent)) {
            double deadline = deadlines.get(attempt.request());
            double endsAt = Math.min(servers.get(attempt.upstream()).completesAt(), deadline);
            boolean isAnswered = endsAt < deadline;
            // An attempt of a sidecar that was killed meanwhile gets no end.
            schedule(endsAt, () -> {
                if (harness.attemptCounts.containsKey(attempt.request())) {
                    attemptEnds(harness, sidecar, attempt, isAnswered ? Outcome.SERVED : Outcome.TIMED_OUT);
                }
            });
        }
        harness.sent.clear();
        for (LoadBalancerHarness.SentAttempt attempt : List.copyOf(harness.cancelled)) {
            schedule(now, () -> {
                harness.now = now;
                harness.loadBalancer.attemptEnded(
                        now, attempt.request(), attempt.index(), Outcome.CANCELLED, true, null);
                perform(sidecar);
            });
        }
        harness.cancelled.clear();
        harness.rejected.forEach(openRequests.get(harness)::remove);
        harness.failed.forEach(openRequests.get(harness)::remove);
        for (LoadBalancerHarness.Message message : List.copyOf(harness.messages)) {
            for (int to = 0; to < sidecars.size(); to++) {
                if (message.to() == LoadBalancerHarness.ALL_SIDECARS || message.to() == to) {
                    deliver(sidecar, to, message.text());
                }
            }
        }
        harness.messages.clear();
    }

    private void attemptEnds(
            LoadBalancerHarness harness, int sidecar, LoadBalancerHarness.SentAttempt attempt, Outcome outcome) {
        harness.now = now;
        boolean isFirstAnswer = openRequests.get(harness).contains(attempt.request());
        if (outcome == Outcome.SERVED) {
            servedCount += isFirstAnswer ? 1 : 0;
            openRequests.get(harness).remove(attempt.request());
        }
        harness.loadBalancer.attemptEnded(
                now,
                attempt.request(),
                attempt.index(),
                outcome,
                !openRequests.get(harness).contains(attempt.request()),
                null);
        perform(sidecar);
    }

    /** Delivers a message after a random delay; the message may be lost or duplicated. */
    private void deliver(int from, int to, String text) {
        for (int copies = random.nextDouble() < duplicateShare ? 2 : 1; copies > 0; copies--) {
            if (random.nextDouble() >= lossShare) {
                schedule(now + random.nextDouble() * maxDelaySeconds, () -> {
                    sidecars.get(to).now = now;
                    sidecars.get(to).loadBalancer.peerMessageReceived(now, from, text);
                    perform(to);
                });
            }
        }
    }

    int rejected() {
        return sidecars.stream().mapToInt(harness -> harness.rejected.size()).sum();
    }

    int openRequestCount() {
        return openRequests.values().stream().mapToInt(Set::size).sum();
    }

    int arrivalCount() {
        return arrivalCount;
    }

    /** The number of attempts that each server got, in ascending order. */
    int[] sentCounts() {
        return servers.values().stream()
                .mapToInt(server -> server.sentCount)
                .sorted()
                .toArray();
    }

    /** Resets the attempts of all servers and the rejected, served and arrived requests to zero. */
    void resetCounts() {
        servers.values().forEach(server -> server.sentCount = 0);
        sidecars.forEach(harness -> harness.rejected.clear());
        servedCount = 0;
        arrivalCount = 0;
    }
}
