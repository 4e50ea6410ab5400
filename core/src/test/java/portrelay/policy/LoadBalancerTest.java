package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.model.CellId;
import portrelay.model.Endpoint;
import portrelay.model.EndpointUpdate;
import portrelay.model.Outcome;
import portrelay.model.RequestArrival;
import portrelay.model.RequestClassId;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;

/**
 * Tests the rules of selection, hedging and retries, and regressions. Names in parentheses are the simulated runs that
 * showed a failure.
 */
class LoadBalancerTest {

    private final LoadBalancerHarness harness = new LoadBalancerHarness(7);

    @Test
    void oneHedgeGoesToAnotherUpstreamAtHalfTheBudgetAndTheLoserIsCancelled() {
        harness.listReady(6);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 0.6);
        harness.advance(0.299);
        assertEquals(1, harness.sent.size());
        harness.advance(0.002);
        assertEquals(2, harness.sent.size());
        assertNotEquals(harness.sent.get(0).upstream(), harness.sent.get(1).upstream());
        harness.attemptEnds(harness.sent.get(1), Outcome.SERVED);
        assertEquals(0, harness.cancelled.get(0).index());
        harness.advance(0.2);
        assertEquals(2, harness.sent.size());
    }

    @Test
    void fiveLossesToHedgesInARowEjectAnUpstreamUntilItsTrial() {
        harness.listReady(6);
        for (int i = 0, lossesToHedges = 0; lossesToHedges < 5; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.SAFE, 0.6);
            lossesToHedges += harness.lastSent().upstream().value() == 0 ? 1 : 0;
            LoadBalancerHarness.SentAttempt first = harness.lastSent();
            if (first.upstream().value() == 0) {
                harness.advance(0.31);
                harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
                harness.attemptEnds(first, Outcome.CANCELLED);
            } else {
                harness.advance(0.05);
                harness.attemptEnds(first, Outcome.SERVED);
            }
            // Longer than latency samples count, so that the losses to hedges alone decide.
            harness.advance(lossesToHedges < 5 ? 6 : 0.01);
        }
        long before = firstAttemptsTo(0);
        for (int i = 0; i < 20; i++) {
            harness.requestArrives("r" + i, LoadBalancerHarness.SAFE, 0.6);
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        assertEquals(before, firstAttemptsTo(0));
        harness.advance(20);
        harness.requestArrives("trial", LoadBalancerHarness.SAFE, 0.6);
        assertEquals(new UpstreamId(0), harness.lastSent().upstream());
    }

    /** Guards against tables that keep a row for each upstream that was ever listed. */
    @Test
    void unlistedUpstreamIsForgottenOnceNothingIsInFlightThere() {
        harness.listReady(2);
        for (int i = 0; i < 30; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            if (harness.lastSent().upstream().value() == 0) {
                harness.attemptEnds(harness.lastSent(), Outcome.CONNECT_FAILED);
            }
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        assertEquals(1, firstAttemptsTo(0));
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.COMPLETE,
                List.of(LoadBalancerHarness.endpoint(1, Endpoint.Health.READY, 0)));
        harness.listReady(2);
        harness.advance(3.5);
        long before = firstAttemptsTo(0);
        for (int i = 0; i < 20; i++) {
            harness.requestArrives("r" + i, LoadBalancerHarness.SAFE, 0.6);
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
        assertTrue(firstAttemptsTo(0) > before, "ejected for the failures of its predecessor of the same id");
    }

    /** The number of requests whose first attempt was sent to the upstream. */
    private long firstAttemptsTo(int upstream) {
        return harness.sent.stream()
                .filter(s -> s.index() == 0 && s.upstream().value() == upstream)
                .count();
    }

    /** Guards against waiting for the hedge after the only attempt failed fast (cartago-controls big-2). */
    @Test
    void retryIsSentAtOnceWhenTheOnlyAttemptFails() {
        harness.listReady(6);
        harness.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        harness.attemptEnds(harness.lastSent(), Outcome.ERROR);
        assertEquals(2, harness.sent.size());
        RequestId unsafe = harness.requestArrives("b", LoadBalancerHarness.UNSAFE, 2);
        harness.attemptEnds(harness.lastSent(), Outcome.ERROR);
        assertEquals(List.of(unsafe), harness.failed);
    }

    /** Guards against several sidecars together overloading a warming-up upstream (kw-kalender-wien overload). */
    @Test
    void warmingUpUpstreamGetsAtMostItsCapacityShareOfTheAttemptsOfAWarmOne() {
        int attemptsAtCold = 0;
        int allAttempts = 0;
        for (int sidecar = 0; sidecar < 6; sidecar++) {
            LoadBalancerHarness sidecarHarness = new LoadBalancerHarness(sidecar);
            sidecarHarness.listReady(5);
            sidecarHarness.loadBalancer.endpointsUpdated(
                    sidecarHarness.now,
                    EndpointUpdate.INCREMENTAL,
                    List.of(LoadBalancerHarness.endpoint(5, Endpoint.Health.READY, sidecarHarness.now)));
            for (int i = 0; i < 200; i++) {
                sidecarHarness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
                sidecarHarness.attemptEnds(sidecarHarness.lastSent(), Outcome.SERVED);
                sidecarHarness.advance(0.01);
            }
            attemptsAtCold += (int) sidecarHarness.sent.stream()
                    .filter(s -> s.upstream().value() == 5)
                    .count();
            allAttempts += sidecarHarness.sent.size();
        }
        double meanAttemptsAtWarm = (allAttempts - attemptsAtCold) / 5.0;
        double finalShare = (0.2 + 0.8 * 2 / 10) * Math.sqrt(LoadBalancerHarness.SLOW_START.overloadFactor());
        assertTrue(
                attemptsAtCold > 0 && attemptsAtCold <= meanAttemptsAtWarm * finalShare + 6,
                attemptsAtCold + " attempts at the warming-up upstream, against " + meanAttemptsAtWarm
                        + " at a warm one");
    }

    @Test
    void failedDiscoveryPollIsRepeatedAfterABackoff() {
        harness.loadBalancer.endpointsUpdated(harness.now, EndpointUpdate.FAILED, List.of());
        assertEquals(1, harness.discoveryPolls);
        harness.advance(1);
        assertEquals(2, harness.discoveryPolls);
    }

    /** Guards against five attempts of each sidecar at an upstream that is gone (kw-kalender-wien-later i4295d4). */
    @Test
    void oneFailedConnectionAttemptEjectsAnUpstream() {
        harness.listReady(6);
        harness.requestArrives("a", LoadBalancerHarness.UNSAFE, 2);
        UpstreamId lost = harness.lastSent().upstream();
        harness.attemptEnds(harness.lastSent(), Outcome.CONNECT_FAILED);
        harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        for (int i = 0; i < 40; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            assertNotEquals(lost, harness.lastSent().upstream());
            harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
        }
    }

    /** Guards against sending a streamed body again, and against counting its duration as latency of the upstream. */
    @Test
    void singleAttemptRequestIsSentOnceAndItsDurationIsIgnored() {
        LoadBalancerHarness harness = new LoadBalancerHarness(8);
        harness.listReady(4);
        for (int i = 0; i < 40; i++) {
            RequestId id = new RequestId("once" + i);
            harness.loadBalancer.requestArrived(
                    harness.now,
                    new RequestArrival(
                            id,
                            new RequestClassId(LoadBalancerHarness.KEYED),
                            null,
                            null,
                            harness.now + 30,
                            Double.NaN,
                            false,
                            true));
            harness.advance(20);
            harness.attemptEnds(harness.lastSent(), i % 2 == 0 ? Outcome.OVERLOADED : Outcome.ERROR);
        }
        assertEquals(40, harness.sent.size());
        assertEquals(40, harness.rejected.size());
        // Although each attempt took twenty seconds, the concurrency limit has its initial value.
        for (int i = 0; i < 3; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
        }
        assertEquals(43, harness.sent.size());
    }

    /** Guards against a second effect where an update moves the upstream to another scope before the retry. */
    @Test
    void keyedRequestIsRetriedInTheScopeItsFirstAttemptWasSentTo() {
        LoadBalancerHarness harness = new LoadBalancerHarness(1);
        harness.listReady(6);
        RequestId id = harness.requestArrives("a", LoadBalancerHarness.KEYED_IN_CELL, 1.4);
        LoadBalancerHarness.SentAttempt first = harness.lastSent();
        int cell = (int) (first.upstream().value() / 3);
        Endpoint listed = LoadBalancerHarness.endpoint((int) first.upstream().value(), Endpoint.Health.READY, 0);
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(new Endpoint(
                        listed.id(),
                        listed.health(),
                        0,
                        1,
                        new CellId(1 - cell),
                        listed.zone(),
                        listed.instanceType())));
        harness.advance(0.1);
        harness.attemptEnds(first, Outcome.CONNECTION_LOST);
        LoadBalancerHarness.SentAttempt second = harness.lastSent();
        assertEquals(1, second.index(), "not retried");
        assertEquals(id, second.request());
        assertEquals(cell, second.upstream().value() / 3, "retried in another scope than the first attempt's");
    }

    /** Guards against a second effect where the first attempt reached the new process, whose row came later. */
    @Test
    void keyedRequestIsNotRetriedInTheOldScopeOfAnUpstreamThatCameBackInAnother() {
        LoadBalancerHarness harness = new LoadBalancerHarness(1);
        harness.listReady(6);
        double startedAt = harness.now;
        harness.advance(0.05);
        RequestId id = harness.requestArrives("a", LoadBalancerHarness.KEYED_IN_CELL, 1.4);
        LoadBalancerHarness.SentAttempt first = harness.lastSent();
        Endpoint listed =
                LoadBalancerHarness.endpoint((int) first.upstream().value(), Endpoint.Health.READY, startedAt);
        CellId otherCell = new CellId((int) (1 - first.upstream().value() / 3));
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(new Endpoint(
                        listed.id(), listed.health(), startedAt, 1, otherCell, listed.zone(), listed.instanceType())));
        harness.attemptEnds(first, Outcome.CONNECTION_LOST);
        harness.advance(0.5);
        assertEquals(first, harness.lastSent(), "retried");
        assertEquals(List.of(id), harness.failed);
    }

    /** Guards against rejections while nothing is in flight, because nearly all warm upstreams are ejected. */
    @Test
    void ejectedUpstreamsAreUsedWhereOnlyWarmingUpOnesWithoutCreditAreLeft() {
        LoadBalancerHarness harness = new LoadBalancerHarness(3, 50);
        harness.listReady(3);
        harness.requestArrives("fails", LoadBalancerHarness.UNSAFE, 0.4);
        for (int upstream = 0; upstream < 3; upstream++) {
            harness.attemptEnds(harness.lastSent(), Outcome.CONNECT_FAILED);
        }
        assertEquals(3, harness.sent.size());
        harness.loadBalancer.endpointsUpdated(
                harness.now,
                EndpointUpdate.INCREMENTAL,
                List.of(LoadBalancerHarness.endpoint(3, Endpoint.Health.READY, harness.now)));
        int before = harness.sent.size();
        int rejectedBefore = harness.rejected.size();
        for (int i = 0; i < 20; i++) {
            harness.requestArrives("then" + i, LoadBalancerHarness.SAFE, 0.4);
            if (harness.sent.size() > before + i) {
                harness.attemptEnds(harness.lastSent(), Outcome.SERVED);
            }
            harness.advance(0.2);
        }
        assertEquals(rejectedBefore, harness.rejected.size(), "rejected though three upstreams could be tried");
        assertTrue(harness.sent.size() >= before + 20);
    }
}
