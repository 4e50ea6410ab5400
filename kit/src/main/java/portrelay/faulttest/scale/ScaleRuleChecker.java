package portrelay.faulttest.scale;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import portrelay.faulttest.scale.ListPublisher.PublishedList;
import portrelay.faulttest.scale.ScaleViolation.Rule;
import portrelay.faulttest.scale.SentRequest.End;
import portrelay.faulttest.scale.SentRequest.RequestKind;
import portrelay.standin.Discovery;
import portrelay.standin.MessageBody;
import portrelay.standin.UpstreamFleet;

/** Compares what clients sent with what upstreams received, and both with the rules. */
final class ScaleRuleChecker {

    static final int MAX_ATTEMPTS = 4;
    private static final double MAX_LATE_SECONDS = 0.5;
    /** The default grace of the protocol, its slack on sockets, and the time for which a process may be held. */
    private static final double DRAIN_GRACE_SECONDS = 0.5 + 0.05 + 0.15;
    /** How long after its client has left an attempt may still begin. */
    private static final double LEFT_GRACE_SECONDS = 0.1;

    private static final double TOLD_TIME_SLACK_SECONDS = 0.15;
    /** The protocol's slack on sockets, and the time for which a process may be held. */
    private static final double WINDOW_SLACK_SECONDS = 0.05 + ScaleRound.HOLD_SECONDS;

    private static final String LINE_END = "\r\n";

    /** A time in which a process shuts down, so that connections may be closed before their request was read. */
    record ShutdownWindow(long from, long to) {}

    private final ScalePlan plan;
    private final Map<String, SentRequest> requests = new HashMap<>();
    private final List<ShutdownWindow> shutdowns;
    private final IdleCloses idleCloses;
    private final List<ScaleViolation> violations = new ArrayList<>();

    ScaleRuleChecker(
            ScalePlan plan, List<SentRequest> requests, List<ShutdownWindow> shutdowns, IdleCloses idleCloses) {
        this.idleCloses = idleCloses;
        this.plan = plan;
        this.shutdowns = shutdowns;
        requests.forEach(request -> this.requests.put(request.id(), request));
    }

    List<ScaleViolation> check(List<UpstreamFleet.Arrival> arrivals, List<UpstreamFleet.Malformed> malformed) {
        Map<String, List<UpstreamFleet.Arrival>> arrivalsById = new HashMap<>();
        for (UpstreamFleet.Arrival arrival : arrivals) {
            checkSentByClient(arrival);
            arrivalsById
                    .computeIfAbsent(String.valueOf(arrival.id()), id -> new ArrayList<>())
                    .add(arrival);
        }
        malformed.forEach(each -> add(Rule.NOT_SENT_BY_A_CLIENT, "upstream " + each.upstream(), each.bytes()));
        for (SentRequest request : requests.values()) {
            List<UpstreamFleet.Arrival> ofRequest = arrivalsById.getOrDefault(request.id(), List.of());
            checkAnswer(request, ofRequest.size());
            checkRepeats(request, ofRequest);
            ofRequest.forEach(arrival -> checkTimes(request, arrival));
        }
        return violations;
    }

    /** Checks that what arrived before a connection ended is the beginning of what a client has sent. */
    void checkUnfinished(List<UpstreamFleet.Unfinished> unfinished) {
        for (UpstreamFleet.Unfinished each : unfinished) {
            if (requests.values().stream().noneMatch(request -> isBeginningOf(request, each.bytes()))) {
                add(Rule.NOT_SENT_BY_A_CLIENT, "upstream " + each.upstream(), "unfinished: " + each.bytes());
            }
        }
    }

    private static boolean isBeginningOf(SentRequest request, String bytes) {
        int lineEnd = bytes.indexOf(LINE_END);
        int headEnd = bytes.indexOf(LINE_END + LINE_END);
        if (lineEnd < 0) {
            return request.line().startsWith(bytes);
        }
        if (!request.line().equals(bytes.substring(0, lineEnd))) {
            return false;
        }
        if (headEnd < 0) {
            return true;
        }
        byte[] body = bytes.substring(headEnd + 2 * LINE_END.length()).getBytes(StandardCharsets.ISO_8859_1);
        return MessageBody.belongsTo(request.id(), body);
    }

    /**
     * Checks that no request of a sidecar began at an address that its list let drain: from when both of its processes
     * had that list to when one of them had the next.
     *
     * @param discovery the discovery of that sidecar alone
     */
    void checkDrains(List<UpstreamFleet.Arrival> arrivals, List<PublishedList> lists, Discovery discovery) {
        for (int i = 0; i < lists.size(); i++) {
            Discovery.WriteTimes written = discovery.writeTimes(lists.get(i).version());
            if (written == null) {
                continue;
            }
            Discovery.WriteTimes next =
                    i + 1 < lists.size() ? discovery.writeTimes(lists.get(i + 1).version()) : null;
            long from = written.last() + (long) (DRAIN_GRACE_SECONDS * 1e9);
            long to = next == null ? Long.MAX_VALUE : next.first();
            for (UpstreamFleet.Arrival arrival : arrivals) {
                if (arrival.beganAt() > from
                        && arrival.beganAt() < to
                        && lists.get(i).isDraining()[arrival.upstream()]) {
                    add(
                            Rule.DRAIN,
                            arrival.id(),
                            "upstream " + arrival.upstream() + " version "
                                    + lists.get(i).version());
                }
            }
            if (next == null && i + 1 < lists.size()) {
                // Some process may have a later list: from here on its own is not known.
                return;
            }
        }
    }

    private void checkSentByClient(UpstreamFleet.Arrival arrival) {
        SentRequest request = requests.get(String.valueOf(arrival.id()));
        if (request == null) {
            add(Rule.NOT_SENT_BY_A_CLIENT, String.valueOf(arrival.id()), "no such id: " + arrival);
        } else if (!request.line().equals(arrival.line())
                || request.bodyBytes() != arrival.bodyBytes()
                || !arrival.hasBodyOfId()
                || !Objects.equals(request.key(), arrival.key())
                || request.end() == End.LEFT_UNFINISHED) {
            add(Rule.NOT_SENT_BY_A_CLIENT, arrival.id(), arrival + ", but " + request);
        }
    }

    private void checkAnswer(SentRequest request, int arrivalCount) {
        if (request.end() == End.WRONG_ANSWER) {
            add(Rule.WRONG_ANSWER, request.id(), describe(request));
        }
        if (request.isAnswered() && request.secondsToEnd() > request.deadlineSeconds() + MAX_LATE_SECONDS) {
            add(Rule.LATE, request.id(), describe(request));
        }
        boolean mayBeUnread = request.end() == End.CLOSED
                && arrivalCount == 0
                && (isInShutdown(request) || idleCloses.crossed(request));
        boolean isCutByUpstream = plan.troubledShare() > 0 || plan.refusingShare() > 0;
        if (request.end() == End.SILENT
                || request.end() == End.CLOSED && !mayBeUnread
                || request.end() == End.CUT_SHORT && !isCutByUpstream) {
            add(Rule.LOST, request.id(), describe(request) + " arrivals=" + arrivalCount);
        }
    }

    private void checkRepeats(SentRequest request, List<UpstreamFleet.Arrival> arrivals) {
        int maxArrivals = request.requestClass() == RequestKind.ISSUE ? 1 : MAX_ATTEMPTS;
        if (arrivals.size() > maxArrivals) {
            add(Rule.DUPLICATE, request.id(), "arrivals=" + arrivals.size());
        }
        if (request.requestClass() != RequestKind.SAVE || arrivals.size() < 2) {
            return;
        }
        UpstreamFleet.Arrival first =
                Collections.min(arrivals, Comparator.comparingLong(UpstreamFleet.Arrival::beganAt));
        for (UpstreamFleet.Arrival arrival : arrivals) {
            boolean isInCell =
                    arrival.upstream() / ListPublisher.ROWS_PER_CELL == first.upstream() / ListPublisher.ROWS_PER_CELL;
            boolean isInWindow = seconds(first.beganAt(), arrival.beganAfter())
                    <= ScaleConfiguration.WINDOW_SECONDS + WINDOW_SLACK_SECONDS;
            if (!isInWindow || plan.hasFixedCells() && !isInCell) {
                add(Rule.DUPLICATE, request.id(), "outside of the cell or the window: " + first + ", " + arrival);
            }
        }
    }

    /** Checks what is owed to a client that has left, and to an upstream that is told for how long it is waited for. */
    private void checkTimes(SentRequest request, UpstreamFleet.Arrival arrival) {
        double held = plan.heldShare() > 0 ? ScaleRound.HOLD_SECONDS : 0;
        if (request.end() == End.LEFT && seconds(request.endedAt(), arrival.beganAfter()) > LEFT_GRACE_SECONDS + held) {
            add(
                    Rule.SENT_AFTER_CLIENT_LEFT,
                    request.id(),
                    seconds(request.endedAt(), arrival.beganAt()) + " s after: " + arrival);
        }
        double leftSeconds = request.deadlineSeconds() - seconds(request.sentAt(), arrival.beganAfter());
        if (!(arrival.toldSeconds() <= leftSeconds + TOLD_TIME_SLACK_SECONDS)) {
            add(Rule.TOLD_TOO_MUCH_TIME, request.id(), "left=" + leftSeconds + " s: " + arrival);
        }
    }

    private static double seconds(long from, long to) {
        return (to - from) / 1e9;
    }

    private boolean isInShutdown(SentRequest request) {
        return shutdowns.stream().anyMatch(window -> request.endedAt() >= window.from && request.sentAt() <= window.to);
    }

    void add(Rule rule, String subject, String evidence) {
        violations.add(new ScaleViolation(rule, subject, evidence));
    }

    private static String describe(SentRequest request) {
        return String.format(
                Locale.ROOT,
                "%s after %.3f s, deadline %.1f s",
                request.end(),
                request.secondsToEnd(),
                request.deadlineSeconds());
    }
}
