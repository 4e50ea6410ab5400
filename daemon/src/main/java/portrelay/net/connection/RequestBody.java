package portrelay.net.connection;

import io.undertow.connector.ByteBufferPool;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.http.BodyTransfer;
import portrelay.net.http.TransferTimeouts;

/** A long request body, forwarded from a client to one upstream as it arrives. It is sent once and not buffered. */
public final class RequestBody implements BodyTransfer.Listener {

    /**
     * A client has failed if it is silent for 2.5 s or sends less than 8 KiB per second; an upstream has failed if it
     * reads nothing for 10 s.
     */
    private static final TransferTimeouts TIMEOUTS = new TransferTimeouts(2.5, 8 * 1024, 10);

    /** Receives the events of the client's side of the transfer. Called on the loop. */
    public interface Listener {

        /** Called when the last byte was received and forwarded. */
        void forwarded();

        /** Whether the client is still connected; called before the last byte is forwarded. */
        boolean isClientWaiting();

        /**
         * Called when the client left, stopped sending, or sent more than {@link HttpCall#MAX_BODY}.
         *
         * @param isTooLong whether the body exceeded the maximum length
         */
        void clientFailed(boolean isTooLong);
    }

    /** Observes when the body arrives, independently of whether an upstream accepts it. Called on the loop. */
    public interface ArrivalObserver {

        /**
         * Returns the seconds from the arrival of the request's head to the earliest time at which the last byte of the
         * body may have arrived; infinite as long as it can't have arrived. To be called repeatedly, at intervals: the
         * result may grow while bytes arrive, and is as accurate as the interval.
         */
        double secondsToLastByte();
    }

    private final EventLoop loop;
    private final ByteBufferPool pool;
    private final StreamSourceChannel source;
    /** The bytes that were read before the transfer; null once it has started. */
    private byte[] beginning;

    private final long length;
    private final ArrivalObserver arrival;
    /** Null until an attempt starts to send the body. */
    private BodyTransfer transfer;

    private Listener listener;
    private Runnable upstreamFailed;
    private boolean isWritten;
    private boolean isStopped;

    /**
     * Creates a body whose transfer has not started.
     *
     * @param source the channel of the client's exchange, which remains its owner
     * @param beginning the bytes that have already been read
     * @param length in bytes, -1 if the client does not announce it
     * @param arrival observes the whole body, including the beginning
     */
    public RequestBody(
            EventLoop loop,
            ByteBufferPool pool,
            StreamSourceChannel source,
            byte[] beginning,
            long length,
            ArrivalObserver arrival) {
        this.loop = loop;
        this.pool = pool;
        this.source = source;
        this.beginning = beginning;
        this.length = length;
        this.arrival = arrival;
    }

    /** Returns the length in bytes, or -1 if the client does not announce it. */
    public long length() {
        return length;
    }

    /** Whether the transfer to the upstream is complete. */
    public boolean isWritten() {
        return isWritten;
    }

    /** Whether the upstream may have the last byte, and so may execute the request; also if the transfer has failed. */
    public boolean isLastByteSent() {
        return transfer != null && transfer.isLastByteSent();
    }

    /** Sets the listener; must be called before an attempt starts to send the body. */
    public void setListener(Listener clientSide) {
        listener = clientSide;
    }

    /** As {@link ArrivalObserver#secondsToLastByte}. */
    public double secondsToLastByte() {
        return arrival.secondsToLastByte();
    }

    /**
     * Starts the transfer.
     *
     * @param failed called if the upstream accepts no more bytes
     * @throws IllegalStateException if called a second time, or after {@link #stop}
     */
    void transferTo(StreamSinkChannel sink, Runnable failed) {
        upstreamFailed = failed;
        if (isStopped || transfer != null) {
            throw new IllegalStateException("a streamed body can be sent only once, and not after it was stopped");
        }
        transfer = new BodyTransfer(
                loop, pool, source, sink, beginning, new BodyTransfer.Size(length, HttpCall.MAX_BODY), TIMEOUTS, this);
        beginning = null;
        transfer.start();
    }

    /** Stops the transfer because the request has its response; no more of the body is read. */
    public void stop() {
        isStopped = true;
        if (transfer != null) {
            transfer.stop();
        }
    }

    @Override
    public boolean mayComplete() {
        return listener.isClientWaiting();
    }

    @Override
    public void transferred() {
        // The listener is only notified of the complete body.
    }

    @Override
    public void completed() {
        isWritten = true;
        listener.forwarded();
    }

    @Override
    public void sourceFailed() {
        listener.clientFailed(transfer.isTooLong());
    }

    @Override
    public void sinkFailed() {
        upstreamFailed.run();
    }
}
