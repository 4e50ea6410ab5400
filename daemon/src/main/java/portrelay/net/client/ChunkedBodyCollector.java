package portrelay.net.client;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.connection.HttpCall;
import portrelay.net.http.BodyBuffer;

/**
 * Reads a body of unknown length until it is complete or longer than {@link HttpCall#MAX_BUFFERED_BODY}. Owns its
 * buffers until it passes their content on; the channel remains owned by its exchange.
 */
final class ChunkedBodyCollector {

    /** Receives the result: exactly one of the methods is called, once, on the loop. */
    interface Listener {

        /** Called with the complete body. */
        void completed(byte[] body);

        /**
         * Called with what has been read once the body is longer than {@link HttpCall#MAX_BUFFERED_BODY}. Reads are
         * suspended; the rest of the body is still in the channel.
         */
        void exceedsBuffer(byte[] beginning);

        /** Called when the connection broke or the chunks are malformed. */
        void failed();
    }

    private static final int READ_BYTES = 4 * 1024;

    private final StreamSourceChannel source;
    private final Listener listener;
    private final BodyBuffer body = new BodyBuffer(HttpCall.MAX_BUFFERED_BODY + READ_BYTES);
    private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);

    ChunkedBodyCollector(StreamSourceChannel source, Listener listener) {
        this.source = source;
        this.listener = listener;
    }

    /** Reads the available bytes, and continues whenever the channel becomes readable. */
    void collect() {
        try {
            while (body.size() <= HttpCall.MAX_BUFFERED_BODY) {
                int count = source.read(buffer.clear());
                if (count < 0) {
                    listener.completed(body.take());
                    return;
                }
                if (count == 0) {
                    source.getReadSetter().set(readable -> collect());
                    source.resumeReads();
                    return;
                }
                body.append(buffer.flip());
            }
            source.suspendReads();
            listener.exceedsBuffer(body.take());
        } catch (IOException e) {
            listener.failed();
        }
    }
}
