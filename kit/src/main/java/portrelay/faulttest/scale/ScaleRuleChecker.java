package portrelay.faulttest.scale;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import portrelay.faulttest.scale.ListPublisher.PublishedList;
import portrelay.faulttest.scale.ScaleViolation.Rule;
import portrelay.faulttest.scale.SentRequest.End;
import portrelay.faulttest.scale.SentRequest.RequestKind;
import portrelay.standin.Discovery;
import portrelay.standin.UpstreamFleet;

/** Compares what clients sent with what upstreams received, and both with the rules. */
final class ScaleRuleChecker {

    static final int MAX_ATTEMPTS = 4;
    private static final double MAX_LATE_SECONDS = 0.5;
    /** The default grace of the protocol, its slack on sockets, and the time for which a process may be held. */
    private static final double DRAIN_GRACE_SECONDS = 0.5 + 0.05 + 0.15;

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
        Map<String, Integer> arrivalCounts = new HashMap<>();
        for (UpstreamFleet.Arrival arrival : arrivals) {
            checkSentByClient(arrival);
            arrivalCounts.merge(String.valueOf(arrival.id()), 1, Integer::sum);
        }
        malformed.forEach(each -> add(Rule.NOT_SENT_BY_A_CLIENT, "upstream " + each.upstream(), each.bytes()));
        requests.values().forEach(request -> checkAnswer(request, arrivalCounts.getOrDefault(request.id(), 0)));
        return violations;
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
                || !arrival.hasBodyOfId()) {
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
        int maxArrivals = request.requestClass() == RequestKind.ISSUE ? 1 : MAX_ATTEMPTS;
        if (arrivalCount > maxArrivals) {
            add(Rule.DUPLICATE, request.id(), "arrivals=" + arrivalCount);
        }
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
