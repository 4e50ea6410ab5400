package portrelay.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.model.Outcome;
import portrelay.model.RequestId;

/**
 * Tests how many attempts may be in flight, and what happens to requests beyond that limit. Names in parentheses are
 * the simulated runs that showed a failure.
 */
class ConcurrencyLimitTest {

    private final LoadBalancerHarness harness = new LoadBalancerHarness(7);

    /** Guards against a limit that falls because answers are lost, although the upstreams execute the attempts. */
    @Test
    void lostAnswersDoNotLowerTheConcurrencyLimit() {
        harness.listReady(8);
        List<LoadBalancerHarness.SentAttempt> unanswered = new ArrayList<>();
        int handledCount = 0;
        for (int i = 0; i < 3000; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
            harness.advance(0.005);
            while (handledCount < harness.sent.size()) {
                LoadBalancerHarness.SentAttempt attempt = harness.sent.get(handledCount++);
                if (attempt.request().value().hashCode() % 4 == 0) {
                    unanswered.add(attempt);
                } else {
                    harness.attemptEnds(attempt, Outcome.SERVED);
                }
            }
            while (!unanswered.isEmpty() && unanswered.get(0).time() + 0.6 < harness.now) {
                harness.attemptEnds(unanswered.remove(0), Outcome.TIMED_OUT);
            }
        }
        assertTrue(harness.rejected.size() < 150, harness.rejected.size() + " of 3000 requests rejected");
    }

    /** Guards against queues that retries and hedges keep full (idukki-maps ie64ef7, kw-kalender-wien i6fc5d9). */
    @Test
    void overloadedFleetGetsFewerAttemptsAndOtherRequestsAreRejectedWithinAShareOfTheObjective() {
        harness.listReady(4);
        for (int round = 0; round < 40; round++) {
            List<LoadBalancerHarness.SentAttempt> sentInRound = new ArrayList<>();
            int sentBefore = harness.sent.size();
            for (int i = 0; i < 6; i++) {
                harness.requestArrives("q" + round + "-" + i, LoadBalancerHarness.UNSAFE, 2);
            }
            sentInRound.addAll(harness.sent.subList(sentBefore, harness.sent.size()));
            harness.advance(0.5);
            sentInRound.forEach(s -> harness.attemptEnds(s, Outcome.SERVED));
        }
        int sentBefore = harness.sent.size();
        for (int i = 0; i < 10; i++) {
            harness.requestArrives("late" + i, LoadBalancerHarness.UNSAFE, 2);
        }
        assertTrue(harness.sent.size() - sentBefore <= 3, "sent more than three attempts to an overloaded fleet");
        int rejectedBefore = harness.rejected.size();
        harness.advance(0.2);
        assertTrue(harness.rejected.size() >= rejectedBefore + 7, "kept requests queued that it could not send");
    }

    /** Guards against a limit that falls because of one upstream that fails fast (cartago-controls big-2). */
    @Test
    void fastErrorsDoNotLowerTheConcurrencyLimit() {
        harness.listReady(4);
        for (int i = 0; i < 200; i++) {
            harness.requestArrives("e" + i, LoadBalancerHarness.UNSAFE, 2);
            harness.attemptEnds(harness.lastSent(), Outcome.ERROR);
        }
        int sentBefore = harness.sent.size();
        for (int i = 0; i < 3; i++) {
            harness.requestArrives("q" + i, LoadBalancerHarness.UNSAFE, 2);
        }
        assertEquals(sentBefore + 3, harness.sent.size());
    }

    /** Guards against sidecars that start at the same time and overload the fleet (cartago-controls-later big-2). */
    @Test
    void initialConcurrencyLimitIsTheSidecarsShareOfTheFleetsLimit() {
        LoadBalancerHarness oneOfSixty = new LoadBalancerHarness(7, 60);
        oneOfSixty.listReady(6);
        oneOfSixty.requestArrives("a", LoadBalancerHarness.SAFE, 2);
        oneOfSixty.requestArrives("b", LoadBalancerHarness.SAFE, 2);
        assertEquals(1, oneOfSixty.sent.size());
        oneOfSixty.advance(0.03);
        oneOfSixty.attemptEnds(oneOfSixty.lastSent(), Outcome.SERVED);
        assertEquals(2, oneOfSixty.sent.size(), "the queued request did not get the capacity that became free");
    }

    /** Guards against a queued request that blocks the next one after its client has left. */
    @Test
    void queuedRequestWhoseClientLeftUsesNoCapacity() {
        LoadBalancerHarness harness = new LoadBalancerHarness(1);
        RequestId id = harness.requestArrives("a", LoadBalancerHarness.UNSAFE, 1.4);
        assertFalse(harness.loadBalancer.hasCapacity(harness.now));
        harness.loadBalancer.clientLeft(harness.now, id);
        assertTrue(harness.loadBalancer.hasCapacity(harness.now));
    }
}
