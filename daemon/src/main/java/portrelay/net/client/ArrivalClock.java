package portrelay.net.client;

import java.util.function.DoubleSupplier;
import portrelay.net.eventloop.EventLoop;

/**
 * The earliest time at which bytes of a client connection that are read now may have arrived. Those that are read as
 * the connection is accepted may have waited with it in the kernel's queue.
 */
final class ArrivalClock implements DoubleSupplier {

    /** The most by which the arrival of a connection is dated back: in a crowd, the queue may not be empty for long. */
    private static final double MAX_QUEUED_SECONDS = 1;

    private final EventLoop loop;
    private double queuedSince;

    /** @param queuedSince the earliest time at which the connection may have arrived */
    ArrivalClock(EventLoop loop, double queuedSince) {
        this.loop = loop;
        this.queuedSince = queuedSince;
    }

    /** Called once what came with the connection has been read. */
    void connectionHandled() {
        queuedSince = Double.POSITIVE_INFINITY;
    }

    @Override
    public double getAsDouble() {
        double earliest = Math.max(queuedSince, loop.now() - MAX_QUEUED_SECONDS);
        return Math.min(earliest, loop.earliestArrival());
    }
}
