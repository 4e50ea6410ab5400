package org.xnio.nio;

import java.io.IOException;
import org.xnio.StreamConnection;

/**
 * The bytes that the kernel has received on a connection and that are not read yet. XNIO does not report them. This
 * class is in XNIO's package because the channel of a connection is package-private.
 */
public final class ReceiveQueue {

    /** The result of {@link #length} where the number is not known. */
    public static final int UNKNOWN = -1;

    private ReceiveQueue() {}

    /**
     * Returns the size of the buffer that the kernel receives into, in bytes as set by applications; the kernel may use
     * up to twice as much. {@link #UNKNOWN} for a connection that is closed or not a TCP socket.
     */
    public static int capacity(StreamConnection connection) {
        if (!(connection instanceof NioSocketStreamConnection socket)) {
            return UNKNOWN;
        }
        try {
            return socket.getChannel().socket().getReceiveBufferSize();
        } catch (IOException e) {
            return UNKNOWN;
        }
    }

    /** Returns the number of bytes, or {@link #UNKNOWN} for a connection that is closed or not a TCP socket. */
    public static int length(StreamConnection connection) {
        if (!(connection instanceof NioSocketStreamConnection socket)) {
            return UNKNOWN;
        }
        try {
            return socket.getChannel().socket().getInputStream().available();
        } catch (IOException e) {
            return UNKNOWN;
        }
    }
}
