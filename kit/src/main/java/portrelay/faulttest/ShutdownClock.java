package portrelay.faulttest;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

/**
 * The time of SIGTERM in one round, as taken by the process that sends the signals, and whether SIGKILL has been sent.
 * Times are values of {@link System#nanoTime}. Thread-safe.
 */
final class ShutdownClock {

    /** How long after SIGTERM clients open new connections, in seconds. */
    private static final double NEW_CONNECTIONS_SECONDS = 0.3;

    /** The last part of a sleep, in seconds, which is spent spinning because a parked thread wakes up late. */
    private static final double SPIN_SECONDS = 0.002;

    private final CountDownLatch termSent = new CountDownLatch(1);
    private volatile long termAt = Long.MAX_VALUE;
    private volatile boolean isOver;

    /** Records the time at which SIGTERM was sent, and releases the threads that wait for it. */
    void recordTerm(long sentAt) {
        termAt = sentAt;
        termSent.countDown();
    }

    /** Records that SIGKILL has been sent: clients that are connected to a successor then send no more requests. */
    void recordKill() {
        isOver = true;
    }

    boolean isOver() {
        return isOver;
    }

    void awaitTerm() throws InterruptedException {
        termSent.await();
    }

    long termAt() {
        return termAt;
    }

    /** Returns the time that lies the given number of seconds after SIGTERM. */
    long afterTerm(double seconds) {
        return termAt + (long) (seconds * 1e9);
    }

    /** Whether clients still open new connections. */
    boolean allowsNewConnections() {
        return termSent.getCount() > 0 || System.nanoTime() < afterTerm(NEW_CONNECTIONS_SECONDS);
    }

    /** Sleeps until the given time, to within some microseconds. */
    static void sleepUntil(long time) {
        for (long remaining = time - System.nanoTime(); remaining > 0; remaining = time - System.nanoTime()) {
            if (remaining > SPIN_SECONDS * 1e9) {
                LockSupport.parkNanos(remaining - (long) (SPIN_SECONDS * 1e9));
            } else {
                Thread.onSpinWait();
            }
        }
    }
}
