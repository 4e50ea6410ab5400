package portrelay.net.client;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.ChannelListeners;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSinkChannel;
import org.xnio.conduits.ConduitStreamSourceChannel;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.EventLoop;

/**
 * Closes a connection after its response; used as the callback of the response's sender. Where the client may still be
 * sending, received bytes are read and discarded first (RFC 9112, 9.6): closing with unread bytes sends a reset, which
 * destroys a response that the client has not read yet.
 */
public final class LingeringClose implements IoCallback {

    /**
     * Limits of the time for which bytes are discarded, in seconds.
     *
     * @param maxSilenceSeconds longest time without a byte
     * @param maxTotalSeconds longest time in total
     */
    record DiscardLimits(double maxSilenceSeconds, double maxTotalSeconds) {}

    /** Limits after a malformed request, whose sender may never stop sending. */
    public static final DiscardLimits BRIEF = new DiscardLimits(0.5, 0.5);
    /** Limits for the rest of a well-formed body: a slow client reads its response only after sending the last byte. */
    static final DiscardLimits REMAINING_BODY = new DiscardLimits(2.5, 10);

    private static final double CHECK_INTERVAL_SECONDS = 0.25;
    /** Maximum number of reads in one turn of the loop, so that other tasks run in between. */
    private static final int MAX_READS_PER_TURN = 64;

    private static final int READ_BYTES = 4 * 1024;

    private final EventLoop loop;
    private final ClientConnections connections;
    private final boolean lingersAfterCompleteRequest;
    private final DiscardLimits limits;

    /** @param lingersAfterCompleteRequest whether to linger even if the request was read completely */
    public LingeringClose(
            EventLoop loop, ClientConnections connections, boolean lingersAfterCompleteRequest, DiscardLimits limits) {
        this.loop = loop;
        this.connections = connections;
        this.lingersAfterCompleteRequest = lingersAfterCompleteRequest;
        this.limits = limits;
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        if (exchange.isRequestComplete() && !lingersAfterCompleteRequest) {
            // Ends the exchange instead of closing the connection: a response without a body has not been written yet.
            exchange.endExchange();
            return;
        }
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        connections.responseCompleted(connection);
        new Discarding(connection).start();
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException cause) {
        close((HttpServerConnection) exchange.getConnection());
    }

    private void close(HttpServerConnection connection) {
        connections.close(connection, RequestProgress.EndCause.LINGER_OVER);
    }

    /** A connection whose response is written, until the client closes it or a limit is reached. Owns its buffer. */
    private final class Discarding {

        private final HttpServerConnection connection;
        private final ByteBuffer buffer = ByteBuffer.allocate(READ_BYTES);
        private final double startedAt = loop.now();
        private double lastByteAt = startedAt;

        Discarding(HttpServerConnection connection) {
            this.connection = connection;
        }

        void start() {
            StreamConnection socket = connection.getChannel();
            ConduitStreamSinkChannel sink = socket.getSinkChannel();
            try {
                sink.shutdownWrites();
                if (!sink.flush()) {
                    sink.setWriteListener(ChannelListeners.flushingChannelListener(null, null));
                    sink.resumeWrites();
                }
            } catch (IOException e) {
                close(connection);
                return;
            }
            ConduitStreamSourceChannel source = socket.getSourceChannel();
            RequestFramingFilter filter = RequestFramingFilter.of(connection);
            filter.passPipelined();
            source.setConduit(filter);
            source.setReadListener(this::discard);
            source.resumeReads();
            checkLimits();
        }

        private void discard(ConduitStreamSourceChannel source) {
            try {
                int count = source.read(buffer.clear());
                for (int i = 1; i < MAX_READS_PER_TURN && count > 0; i++) {
                    lastByteAt = loop.now();
                    count = source.read(buffer.clear());
                }
                if (count < 0) {
                    close(connection);
                }
            } catch (IOException e) {
                close(connection);
            }
        }

        private void checkLimits() {
            if (!connection.isOpen()) {
                return;
            }
            double now = loop.now();
            if (now >= lastByteAt + limits.maxSilenceSeconds || now >= startedAt + limits.maxTotalSeconds) {
                close(connection);
                return;
            }
            if (now < lastByteAt + CHECK_INTERVAL_SECONDS) {
                // Restarts the phase: a client that still sends must not be evicted as one that does not read.
                connections.phaseChanged(connection, ConnectionCapacity.Phase.ANSWERING);
            }
            loop.schedule(CHECK_INTERVAL_SECONDS, this::checkLimits);
        }
    }
}
