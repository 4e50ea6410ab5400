package portrelay.faulttest;

/**
 * A violation of a rule by the handling of one request.
 *
 * @param rule the rule
 * @param requestId the request id
 * @param evidence the request's times in seconds from SIGTERM, or counts
 */
public record RuleViolation(Rule rule, String requestId, String evidence) {

    /** The rules, each named after its violation. */
    public enum Rule {
        /** The request was forwarded and got no final answer. */
        FORWARDED_UNANSWERED,
        /** The request was read by the sidecar and got no final answer. */
        READ_UNANSWERED,
        /** The request got no final answer, and its connection was still open at SIGKILL. */
        UNANSWERED_AT_KILL,
        /**
         * The request got no final answer although it was written before the end of its connection had arrived, and the
         * logs don't show that it was on the wire while the sidecar closed the idle connection.
         */
        CLOSED_UNANSWERED,
        /** The request was answered more than half a second after its deadline. */
        LATE,
        /** An unsafe request was forwarded more than once. */
        DUPLICATE
    }

    @Override
    public String toString() {
        return rule + " " + requestId + ": " + evidence;
    }
}
