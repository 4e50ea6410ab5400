package portrelay.net.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.connection.HttpCall;
import portrelay.net.http.BodyBuffer;

/**
 * Reads the body of a request until it is complete or longer than {@link HttpCall#MAX_BUFFERED_BODY}. Owns its buffers
 * until it passes their content on; the channel remains owned by its exchange.
 */
final class BodyCollector {

    /** Receives the result: exactly one of the methods but the first is called, once, on the loop. */
    interface Listener {

        /** Whether the process may hold so many bytes of this body; called before more of them are held. */
        boolean mayHold(int bytes);

        /** Called with the complete body. */
        void completed(byte[] body);

        /**
         * Called with what has been read once the body is longer than {@link HttpCall#MAX_BUFFERED_BODY}. Reads are
         * suspended; the rest of the body is still in the channel.
         */
        void exceedsBuffer(byte[] beginning);

        /** Called when the process may not hold more of the body, which is dropped. Reads are suspended. */
        void outOfMemory();

        /** Called when the connection broke or the chunks are malformed. */
        void failed();
    }

    private static final int READ_BYTES = 4 * 1024;

    /** Shared by all bodies, one read at a time, on the loop; holds nothing between reads. */
    private final ByteBuffer readBuffer;

    private final StreamSourceChannel source;
    private final Listener listener;
    private final BodyBuffer body = new BodyBuffer(HttpCall.MAX_BUFFERED_BODY + READ_BYTES);

    /** @param readBuffer as {@link #createReadBuffer} returns it */
    BodyCollector(ByteBuffer readBuffer, StreamSourceChannel source, Listener listener) {
        this.readBuffer = readBuffer;
        this.source = source;
        this.listener = listener;
    }

    /** Returns a buffer that all collectors of an event loop can share. */
    static ByteBuffer createReadBuffer() {
        return ByteBuffer.allocate(READ_BYTES);
    }

    /** Reads the available bytes, and continues whenever the channel becomes readable. */
    void collect() {
        try {
            while (body.size() <= HttpCall.MAX_BUFFERED_BODY) {
                int count = source.read(readBuffer.clear());
                if (count < 0) {
                    listener.completed(body.take());
                    return;
                }
                if (count == 0) {
                    source.getReadSetter().set(readable -> collect());
                    source.resumeReads();
                    return;
                }
                if (!listener.mayHold(body.capacityFor(count))) {
                    source.suspendReads();
                    body.take();
                    listener.outOfMemory();
                    return;
                }
                body.append(readBuffer.flip());
            }
            source.suspendReads();
            listener.exceedsBuffer(body.take());
        } catch (IOException e) {
            listener.failed();
        }
    }
}
