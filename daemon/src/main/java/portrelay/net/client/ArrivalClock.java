package portrelay.net.client;

import java.util.function.DoubleSupplier;
import portrelay.model.EventLoopLag;
import portrelay.net.eventloop.EventLoop;

/**
 * The earliest time at which bytes of a client connection that are read now may have arrived. Those that are read as
 * the connection is accepted may have waited with it in the kernel's queue.
 */
final class ArrivalClock implements DoubleSupplier {

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
        double earliest = Math.min(queuedSince, loop.earliestArrival());
        return Math.max(earliest, loop.now() - EventLoopLag.MAX_ARRIVAL_AGE_SECONDS);
    }
}
