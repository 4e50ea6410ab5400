package portrelay.net.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import io.undertow.util.ImmediatePooledByteBuffer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.ConduitStreamSourceChannel;
import portrelay.net.connection.HttpCall;
import portrelay.net.http.Framing;

/**
 * Reads a client's connection while its request waits for a response, which Undertow does not do, so that a close by
 * the client is detected. Bytes that arrive before the close are the next request, pipelined by the client: they are
 * kept here until {@link #returnReadAhead} passes them to Undertow, or discarded.
 */
final class ClientWatch {

    /** Limit of the bytes kept from a client that pipelines: the longest head and the longest body that is buffered. */
    private static final int MAX_READ_AHEAD_BYTES = Framing.MAX_HEAD_BYTES + HttpCall.MAX_BUFFERED_BODY;

    private final ClientConnections connections;
    private final HttpServerConnection connection;
    private final Runnable clientLeft;
    private final ByteArrayOutputStream readAhead = new ByteArrayOutputStream(0);

    private boolean isStarted;
    private boolean isStopped;
    /** Whether bytes that arrive are discarded, and read only to detect the close by the client. */
    private boolean isDiscarding;

    /**
     * @param clientLeft called at most once, when the client closes its side or the connection breaks, and never after
     *     {@link #stop}
     */
    ClientWatch(ClientConnections connections, HttpServerConnection connection, Runnable clientLeft) {
        this.connections = connections;
        this.connection = connection;
        this.clientLeft = clientLeft;
    }

    /** Takes the source over from Undertow; the request must have been read completely. */
    void start() {
        isStarted = true;
        ConduitStreamSourceChannel source = source();
        source.setConduit(connection.getOriginalSourceConduit());
        source.setReadListener(this::read);
        source.resumeReads();
    }

    boolean isStarted() {
        return isStarted;
    }

    /** Whether bytes after the request are discarded, so that the connection must end with the response. */
    boolean isDiscarding() {
        return isDiscarding;
    }

    /** Stops reading. */
    void stop() {
        isStopped = true;
    }

    /** Reads the bytes that are available now. */
    void read() {
        read(source());
    }

    /** As {@link #read}, but discards a full read-ahead and reads on, as the end of the stream may follow. */
    void readToEnd() {
        if (readAhead.size() >= MAX_READ_AHEAD_BYTES) {
            startDiscarding();
        }
        read();
    }

    private void read(ConduitStreamSourceChannel source) {
        if (isStopped || isReadAheadFull()) {
            source.suspendReads();
            return;
        }
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            ByteBuffer buffer = pooled.getBuffer();
            for (int count = source.read(buffer); count != 0; count = source.read(buffer.clear())) {
                if (count < 0) {
                    clientLeft.run();
                    return;
                }
                if (isDiscarding) {
                    continue;
                }
                appendReadAhead(buffer.flip());
                if (isReadAheadFull()) {
                    source.suspendReads();
                    return;
                }
            }
        } catch (RequestFramingFilter.MalformedFramingException e) {
            // Not a request, but its sender is still connected until the end of the stream follows.
            startDiscarding();
            read(source);
        } catch (IOException e) {
            clientLeft.run();
        }
    }

    private boolean isReadAheadFull() {
        return !isDiscarding && readAhead.size() >= MAX_READ_AHEAD_BYTES;
    }

    private void appendReadAhead(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        readAhead.writeBytes(copy);
    }

    private void startDiscarding() {
        isDiscarding = true;
        readAhead.reset();
        connections.stopParsing(connection);
    }

    /** Passes the bytes read ahead to Undertow, which parses them before it reads further from the socket. */
    void returnReadAhead() {
        if (readAhead.size() == 0) {
            return;
        }
        PooledByteBuffer extra = connection.getExtraBytes();
        int extraLength = extra == null ? 0 : extra.getBuffer().remaining();
        ByteBuffer all = ByteBuffer.allocate(extraLength + readAhead.size());
        if (extra != null) {
            all.put(extra.getBuffer());
            extra.close();
        }
        all.put(readAhead.toByteArray()).flip();
        connection.setExtraBytes(new ImmediatePooledByteBuffer(all));
        readAhead.reset();
    }

    private ConduitStreamSourceChannel source() {
        return connection.getChannel().getSourceChannel();
    }
}
