package portrelay.net.connection;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;
import portrelay.net.http.Framing;
import portrelay.net.http.ReadFilter;

/**
 * The lowest conduit of an outgoing connection. Passes exactly one well-formed response per request on to Undertow's
 * client, without interim responses before it and without bytes after it. On anything else, the read fails at once.
 * Owns its buffers.
 */
final class ResponseFramingFilter extends ReadFilter {

    private static final int READ_BYTES = 16 * 1024;
    private static final int HEAD_BYTES = 1024;
    private static final ByteBuffer EMPTY_BUFFER = ByteBuffer.allocate(0);

    /** Received bytes that are not yet parsed. */
    private ByteBuffer raw = EMPTY_BUFFER;
    /** The head that is being read; buffered because the filter may have to change it. Empty between responses. */
    private ByteBuffer head = EMPTY_BUFFER;
    /** Well-formed bytes that are not yet passed on; a view of {@link #raw}, or the filtered head. */
    private ByteBuffer ready = EMPTY_BUFFER;

    /** The parser of the current response; null before the first request. */
    private Framing framing;

    ResponseFramingFilter(StreamSourceConduit next) {
        super(next);
    }

    /** Allows one response; called when a request is sent. */
    void expectResponse() {
        framing = Framing.ofResponse();
        head = ByteBuffer.allocate(HEAD_BYTES);
    }

    /** Whether the response is complete by its own framing, or is delimited by the end of the connection. */
    boolean isResponseComplete() {
        return framing.isComplete() || framing.readsUntilClose();
    }

    /** Whether the response is complete and no further bytes were received. */
    boolean hasNothingUnread() {
        return framing.isComplete() && !raw.hasRemaining() && !ready.hasRemaining();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        while (!ready.hasRemaining()) {
            if (framing == null || framing.isComplete()) {
                return readWhileIdle(target);
            }
            if (!raw.hasRemaining()) {
                if (raw.capacity() == 0) {
                    raw = ByteBuffer.allocate(READ_BYTES);
                }
                int count = next.read(raw.clear());
                raw.flip();
                if (count <= 0) {
                    return count;
                }
            }
            parse();
        }
        int count = Math.min(target.remaining(), ready.remaining());
        target.put(ready.slice().limit(count));
        ready.position(ready.position() + count);
        if (hasNothingUnread()) {
            releaseBuffers();
        }
        return count;
    }

    /** Frees the memory: most connections to many upstreams are idle. */
    private void releaseBuffers() {
        raw = EMPTY_BUFFER;
        head = EMPTY_BUFFER;
        ready = EMPTY_BUFFER;
    }

    /**
     * Reads while no response is expected; any byte received now belongs to no request. Reports it as a failure rather
     * than as the end of the stream, as a connection that Undertow shuts down stays open for 10 s if the other side
     * does not close it too.
     */
    private int readWhileIdle(ByteBuffer target) throws IOException {
        int count = next.read(target);
        if (count > 0) {
            throw new IOException("response without a request");
        }
        return count;
    }

    private void parse() throws IOException {
        boolean wasInHead = framing.isInHead();
        int start = raw.position();
        framing.parse(raw);
        if (framing.isMalformed()) {
            throw new IOException("malformed response");
        }
        ByteBuffer wellFormed = raw.slice(start, raw.position() - start);
        if (!wasInHead) {
            ready = wellFormed;
            return;
        }
        if (head.remaining() < wellFormed.remaining()) {
            head = ByteBuffer.allocate(2 * head.capacity() + wellFormed.remaining())
                    .put(head.flip());
        }
        head.put(wellFormed);
        if (framing.skipInterimResponse()) {
            head.clear();
        } else if (!framing.isInHead()) {
            ready = withoutUnreadableHeaders(head.flip());
        }
    }

    /** Returns the head without the headers that contain control characters, as Undertow would fail the response. */
    private static ByteBuffer withoutUnreadableHeaders(ByteBuffer head) {
        ByteBuffer filtered = ByteBuffer.allocate(head.remaining());
        int lineStart = 0;
        boolean isPrintable = true;
        while (head.hasRemaining()) {
            byte b = head.get();
            isPrintable &= b >= ' ' && b != 127 || b == '\t' || b == '\r' || b == '\n';
            if (b == '\n') {
                if (isPrintable || lineStart == 0) {
                    filtered.put(head.slice(lineStart, head.position() - lineStart));
                }
                lineStart = head.position();
                isPrintable = true;
            }
        }
        return filtered.flip();
    }
}
