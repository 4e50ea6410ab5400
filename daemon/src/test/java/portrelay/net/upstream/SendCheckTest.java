package portrelay.net.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import portrelay.net.http.SocketAddresses;
import portrelay.net.upstream.SendCheck.Refusal;

/** Tests what keeps an attempt from being written, and that what is refused has provably not run. */
class SendCheckTest {

    private static final InetSocketAddress LISTED = SocketAddresses.parse("127.0.0.1:9");
    private static final InetSocketAddress OTHER = SocketAddresses.parse("127.0.0.2:9");

    @Test
    void anAttemptIsWrittenInTimeToTheListedAddress() {
        assertNull(SendCheck.refusal(false, 1, 2, LISTED, LISTED, LISTED));
        assertNull(SendCheck.refusal(false, 1, 2, LISTED, LISTED, null));
    }

    @Test
    void eachReasonIsToldApart() {
        assertEquals(Refusal.CLIENT_GONE, SendCheck.refusal(true, 1, 2, LISTED, LISTED, LISTED));
        assertEquals(Refusal.TOO_LATE, SendCheck.refusal(false, 2, 2, LISTED, LISTED, LISTED));
        assertEquals(Refusal.ADDRESS_NOT_IN_USE, SendCheck.refusal(false, 1, 2, LISTED, OTHER, LISTED));
        assertEquals(Refusal.ADDRESS_NOT_IN_USE, SendCheck.refusal(false, 1, 2, LISTED, null, LISTED));
        assertEquals(Refusal.OTHER_CONNECTION, SendCheck.refusal(false, 1, 2, LISTED, LISTED, OTHER));
    }

    @Test
    void whatIsNotWrittenHasProvablyNotRunUnlessItsClientIsGone() {
        for (Refusal refusal : Refusal.values()) {
            assertTrue(refusal == Refusal.CLIENT_GONE || refusal.outcome().provablyNotExecuted, refusal.name());
        }
    }
}
