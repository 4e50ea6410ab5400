package review;

import java.io.IOException;

/** Starts the threads of the stand-ins. */
final class Threads {

    /** The work of a thread. */
    interface Work {
        void run() throws IOException, InterruptedException;
    }

    private Threads() {}

    /** Starts a daemon thread; an exception of a connection ends it. */
    static Thread start(String name, Work work) {
        Thread thread = new Thread(
                null,
                () -> {
                    try {
                        work.run();
                    } catch (IOException | InterruptedException e) {
                        // The other side has gone, or the case is over.
                    }
                },
                name,
                256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
