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
        /** An upstream received what no client had sent: another id, line or body. */
        NOT_SENT_BY_A_CLIENT,
        /** A client received an answer that does not belong to its request. */
        WRONG_ANSWER,
        /** A request was answered more than half a second after its deadline. */
        LATE,
        /** A request got no answer, or none before SIGKILL. */
        LOST,
        /** An unsafe request reached upstreams more than once. */
        DUPLICATE,
        /** A request began at an upstream that the list had dropped, or drained, before. */
        DRAIN;

        /** Whether a busy machine alone may cause the violation. */
        public boolean isAboutTime() {
            return this == NOT_READY || this == LATE || this == LOST;
        }
    }

    @Override
    public String toString() {
        return rule + " " + subject + ": " + evidence;
    }
}
