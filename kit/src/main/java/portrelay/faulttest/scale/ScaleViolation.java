package portrelay.faulttest.scale;

/**
 * A violation of a rule.
 *
 * @param rule the rule
 * @param subject the request id, or the process
 * @param evidence what was seen
 */
public record ScaleViolation(Rule rule, String subject, String evidence) {

    /** The rules, each named after its violation. */
    public enum Rule {
        /** A process ended without a signal. */
        EXITED,
        /** A process was not ready in time. */
        NOT_READY,
        /** An upstream received what no client had sent: another id, line, key or body, or one that was not whole. */
        NOT_SENT_BY_A_CLIENT,
        /** A client received an answer that does not belong to its request. */
        WRONG_ANSWER,
        /** A request was answered more than half a second after its deadline. */
        LATE,
        /** A request got no answer, or none before SIGKILL. */
        LOST,
        /** An unsafe request reached upstreams more than once, or a keyed one outside of its cell or its window. */
        DUPLICATE,
        /** A request began at an upstream that the list had dropped, or drained, before. */
        DRAIN,
        /** An attempt began after its client had left. */
        SENT_AFTER_CLIENT_LEFT,
        /** An upstream was told more time than its client had left. */
        TOLD_TOO_MUCH_TIME,
        /** The processes of a sidecar took more memory or descriptors than the limits allow. */
        OVER_LIMIT;

        /** Whether a busy machine alone may cause the violation. */
        public boolean isAboutTime() {
            return switch (this) {
                case NOT_READY, LATE, LOST, SENT_AFTER_CLIENT_LEFT, TOLD_TOO_MUCH_TIME -> true;
                case EXITED, NOT_SENT_BY_A_CLIENT, WRONG_ANSWER, DUPLICATE, DRAIN, OVER_LIMIT -> false;
            };
        }
    }

    @Override
    public String toString() {
        return rule + " " + subject + ": " + evidence;
    }
}
