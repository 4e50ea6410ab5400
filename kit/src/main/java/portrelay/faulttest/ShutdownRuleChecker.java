package portrelay.faulttest;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import portrelay.standin.HangingUpstream;

/** Finds the rule violations of one shutdown in the records of clients, upstreams and the sidecars. */
public final class ShutdownRuleChecker {

    /** How long after its deadline an answer may arrive before it counts as late, in seconds. */
    private static final double ANSWER_TOLERANCE_SECONDS = 0.5;

    private final long termAt;
    private final long killAt;
    private final boolean clientsAwaitedReadiness;

    /**
     * Creates a checker. Both times are values of {@link System#nanoTime}, taken by the process that sent the signals.
     *
     * @param termAt when SIGTERM was sent
     * @param killAt the earliest time of SIGKILL; no process reads requests that are written later
     * @param clientsAwaitedReadiness whether the clients waited until the process was ready, as the protocol requires;
     *     if not, each request still has to be answered, but not by its deadline
     */
    public ShutdownRuleChecker(long termAt, long killAt, boolean clientsAwaitedReadiness) {
        this.termAt = termAt;
        this.killAt = killAt;
        this.clientsAwaitedReadiness = clientsAwaitedReadiness;
    }

    /**
     * The violations, and the numbers of unanswered requests that violate no rule.
     *
     * @param violations all violations
     * @param writtenAfterEnd the number of requests that were written although the end of their connection had arrived
     * @param crossedCloseInService the number of requests sent before SIGTERM that were on the wire while the sidecar
     *     closed their idle connection
     * @param crossedCloseInShutdown the number of such requests sent after SIGTERM
     */
    public record Verdict(
            List<RuleViolation> violations,
            int writtenAfterEnd,
            int crossedCloseInService,
            int crossedCloseInShutdown) {}

    /**
     * Checks each request against the rules.
     *
     * @param requests the requests that the clients sent completely
     * @param arrivals the requests that arrived at the upstreams
     * @param logs the logs of all sidecars to which the clients may have been connected
     */
    public Verdict check(List<RequestRecord> requests, List<HangingUpstream.Arrival> arrivals, List<SidecarLog> logs) {
        Map<String, List<HangingUpstream.Arrival>> arrivalsById =
                arrivals.stream().collect(Collectors.groupingBy(HangingUpstream.Arrival::id));
        List<RuleViolation> violations = new ArrayList<>();
        int writtenAfterEnd = 0;
        int crossedInService = 0;
        int crossedInShutdown = 0;
        for (RequestRecord request : requests) {
            List<HangingUpstream.Arrival> forwarded = arrivalsById.getOrDefault(request.id(), List.of());
            if (request.isUnsafe() && forwarded.size() > 1) {
                violations.add(
                        new RuleViolation(RuleViolation.Rule.DUPLICATE, request.id(), forwarded.size() + " arrivals"));
            }
            if (request.isAnswered()) {
                checkInTime(request, violations);
            } else if (!forwarded.isEmpty()) {
                String evidence = describeTimes(request) + " forwarded "
                        + describeOffset(forwarded.get(0).arrivedAt());
                violations.add(new RuleViolation(RuleViolation.Rule.FORWARDED_UNANSWERED, request.id(), evidence));
            } else if (request.isReadWithPrevious() || logs.stream().anyMatch(log -> log.hasRead(request.id()))) {
                violations.add(
                        new RuleViolation(RuleViolation.Rule.READ_UNANSWERED, request.id(), describeTimes(request)));
            } else if (request.connection().hadEnded()) {
                writtenAfterEnd++;
            } else if (hasCrossedClose(request, logs)) {
                crossedInService += request.sentAt() < termAt ? 1 : 0;
                crossedInShutdown += request.sentAt() < termAt ? 0 : 1;
            } else if (request.sentAt() < killAt) {
                violations.add(new RuleViolation(unansweredRule(request), request.id(), describeTimes(request)));
            }
        }
        return new Verdict(violations, writtenAfterEnd, crossedInService, crossedInShutdown);
    }

    private void checkInTime(RequestRecord request, List<RuleViolation> violations) {
        if (clientsAwaitedReadiness && secondsLate(request) > ANSWER_TOLERANCE_SECONDS) {
            violations.add(new RuleViolation(RuleViolation.Rule.LATE, request.id(), describeTimes(request)));
        }
    }

    /** Whether the request and the close of its idle connection were on the wire at the same time. */
    private static boolean hasCrossedClose(RequestRecord request, List<SidecarLog> logs) {
        RequestRecord.ConnectionRecord connection = request.connection();
        return logs.stream()
                .anyMatch(
                        log -> log.closedIdleDuring(connection.clientPort(), connection.checkedAt(), request.sentAt()));
    }

    private RuleViolation.Rule unansweredRule(RequestRecord request) {
        return request.endedAt() >= killAt
                ? RuleViolation.Rule.UNANSWERED_AT_KILL
                : RuleViolation.Rule.CLOSED_UNANSWERED;
    }

    /**
     * Returns by how many seconds the answer was late; negative for an answer in time. HTTP/1.1 sends answers in the
     * order of the requests, so a pipelined request can't be answered before the preceding one: its answer is due at
     * the deadline or with the preceding answer, whichever is later.
     */
    private static double secondsLate(RequestRecord request) {
        double afterDeadline = seconds(request.sentAt(), request.endedAt()) - request.deadline();
        double afterPrevious = seconds(request.previousAnsweredAt(), request.endedAt());
        return Math.min(afterDeadline, afterPrevious);
    }

    private String describeTimes(RequestRecord request) {
        return "sent " + describeOffset(request.sentAt()) + " ended " + describeOffset(request.endedAt()) + " port="
                + request.connection().clientPort() + " end="
                + request.connection().end();
    }

    /** Formats a point in time as seconds from SIGTERM. */
    private String describeOffset(long time) {
        return String.format(Locale.ROOT, "%+.3f", seconds(termAt, time));
    }

    private static double seconds(long from, long to) {
        return (to - from) / 1e9;
    }
}
