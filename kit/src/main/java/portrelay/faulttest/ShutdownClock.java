package portrelay.faulttest;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.locks.LockSupport;

/** The moments of one shutdown by the clock of the signals' sender; times are {@link System#nanoTime}. Thread-safe. */
final class ShutdownClock {

    /** New connections go on coming for so long after SIGTERM, in seconds. */
    private static final double CONNECT_FOR = 0.3;

    /** The last part of a sleep is spent spinning, in seconds: a parked thread wakes up late. */
    private static final double SPIN_FOR = 0.002;

    private final CountDownLatch term = new CountDownLatch(1);
    private volatile long termAt = Long.MAX_VALUE;
    private volatile boolean isOver;

    /** SIGTERM was sent at that time. */
    void term(long sentAt) {
        termAt = sentAt;
        term.countDown();
    }

    /** SIGKILL has been sent: clients that are connected to a successor send no more requests. */
    void over() {
        isOver = true;
    }

    boolean isOver() {
        return isOver;
    }

    void awaitTerm() throws InterruptedException {
        term.await();
    }

    long termAt() {
        return termAt;
    }

    /** The moment so many seconds after SIGTERM. */
    long after(double seconds) {
        return termAt + (long) (seconds * 1e9);
    }

    /** Whether new connections still come. */
    boolean clientsConnect() {
        return term.getCount() > 0 || System.nanoTime() < after(CONNECT_FOR);
    }

    /** Returns at that time, within some microseconds. */
    static void sleepUntil(long at) {
        for (long left = at - System.nanoTime(); left > 0; left = at - System.nanoTime()) {
            if (left > SPIN_FOR * 1e9) {
                LockSupport.parkNanos(left - (long) (SPIN_FOR * 1e9));
            } else {
                Thread.onSpinWait();
            }
        }
    }
}
