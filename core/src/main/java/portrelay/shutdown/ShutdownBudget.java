package portrelay.shutdown;

/**
 * The points in time of one shutdown, derived from the time of the signal and from the longest deadline. No other code
 * in the process keeps a margin before SIGKILL.
 *
 * @param listenUntil the time until which new connections are accepted
 * @param stayUntil the earliest time at which the process exits without clients: one may still be connecting
 * @param forwardUntil the time from which requests that are read are rejected and never forwarded
 * @param answerBy the time by which each open request has its final answer
 * @param endBy the time by which the process exits by itself, whatever is still open
 * @param killAt the earliest time at which SIGKILL is sent
 */
public record ShutdownBudget(
        double listenUntil, double stayUntil, double forwardUntil, double answerBy, double endBy, double killAt) {

    /** The platform sends SIGKILL no sooner than the longest deadline plus this duration after SIGTERM. */
    private static final double KILL_GRACE_SECONDS = 0.7;

    /** The platform counts at most this much of the longest deadline. */
    private static final double MAX_COUNTED_DEADLINE_SECONDS = 3;

    /** The platform routes new connections here for up to 0.4 s after SIGTERM. */
    private static final double LISTEN_SECONDS = 0.55;

    /**
     * Longer than {@link #LISTEN_SECONDS}: a connection that the kernel completes just before listening ends is served
     * too.
     */
    private static final double STAY_SECONDS = 0.7;

    /**
     * Time from the last answer to SIGKILL. The process may be paused for 0.15 s between reading its clock and a write,
     * and for another 0.15 s while the signal is being delivered; the rest covers a third such pause, writing the
     * answers and closing connections.
     */
    private static final double ANSWER_MARGIN_SECONDS = 0.5;

    /**
     * Time that each forwarded request has for its answer, unless {@link #FORWARD_MARGIN_SHARE} of the longest deadline
     * is less.
     */
    private static final double FORWARD_MARGIN_SECONDS = 0.3;

    /** Upper limit of the time for the answer, as a share of the longest deadline. */
    private static final double FORWARD_MARGIN_SHARE = 1.0 / 3;

    /** Time before SIGKILL at which the process exits by itself: the JVM takes some milliseconds to exit. */
    private static final double EXIT_MARGIN_SECONDS = 0.1;

    /**
     * Computes the budget of a shutdown. All times are in seconds on the event loop's clock.
     *
     * @param earliestSignal the earliest time at which the signal may have been sent: SIGKILL is counted from it
     * @param receivedAt when the process received the signal; new connections may arrive for a while after that
     * @param maxDeadline the longest deadline of all request classes, in seconds
     */
    public static ShutdownBudget of(double earliestSignal, double receivedAt, double maxDeadline) {
        double counted = Math.min(MAX_COUNTED_DEADLINE_SECONDS, maxDeadline);
        double killAt = earliestSignal + counted + KILL_GRACE_SECONDS;
        double answerBy = killAt - ANSWER_MARGIN_SECONDS;
        double endBy = killAt - EXIT_MARGIN_SECONDS;
        return new ShutdownBudget(
                Math.min(receivedAt + LISTEN_SECONDS, endBy),
                Math.min(receivedAt + STAY_SECONDS, endBy),
                answerBy - Math.min(FORWARD_MARGIN_SECONDS, counted * FORWARD_MARGIN_SHARE),
                answerBy,
                endBy,
                killAt);
    }
}
