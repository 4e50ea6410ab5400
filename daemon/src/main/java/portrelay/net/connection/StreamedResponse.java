package portrelay.net.connection;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.http.BodyTransfer;
import portrelay.net.http.TransferTimeouts;
import portrelay.policy.ResponseHold;

/**
 * A long response whose first bytes have been received. Closes the connection if the response is cancelled or breaks
 * off; once the response is complete, the connection can carry the next exchange.
 */
final class StreamedResponse implements HttpResult.StreamedBody, BodyTransfer.Listener {

    /**
     * An upstream may be silent for 10 s and has no minimum rate. A client that does not read is given up by the owner
     * of its connection.
     */
    private static final TransferTimeouts LONG_BODY = new TransferTimeouts(10, 0, TransferTimeouts.NO_LIMIT);
    /**
     * For a body that is not known to be long: its client waits for the end, so that one that never ends must not keep
     * it waiting.
     */
    private static final TransferTimeouts UNKNOWN_BODY = new TransferTimeouts(2, 0, TransferTimeouts.NO_LIMIT);

    private final HttpConnection connection;
    private final HttpExchange exchange;
    private final StreamSourceChannel source;
    /** The bytes read so far; null once the transfer has started. */
    private byte[] beginning;

    private boolean isKnownToBeLong;
    /** Null until the transfer starts. */
    private BodyTransfer.Listener listener;

    private BodyTransfer transfer;

    /**
     * @param beginning the bytes of the body that were read so far
     * @param isKnownToBeLong whether the body has a length
     */
    StreamedResponse(
            HttpConnection connection,
            HttpExchange exchange,
            StreamSourceChannel source,
            byte[] beginning,
            boolean isKnownToBeLong) {
        this.isKnownToBeLong = isKnownToBeLong || ResponseHold.isLong(beginning.length);
        this.connection = connection;
        this.exchange = exchange;
        this.source = source;
        this.beginning = beginning;
    }

    @Override
    public void transferTo(StreamSinkChannel sink, BodyTransfer.Listener transferListener) {
        listener = transferListener;
        transfer = new BodyTransfer(
                connection.loop(),
                connection.bufferPool(),
                source,
                sink,
                beginning,
                new BodyTransfer.Size(-1, HttpCall.MAX_BODY),
                isKnownToBeLong ? LONG_BODY : UNKNOWN_BODY,
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
    public boolean isSinkConnected() {
        return listener.isSinkConnected();
    }

    @Override
    public void transferred() {
        if (!isKnownToBeLong && ResponseHold.isLong(transfer.bytesRead())) {
            isKnownToBeLong = true;
            transfer.setTimeouts(LONG_BODY);
        }
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
