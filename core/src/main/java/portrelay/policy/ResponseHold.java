package portrelay.policy;

/**
 * Decides how long a response with status 200 is held before its first bytes are passed on. Once they are, the request
 * is answered: no other attempt can replace a response that breaks off.
 *
 * <ul>
 *   <li>A body with a length of up to {@link #MAX_HELD_BYTES} is passed on as a whole; it has to be complete by the
 *       deadline.
 *   <li>A longer body, or one of which more than that has been received, is passed on at once; only its first bytes
 *       have to be in time.
 *   <li>A body without a length may be either. It is held for a part of the time left, so that most short ones are
 *       passed on as a whole, and then passed on as it arrives, unless so little has been received that it rather is
 *       one that never ends.
 * </ul>
 */
public final class ResponseHold {

    /** The longest body, in bytes, that is held as a whole. */
    public static final int MAX_HELD_BYTES = 64 * 1024;

    /** The share of the time left at the head for which a body without a length is held. */
    private static final double HOLD_SHARE = 0.25;

    private static final double MAX_HOLD_SECONDS = 0.5;
    /** The number of bytes from which a body without a length is worth passing on before it is complete. */
    private static final int MIN_PASSED_ON_BYTES = 1024;

    private final double endsAt;

    /**
     * Starts to hold a body without a length.
     *
     * @param headAt when its head was received, in seconds
     * @param deadline the deadline of the request, on the same clock
     */
    public ResponseHold(double headAt, double deadline) {
        endsAt = headAt + Math.min(MAX_HOLD_SECONDS, HOLD_SHARE * Math.max(0, deadline - headAt));
    }

    /** Whether a body of this length is passed on before it is complete. */
    public static boolean isLong(long bytes) {
        return bytes > MAX_HELD_BYTES;
    }

    /** Returns the time from which the body may be passed on before it is complete, in seconds. */
    public double endsAt() {
        return endsAt;
    }

    /** Whether a body without a length, of which so many bytes have been received, is passed on now. */
    public boolean mayPassOn(double now, int bytesReceived) {
        return isLong(bytesReceived) || now >= endsAt && bytesReceived >= MIN_PASSED_ON_BYTES;
    }
}
