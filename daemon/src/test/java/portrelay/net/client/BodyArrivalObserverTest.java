package portrelay.net.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against counting a request's time from later than the arrival of its body's last byte. */
class BodyArrivalObserverTest {

    private static final double BEGAN_AT = 100;
    private static final double NOT_ARRIVED = Double.POSITIVE_INFINITY;
    private static final double INTERVAL = 0.05;
    private static final double TOLERANCE = 1e-9;

    /** A body whose progress the test sets. */
    private static final class Reception implements BodyReception {
        private long read;
        private long unread;
        private long left = UNKNOWN;
        private double completedAt = Double.NaN;
        private boolean isReading = true;
        private boolean isBackedUp;

        @Override
        public long bytesRead() {
            return read;
        }

        @Override
        public long bytesUnread() {
            return unread;
        }

        @Override
        public long bodyBytesLeft() {
            return left;
        }

        @Override
        public double completedAt() {
            return completedAt;
        }

        @Override
        public boolean isReading() {
            return isReading;
        }

        @Override
        public boolean isBackedUp() {
            return isBackedUp;
        }
    }

    private final Reception reception = new Reception();
    private double now = BEGAN_AT;
    private final BodyArrivalObserver observer = new BodyArrivalObserver(() -> now, reception, BEGAN_AT);

    private double observeAfter(double seconds) {
        now += seconds;
        return observer.secondsToLastByte();
    }

    @Test
    void aBodyWithALengthHasArrivedOnceItsRestIsUnread() {
        reception.left = 5_000;
        reception.unread = 4_999;
        assertEquals(0, observeAfter(INTERVAL), TOLERANCE);
        reception.unread = 5_000;
        assertEquals(INTERVAL, observeAfter(INTERVAL), TOLERANCE);
        // Further bytes are the next request's.
        reception.unread = 6_000;
        assertEquals(INTERVAL, observeAfter(INTERVAL), TOLERANCE);
    }

    @Test
    void aChunkedBodyMayHaveArrivedWithTheLastUnreadByte() {
        reception.unread = 1_000;
        assertEquals(0, observeAfter(INTERVAL), TOLERANCE);
        reception.unread = 2_000;
        assertEquals(INTERVAL, observeAfter(INTERVAL), TOLERANCE);
        assertEquals(INTERVAL, observeAfter(2), TOLERANCE);
    }

    @Test
    void aByteThatIsReadNowAndThenDoesNotCountAsReceived() {
        reception.unread = 1_000;
        observeAfter(INTERVAL);
        double first = observeAfter(INTERVAL);
        reception.read = 300;
        reception.unread = 700;
        assertEquals(first, observeAfter(1), TOLERANCE);
        reception.read = 999;
        reception.unread = 1;
        assertEquals(first, observeAfter(1), TOLERANCE);
    }

    @Test
    void aLastByteThatWaitedUnreadDidNotArriveWhenItWasRead() {
        reception.unread = 1_000;
        double waiting = observeAfter(INTERVAL);
        reception.read = 1_000;
        reception.unread = 0;
        reception.completedAt = now + 2;
        assertEquals(waiting, observeAfter(2), TOLERANCE);
    }

    @Test
    void aSlowClientsLastByteArrivesWhenItIsRead() {
        reception.read = 1_000;
        assertEquals(NOT_ARRIVED, observeAfter(3));
        reception.read = 2_000;
        assertEquals(NOT_ARRIVED, observeAfter(3));
        reception.read = 2_001;
        reception.completedAt = now + 3;
        assertEquals(9, observeAfter(3.01), TOLERANCE);
    }

    @Test
    void withoutTheNumberOfUnreadBytesItIsJudgedByWhetherTheyAreRead() {
        reception.unread = BodyReception.UNKNOWN;
        reception.read = 1_000;
        assertEquals(NOT_ARRIVED, observeAfter(INTERVAL));
        reception.isReading = false;
        assertEquals(0, observeAfter(INTERVAL), TOLERANCE);
        reception.read = 2_000;
        assertEquals(2 * INTERVAL, observeAfter(1), TOLERANCE);
    }

    /** Guards against a deadline that a slow upstream puts off with each piece that it reads. */
    @Test
    void whatTheClientMayHaveWrittenCountsWhileTheReceiveBufferIsFull() {
        reception.isBackedUp = true;
        reception.left = 5_000_000;
        reception.unread = 1_000_000;
        observeAfter(INTERVAL);
        for (int piece = 1; piece <= 20; piece++) {
            reception.read += 100_000;
            reception.left -= 100_000;
            assertEquals(0, observeAfter(INTERVAL), TOLERANCE, "piece " + piece);
        }
    }

    @Test
    void aRestThatNoSendBufferHoldsHasNotBeenWritten() {
        reception.isBackedUp = true;
        reception.left = 30_000_000;
        reception.unread = 1_000_000;
        double last = 0;
        for (int piece = 1; piece <= 20; piece++) {
            reception.read += 100_000;
            reception.left -= 100_000;
            double seconds = observeAfter(INTERVAL);
            assertTrue(seconds > last || piece == 1, "piece " + piece);
            last = seconds;
        }
    }

    /** A client that writes slowly, seen just before its bytes are read. */
    @Test
    void aReceiveBufferThatIsFullForAMomentDoesNotCount() {
        reception.unread = 100_000;
        reception.left = 1_000_000;
        reception.isBackedUp = true;
        observeAfter(3);
        reception.isBackedUp = false;
        reception.read = 100_000;
        reception.unread = 0;
        assertEquals(NOT_ARRIVED, observeAfter(INTERVAL));
    }
}
