package portrelay.net.connection;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.http.BodyTransfer;
import portrelay.net.http.TransferTimeouts;

/**
 * A long response whose first bytes have been received. Closes the connection if the response is cancelled or breaks
 * off; once the response is complete, the connection can carry the next exchange.
 */
final class StreamedResponse implements HttpResult.StreamedBody, BodyTransfer.Listener {

    /** An upstream may be silent for 10 s and has no minimum rate; a client must continue to read within 5 s. */
    private static final TransferTimeouts TIMEOUTS = new TransferTimeouts(10, 0, 5);

    private final HttpConnection connection;
    private final HttpExchange exchange;
    private final StreamSourceChannel source;
    /** The bytes read so far; null once the transfer has started. */
    private byte[] beginning;
    /** Null until the transfer starts. */
    private BodyTransfer.Listener listener;

    /** @param beginning the bytes of the body that were read so far */
    StreamedResponse(HttpConnection connection, HttpExchange exchange, StreamSourceChannel source, byte[] beginning) {
        this.connection = connection;
        this.exchange = exchange;
        this.source = source;
        this.beginning = beginning;
    }

    @Override
    public void transferTo(StreamSinkChannel sink, BodyTransfer.Listener transferListener) {
        listener = transferListener;
        BodyTransfer transfer = new BodyTransfer(
                connection.loop(),
                connection.bufferPool(),
                source,
                sink,
                beginning,
                new BodyTransfer.Size(-1, HttpCall.MAX_BODY),
                TIMEOUTS,
                this);
        beginning = null;
        transfer.start();
    }

    @Override
    public void cancel() {
        connection.close();
    }

    @Override
    public boolean isSourceComplete() {
        return connection.isResponseComplete();
    }

    @Override
    public boolean mayComplete() {
        return listener.mayComplete();
    }

    @Override
    public void transferred() {
        listener.transferred();
    }

    @Override
    public void waitingFor(BodyTransfer.Side side) {
        listener.waitingFor(side);
    }

    @Override
    public void completed() {
        if (connection.isCurrent(exchange)) {
            connection.exchangeCompleted();
        }
        connection.streamCompleted();
        listener.completed();
    }

    @Override
    public void sourceFailed() {
        connection.close();
        listener.sourceFailed();
    }

    @Override
    public void sinkFailed() {
        connection.close();
        listener.sinkFailed();
    }
}
