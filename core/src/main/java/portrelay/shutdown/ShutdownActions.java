package portrelay.shutdown;

/**
 * Steps of a shutdown that the process carries out. Called on the event loop's thread, each at most once except
 * {@link #wakeUpAt}.
 */
public interface ShutdownActions {

    /** Begins the shutdown: health checks report it from now on. */
    void drain();

    /** Accepts the connections that are already pending, then stops listening. */
    void stopListening();

    /** Closes idle connections now and all others after their next answer, as a successor serves. */
    void handOver();

    /** Rejects queued requests and all requests read from now on; closes idle connections. */
    void rejectNewRequests();

    /** Sends the final answer to each open request now. */
    void answerOpenRequests();

    /** Lets the process exit. */
    void end();

    /** Requests one call of {@link Shutdown#wakeUp} at or after the time. */
    void wakeUpAt(double time);
}
