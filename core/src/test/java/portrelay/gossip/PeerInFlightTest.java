package portrelay.gossip;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests the count of attempts in flight if reports of peers are lost, late, duplicated or from before a restart. */
class PeerInFlightTest {

    private static final double MAX_AGE_SECONDS = 2.7;
    private final PeerInFlight peers = new PeerInFlight(MAX_AGE_SECONDS);

    /** Guards against removing a hanging attempt before its deadline: its upstream would look idle to the fleet. */
    @Test
    void aHangingAttemptCountsUntilTheLongestDeadlineAndNoLonger() {
        peers.attemptStarted(1, 100);
        assertEquals(1, peers.inFlight(102.6));
        assertEquals(2.6, peers.unansweredFor(102.6), 1e-9);
        assertEquals(0, peers.inFlight(102.8));
        assertEquals(0, peers.unansweredFor(102.8));
    }

    @Test
    void anEndThatComesTwiceOrBeforeItsStartEndsNoOtherAttempt() {
        peers.attemptStarted(1, 100);
        peers.attemptStarted(2, 100);
        assertTrue(peers.attemptEnded(1, PeerMembership.AttemptEvent.SERVED, 100.1));
        assertFalse(peers.attemptEnded(1, PeerMembership.AttemptEvent.SERVED, 100.1));
        assertEquals(1, peers.inFlight(100.2));
        assertFalse(peers.attemptEnded(3, PeerMembership.AttemptEvent.FAILED, 100.2));
        peers.attemptStarted(3, 100.3);
        assertEquals(2, peers.inFlight(100.4));
        assertEquals(
                0, peers.inFlight(103.1), "the attempt whose end came before its start is removed at the deadline");
    }

    /** A restarted upstream has nothing in flight, and ends of attempts from before the restart are ignored. */
    @Test
    void aRestartEndsAllAttempts() {
        peers.attemptStarted(1, 100);
        peers.clear();
        assertEquals(0, peers.inFlight(100.1));
        assertFalse(peers.attemptEnded(1, PeerMembership.AttemptEvent.FAILED, 100.5));
    }

    @Test
    void isUnansweredOnlyWhileNoAttemptIsServed() {
        assertFalse(peers.unansweredSince(100), "no attempt was ever reported");
        peers.attemptStarted(1, 100);
        peers.attemptEnded(1, PeerMembership.AttemptEvent.SERVED, 100.1);
        assertFalse(peers.unansweredSince(100.05));
        assertTrue(peers.unansweredSince(100.2));
        peers.attemptStarted(1, 100.2);
        peers.attemptStarted(2, 100.3);
        assertEquals(0.8, peers.unansweredFor(101), 1e-9);
        peers.attemptEnded(2, PeerMembership.AttemptEvent.SERVED, 101);
        assertEquals(0, peers.unansweredFor(101.1), "another attempt was served: the upstream works, if slowly");
    }
}
