package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.LoadReport;
import portrelay.model.Outcome;
import portrelay.model.RequestClass;
import portrelay.model.RequestId;
import portrelay.model.Topology;
import portrelay.model.UpstreamId;

/**
 * Checks the safety rules of the load balancer on random events against a plain model: no attempt after the deadline,
 * one final answer in time, no second effect, and no attempt to an upstream that has been draining for longer than the
 * grace period.
 */
class InvariantsPropertyTest {

    private static final double ANSWER_GRACE_SECONDS = 0.02;
    private static final double DRAIN_GRACE_SECONDS = 0.5;
    private static final int UPSTREAMS = 9;
    private static final Outcome[] OUTCOMES = {
        Outcome.SERVED,
        Outcome.ERROR,
        Outcome.OVERLOADED,
        Outcome.CONNECTION_LOST,
        Outcome.CONNECT_FAILED,
        Outcome.NOT_SENT,
        Outcome.CANCELLED,
        Outcome.TIMED_OUT
    };

    /** An attempt as the model sees it; the outcome is null while it is in flight. */
    private static final class ModelAttempt {
        final int upstream;
        final double sentAt;
        Outcome outcome;

        ModelAttempt(int upstream, double sentAt) {
            this.upstream = upstream;
            this.sentAt = sentAt;
        }

        boolean isProvablyNotExecuted() {
            return outcome == Outcome.OVERLOADED || outcome == Outcome.CONNECT_FAILED || outcome == Outcome.NOT_SENT;
        }
    }

    /** A request as the model sees it; closed once it has its final answer or its client has left. */
    private static final class ModelRequest {
        final int requestClass;
        final double deadline;
        final List<ModelAttempt> attempts = new ArrayList<>();
        boolean isClosed;

        ModelRequest(int requestClass, double deadline) {
            this.requestClass = requestClass;
            this.deadline = deadline;
        }

        /** Whether repeating the request has no second effect, which is what a rejection tells the client. */
        boolean isSafeToReject() {
            return switch (requestClass) {
                case LoadBalancerHarness.SAFE, LoadBalancerHarness.KEYED -> true;
                default -> attempts.stream().allMatch(ModelAttempt::isProvablyNotExecuted);
            };
        }

        /** Whether an attempt at the upstream has no second effect. */
        boolean isSafeToSend(int upstream, double now) {
            if (attempts.stream().allMatch(ModelAttempt::isProvablyNotExecuted)
                    || requestClass == LoadBalancerHarness.SAFE) {
                return true;
            }
            if (requestClass == LoadBalancerHarness.UNSAFE) {
                return false;
            }
            ModelAttempt first = attempts.stream()
                    .filter(attempt -> !attempt.isProvablyNotExecuted())
                    .findFirst()
                    .orElseThrow();
            RequestClass parameters = LoadBalancerHarness.REQUEST_CLASSES.get(requestClass);
            return now <= first.sentAt + parameters.deduplicationWindow()
                    && (parameters.deduplicationScope() == RequestClass.DeduplicationScope.ALL
                            || upstream / 3 == first.upstream / 3);
        }
    }

    /** The load balancer under test; the model checks each of its actions before it takes effect. */
    private static final class CheckedLoadBalancer extends LoadBalancerHarness {
        Map<RequestId, ModelRequest> requests;
        /** When each upstream that is not ready was first listed so. */
        Map<Integer, Double> notReadySince;

        CheckedLoadBalancer(long seed, Topology topology) {
            super(seed, topology);
        }

        /**
         * Answers or fails load probes or leaves them open, and delivers a message, which is valid, malformed or of an
         * unknown sender.
         */
        void receiveReportsAndMessages(int detail) {
            for (UpstreamId upstream : List.copyOf(probed)) {
                if (detail % 5 > 0) {
                    probed.remove(upstream);
                    double inFlight = detail % 5 == 1 ? Double.NaN : detail / 5 % 4;
                    loadBalancer.loadReported(
                            now,
                            upstream,
                            detail % 5 == 2
                                    ? null
                                    : new LoadReport(inFlight, 0, 0, Double.NaN, Double.NaN, Double.NaN));
                }
            }
            String text = detail % 3 == 0
                    ? "~" + "hHm".charAt(detail / 3 % 3) + "!!\"!"
                    : detail % 3 == 1
                            ? "~r" + (char) (33 + detail % 90)
                            : "" + (char) (33 + detail % 127) + (detail % 2 == 0 ? "" : "!");
            loadBalancer.peerMessageReceived(now, detail % 12 - 1, text);
        }

        /** Restarts the load balancer, with an empty model. */
        void reset(long seed) {
            requests = new LinkedHashMap<>();
            notReadySince = new HashMap<>();
            restart(seed);
        }

        @Override
        public void sendAttempt(RequestId requestId, UpstreamId upstreamId) {
            ModelRequest request = requests.get(requestId);
            int upstream = (int) upstreamId.value();
            assertFalse(request.isClosed, "sent after the final answer");
            assertTrue(now <= request.deadline, "sent after the deadline");
            assertTrue(request.isSafeToSend(upstream, now), "sent though the request may have a second effect");
            assertTrue(request.attempts.size() < ATTEMPT_RULES.maxAttempts(), "more attempts than allowed");
            double drainingSince = notReadySince.getOrDefault(upstream, now);
            assertTrue(
                    now <= drainingSince + DRAIN_GRACE_SECONDS, "sent to a draining upstream after the grace period");
            request.attempts.add(new ModelAttempt(upstream, now));
            super.sendAttempt(requestId, upstreamId);
        }

        @Override
        public void reject(RequestId requestId, double retryAfter) {
            assertTrue(requests.get(requestId).isSafeToReject(), "rejected though it may have been executed");
            close(requestId);
        }

        @Override
        public void fail(RequestId requestId) {
            assertFalse(requests.get(requestId).isSafeToReject(), "failed though a rejection was safe");
            close(requestId);
        }

        /** Records a rejection or failure as the final answer. */
        private void close(RequestId requestId) {
            assertFalse(requests.get(requestId).isClosed, "two final answers");
            requests.get(requestId).isClosed = true;
        }

        /** Delivers an endpoint update of one upstream. */
        void updateEndpoint(EndpointUpdate update, int upstream, Endpoint.Health health, double startedAt) {
            if (health == Endpoint.Health.READY) {
                notReadySince.remove(upstream);
            } else {
                notReadySince.putIfAbsent(upstream, now);
            }
            loadBalancer.endpointsUpdated(
                    now, update, List.of(LoadBalancerHarness.endpoint(upstream, health, startedAt)));
        }

        void attemptEnds(RequestId id, int index, Outcome outcome) {
            ModelRequest request = requests.get(id);
            ModelAttempt attempt = request.attempts.get(index);
            attempt.outcome = outcome;
            boolean isServed = outcome == Outcome.SERVED && !request.isClosed;
            boolean isRequestEnded = request.isClosed || isServed;
            request.isClosed = isRequestEnded;
            loadBalancer.attemptEnded(now, id, index, outcome, isRequestEnded, null);
        }

        /** Times out the attempts whose deadline has passed, and checks for a final answer within the grace period. */
        void expireDeadlines() {
            for (Map.Entry<RequestId, ModelRequest> entry : new ArrayList<>(requests.entrySet())) {
                ModelRequest request = entry.getValue();
                if (now >= request.deadline) {
                    for (int i = 0; i < request.attempts.size(); i++) {
                        if (request.attempts.get(i).outcome == null) {
                            attemptEnds(entry.getKey(), i, Outcome.TIMED_OUT);
                        }
                    }
                    assertTrue(
                            request.isClosed || now <= request.deadline + ANSWER_GRACE_SECONDS,
                            "no final answer within the grace period after the deadline");
                }
            }
        }
    }

    @Property(tries = 400, seed = "20261201")
    void rulesHoldForAStandaloneSidecar(
            @ForAll @Size(min = 40, max = 250) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
        run(steps, new CheckedLoadBalancer(steps.get(0), LoadBalancerHarness.STANDALONE));
    }

    @Property(tries = 300, seed = "20261202")
    void rulesHoldForASidecarThatProbesLoad(
            @ForAll @Size(min = 40, max = 250) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
        run(steps, new CheckedLoadBalancer(steps.get(0), LoadBalancerHarness.PROBING));
    }

    @Property(tries = 300, seed = "20261203")
    void rulesHoldForASidecarThatSharesLoadWithPeers(
            @ForAll @Size(min = 40, max = 250) List<@IntRange(min = 0, max = 999_999) Integer> steps) {
        run(steps, new CheckedLoadBalancer(steps.get(0), LoadBalancerHarness.sharingLoad(0, 0)));
    }

    /** Derives one event from each step, then runs past all deadlines. */
    private static void run(List<Integer> steps, CheckedLoadBalancer checked) {
        checked.reset(steps.get(0));
        checked.listReady(UPSTREAMS);
        int arrivals = 0;
        for (int step : steps) {
            int kind = step % 16;
            int detail = step / 16;
            checked.receiveReportsAndMessages(detail);
            if (kind < 5) {
                int requestClass = detail % 4;
                RequestId id = new RequestId("q" + arrivals++);
                double budget = 0.1 + detail / 4 % 20 * 0.1;
                checked.requests.put(id, new ModelRequest(requestClass, checked.now + budget));
                checked.requestArrives(id.value(), requestClass, budget);
            } else if (kind < 11) {
                endOneAttempt(checked, detail);
            } else if (kind < 13) {
                for (int i = 0; i < 1 + detail % 60; i++) {
                    checked.advance(0.005);
                    checked.expireDeadlines();
                }
            } else if (kind == 13) {
                changeEndpoint(checked, detail);
            } else if (kind == 14) {
                abandonOneRequest(checked, detail);
            } else if (detail % 8 == 0) {
                checked.reset(detail);
                checked.loadBalancer.endpointsUpdated(
                        checked.now,
                        EndpointUpdate.CACHED,
                        List.of(LoadBalancerHarness.endpoint(detail % UPSTREAMS, Endpoint.Health.READY, 0)));
            } else {
                checked.loadBalancer.endpointsUpdated(checked.now, EndpointUpdate.FAILED, List.of());
            }
        }
        for (int i = 0; i < 450; i++) {
            checked.advance(0.005);
            checked.expireDeadlines();
        }
        assertTrue(
                checked.requests.values().stream().allMatch(request -> request.isClosed),
                "a request never got its final answer");
        assertTrue(arrivals == 0 || checked.discoveryPolls > 0);
    }

    private static void endOneAttempt(CheckedLoadBalancer checked, int detail) {
        List<RequestId> ids = new ArrayList<>();
        List<Integer> attemptNumbers = new ArrayList<>();
        checked.requests.forEach((id, request) -> {
            for (int i = 0; i < request.attempts.size(); i++) {
                if (request.attempts.get(i).outcome == null) {
                    ids.add(id);
                    attemptNumbers.add(i);
                }
            }
        });
        if (!ids.isEmpty()) {
            int chosen = detail / OUTCOMES.length % ids.size();
            checked.attemptEnds(ids.get(chosen), attemptNumbers.get(chosen), OUTCOMES[detail % OUTCOMES.length]);
            // A second outcome of the same attempt must change nothing.
            int sentBefore = checked.sent.size();
            checked.loadBalancer.attemptEnded(
                    checked.now, ids.get(chosen), attemptNumbers.get(chosen), Outcome.ERROR, false, null);
            assertEquals(sentBefore, checked.sent.size());
        }
    }

    private static void changeEndpoint(CheckedLoadBalancer checked, int detail) {
        int upstream = detail / 4 % UPSTREAMS;
        switch (detail % 4) {
            case 0 -> checked.updateEndpoint(EndpointUpdate.INCREMENTAL, upstream, Endpoint.Health.DRAINING, 0);
            case 1 -> checked.updateEndpoint(EndpointUpdate.INCREMENTAL, upstream, Endpoint.Health.GONE, 0);
            case 2 ->
                checked.updateEndpoint(EndpointUpdate.INCREMENTAL, upstream, Endpoint.Health.READY, checked.now - 1);
            default -> {
                for (int i = 0; i < UPSTREAMS; i++) {
                    checked.notReadySince.putIfAbsent(i, checked.now);
                }
                checked.updateEndpoint(EndpointUpdate.COMPLETE, upstream, Endpoint.Health.READY, 0);
            }
        }
    }

    private static void abandonOneRequest(CheckedLoadBalancer checked, int detail) {
        List<RequestId> open = new ArrayList<>();
        checked.requests.forEach((id, request) -> {
            if (!request.isClosed) {
                open.add(id);
            }
        });
        if (!open.isEmpty()) {
            RequestId id = open.get(detail % open.size());
            checked.requests.get(id).isClosed = true;
            checked.loadBalancer.clientLeft(checked.now, id);
        }
    }
}
