package portrelay.standin;

/** Starts threads that do not keep the JVM alive. */
public final class DaemonThreads {

    private DaemonThreads() {}

    /** Starts a daemon thread with the given name that runs the task. */
    public static Thread start(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}
