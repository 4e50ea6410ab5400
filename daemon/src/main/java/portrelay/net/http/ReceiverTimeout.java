package portrelay.net.http;

import java.io.IOException;
import org.xnio.Options;
import org.xnio.StreamConnection;

/**
 * How long a client may seem not to read its response. A sender sees that its receiver reads only when the kernels make
 * room, in steps: the receiver's kernel announces room again once a part of its buffer is free, and the sender's
 * reports it once a part of its own is. The time is what a receiver at {@link #MIN_RATE} takes for such a step.
 */
public final class ReceiverTimeout {

    /** The slowest rate of a client that is not given up, in bytes per second. */
    public static final int MIN_RATE = 32_000;

    /** Bounds the step of the sender's kernel; without it, the buffer grows to megabytes. */
    private static final int SEND_BUFFER_BYTES = 128 * 1024;

    /** The longest segment of TCP on loopback; a receiver announces no less room. */
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;
    /** A receiver's buffer that was full is announced again once this part of it is free, as Linux does. */
    private static final int RECEIVE_BUFFER_PARTS = 16;
    /** Corresponds to a receive buffer of 8 MiB. */
    private static final int MAX_STEP_BYTES = 512 * 1024;

    private ReceiverTimeout() {}

    /**
     * Returns the seconds without room for a further byte after which the receiver has stopped reading.
     *
     * @param bytesWritten how many bytes of the body have been written, the most that the receiver's buffer can hold
     */
    public static double seconds(long bytesWritten) {
        long receiveStep = bytesWritten / RECEIVE_BUFFER_PARTS;
        long boundedStep = Math.min(MAX_STEP_BYTES, Math.max(MAX_SEGMENT_BYTES, receiveStep));
        return (SEND_BUFFER_BYTES + boundedStep) / (double) MIN_RATE;
    }

    /** Bounds the buffer of the kernel that the connection is written to; has no effect on a broken connection. */
    public static void boundSendBuffer(StreamConnection connection) {
        try {
            if (connection.supportsOption(Options.SEND_BUFFER)) {
                connection.setOption(Options.SEND_BUFFER, SEND_BUFFER_BYTES);
            }
        } catch (IOException e) {
            // The next write reports the broken connection.
        }
    }
}
