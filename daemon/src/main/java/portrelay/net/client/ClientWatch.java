package portrelay.net.client;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import org.xnio.conduits.ConduitStreamSourceChannel;
import portrelay.net.connection.HttpCall;
import portrelay.net.http.Framing;

/**
 * Reads a client's connection while its request waits for a response, which Undertow does not do, so that a close by
 * the client is detected. Bytes that arrive before the close are the next request, pipelined by the client: they are
 * held by the connection's {@link RequestFramingFilter} until Undertow reads them, or discarded.
 */
final class ClientWatch {

    /** Limit of the bytes kept from a client that pipelines: the longest head and the longest body that is buffered. */
    private static final int MAX_READ_AHEAD_BYTES = Framing.MAX_HEAD_BYTES + HttpCall.MAX_BUFFERED_BODY;

    /** Maximum number of reads in one turn of the loop, so that the events of others are handled in between. */
    private static final int MAX_READS_PER_TURN = 64;

    private final ClientConnections connections;
    private final HttpServerConnection connection;
    private final RequestFramingFilter filter;
    private final Runnable clientLeft;

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
        this.filter = RequestFramingFilter.of(connection);
        this.clientLeft = clientLeft;
    }

    /** Takes the source over from Undertow; the request must have been read completely. */
    void start() {
        isStarted = true;
        ConduitStreamSourceChannel source = source();
        source.setConduit(connection.getOriginalSourceConduit());
        source.setReadListener(this::readIfRoom);
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
        if (isReadAheadFull()) {
            startDiscarding();
        }
        read();
    }

    /** Reads as long as the process has room for bytes that are read ahead. */
    private void readIfRoom(ConduitStreamSourceChannel source) {
        if (isDiscarding || connections.mayReadAhead()) {
            read(source);
        } else {
            source.suspendReads();
        }
    }

    private void read(ConduitStreamSourceChannel source) {
        if (isStopped || isReadAheadFull()) {
            source.suspendReads();
            return;
        }
        try (PooledByteBuffer pooled = connection.getByteBufferPool().allocate()) {
            int count = 1;
            for (int reads = 0; reads < MAX_READS_PER_TURN && count > 0; reads++) {
                count = filter.receiveAhead(pooled.getBuffer());
                connections.bufferHeld(connection, ConnectionBuffers.Part.PIPELINED, filter.memoryHeld());
                if (isReadAheadFull()) {
                    source.suspendReads();
                    return;
                }
            }
            if (count < 0) {
                clientLeft.run();
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
        return !isDiscarding && filter.bytesHeld() >= MAX_READ_AHEAD_BYTES;
    }

    private void startDiscarding() {
        isDiscarding = true;
        filter.discardHeld();
        filter.stopParsing();
    }

    private ConduitStreamSourceChannel source() {
        return connection.getChannel().getSourceChannel();
    }
}
