package portrelay.faulttest;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import portrelay.standin.HangingUpstream;

/** Finds the rules that were broken in one shutdown, from the records of clients, upstreams and the sidecar. */
public final class ShutdownRuleChecker {

    /** An answer that comes later than this after the deadline counts as lost, in seconds. */
    private static final double ANSWER_TOLERANCE = 0.5;

    private final long termAt;
    private final long killAt;
    private final boolean clientsAwaitedReadiness;

    /**
     * Both times are those of {@link System#nanoTime}, as the sender of the signals took them.
     *
     * @param killAt when SIGKILL is sent at the earliest: what is written later reaches nobody
     * @param clientsAwaitedReadiness for the process to be ready, as the protocol wants it: where they did not, each is
     *     owed an answer all the same, but not in time
     */
    public ShutdownRuleChecker(long termAt, long killAt, boolean clientsAwaitedReadiness) {
        this.termAt = termAt;
        this.killAt = killAt;
        this.clientsAwaitedReadiness = clientsAwaitedReadiness;
    }

    /**
     * What became of the requests that were not answered and broke no rule.
     *
     * @param violations all violations
     * @param writtenAfterEnd requests that were written although the end of their connection had arrived
     * @param crossedCloseInService requests sent before SIGTERM that were on the wire as the sidecar closed their idle
     *     connection
     * @param crossedCloseInShutdown the same, sent after it
     */
    public record Verdict(
            List<RuleViolation> violations,
            int writtenAfterEnd,
            int crossedCloseInService,
            int crossedCloseInShutdown) {}

    /**
     * Judges each request.
     *
     * @param arrivals at the upstreams
     * @param logs of all sidecars that the clients may have been connected to
     */
    public Verdict judge(List<RequestRecord> requests, List<HangingUpstream.Arrival> arrivals, List<SidecarLog> logs) {
        Map<String, List<HangingUpstream.Arrival>> arrivalsById =
                arrivals.stream().collect(Collectors.groupingBy(HangingUpstream.Arrival::id));
        List<RuleViolation> violations = new ArrayList<>();
        int writtenAfterEnd = 0;
        int crossedInService = 0;
        int crossedInShutdown = 0;
        for (RequestRecord each : requests) {
            List<HangingUpstream.Arrival> forwarded = arrivalsById.getOrDefault(each.id(), List.of());
            if (each.isUnsafe() && forwarded.size() > 1) {
                violations.add(
                        new RuleViolation(RuleViolation.Rule.DUPLICATE, each.id(), forwarded.size() + " arrivals"));
            }
            if (each.isAnswered()) {
                checkInTime(each, violations);
            } else if (!forwarded.isEmpty()) {
                String evidence =
                        times(each) + " forwarded " + offset(forwarded.get(0).at());
                violations.add(new RuleViolation(RuleViolation.Rule.FORWARDED_UNANSWERED, each.id(), evidence));
            } else if (each.isReadWithAnother() || logs.stream().anyMatch(log -> log.hasTaken(each.id()))) {
                violations.add(new RuleViolation(RuleViolation.Rule.READ_UNANSWERED, each.id(), times(each)));
            } else if (each.connection().hadEnded()) {
                writtenAfterEnd++;
            } else if (hasCrossedClose(each, logs)) {
                crossedInService += each.sentAt() < termAt ? 1 : 0;
                crossedInShutdown += each.sentAt() < termAt ? 0 : 1;
            } else if (each.sentAt() < killAt) {
                violations.add(new RuleViolation(unansweredRule(each), each.id(), times(each)));
            }
        }
        return new Verdict(violations, writtenAfterEnd, crossedInService, crossedInShutdown);
    }

    private void checkInTime(RequestRecord request, List<RuleViolation> violations) {
        if (clientsAwaitedReadiness && secondsLate(request) > ANSWER_TOLERANCE) {
            violations.add(new RuleViolation(RuleViolation.Rule.LATE, request.id(), times(request)));
        }
    }

    /** Whether the request and the close of its idle connection were on the wire at once. */
    private static boolean hasCrossedClose(RequestRecord request, List<SidecarLog> logs) {
        RequestRecord.ConnectionRecord connection = request.connection();
        return logs.stream()
                .anyMatch(log -> log.closedDuring(connection.clientPort(), connection.lookedAt(), request.sentAt()));
    }

    private RuleViolation.Rule unansweredRule(RequestRecord request) {
        return request.endedAt() >= killAt
                ? RuleViolation.Rule.UNANSWERED_AT_KILL
                : RuleViolation.Rule.CLOSED_UNANSWERED;
    }

    /**
     * Negative for an answer in time. HTTP/1.1 gives answers in the order of the requests: one that was sent behind
     * another can't have its answer before that one has.
     */
    private static double secondsLate(RequestRecord request) {
        double afterDeadline = seconds(request.sentAt(), request.endedAt()) - request.deadline();
        double afterPrevious = seconds(request.previousAnsweredAt(), request.endedAt());
        return Math.min(afterDeadline, afterPrevious);
    }

    private String times(RequestRecord request) {
        return "sent " + offset(request.sentAt()) + " ended " + offset(request.endedAt()) + " port="
                + request.connection().clientPort() + " end="
                + request.connection().end();
    }

    /** Seconds from SIGTERM. */
    private String offset(long at) {
        return String.format(Locale.ROOT, "%+.3f", seconds(termAt, at));
    }

    private static double seconds(long from, long to) {
        return (to - from) / 1e9;
    }
}
