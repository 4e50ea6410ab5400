package portrelay.faulttest.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.URI;
import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.faulttest.scale.ListPublisher.PublishedList;
import portrelay.faulttest.scale.ScaleRuleChecker.ShutdownWindow;
import portrelay.faulttest.scale.ScaleViolation.Rule;
import portrelay.faulttest.scale.SentRequest.End;
import portrelay.faulttest.scale.SentRequest.RequestKind;
import portrelay.standin.Discovery;
import portrelay.standin.UpstreamFleet.Arrival;
import portrelay.standin.UpstreamFleet.Malformed;
import portrelay.standin.UpstreamFleet.Unfinished;

/** Tests that each violation is found, and that what is allowed is none. */
class ScaleRuleCheckerTest {

    private static final long SECOND = 1_000_000_000L;
    private static final int PORT = 1234;
    private static final ScalePlan PLAN = ScalePlan.draw(1);

    private static SentRequest request(RequestKind kind, int bodyBytes, double seconds, End end) {
        long endedAt = (long) (seconds * SECOND);
        return new SentRequest("a", "POST /x HTTP/1.1", bodyBytes, kind, 1, PORT, 0, endedAt, end);
    }

    private static Arrival arrival(String id, String line, int bodyBytes, boolean hasBodyOfId) {
        return new Arrival(0, id, line, bodyBytes, hasBodyOfId, "a", 1, 0, 0);
    }

    private static List<Rule> check(SentRequest request, Arrival... arrivals) {
        ScalePlan plan = new ScalePlan(
                1, 4, 1, 96, 1, 8, ScalePlan.ListChange.NONE, 1, 0, 0, 0, false, false, false, 0, 0, 0, 0);
        IdleCloses closes = new IdleCloses();
        closes.add(List.of("client connection closed: client=" + PORT
                + " phase=IDLE cause=NOT_NEEDED looked-ns=10000000 closed-ns=11000000"));
        ScaleRuleChecker checker = new ScaleRuleChecker(
                plan, List.of(request), List.of(new ShutdownWindow(10 * SECOND, 12 * SECOND)), closes);
        return checker.check(List.of(arrivals), List.of()).stream()
                .map(ScaleViolation::rule)
                .toList();
    }

    private static final Arrival SAME = arrival("a", "POST /x HTTP/1.1", 3, true);
    private static final Arrival SAME_WITHOUT_KEY = new Arrival(0, "a", "POST /x HTTP/1.1", 3, true, null, 1, 0, 0);

    @Test
    void aServedRequestBreaksNoRule() {
        assertEquals(List.of(), check(request(RequestKind.SAVE, 3, 1.4, End.SERVED), SAME, SAME));
        assertEquals(List.of(), check(request(RequestKind.ISSUE, 3, 0.1, End.REJECTED)));
    }

    @Test
    void whatNoClientSentIsFound() {
        SentRequest sent = request(RequestKind.SAVE, 3, 0.1, End.SERVED);
        List<Rule> notSent = List.of(Rule.NOT_SENT_BY_A_CLIENT);
        assertEquals(notSent, check(sent, arrival("b", "POST /x HTTP/1.1", 3, true)));
        assertEquals(notSent, check(sent, arrival(null, "GET /up HTTP/1.1", 0, true)));
        assertEquals(notSent, check(sent, arrival("a", "POST /y HTTP/1.1", 3, true)));
        assertEquals(notSent, check(sent, arrival("a", "POST /x HTTP/1.1", 2, true)));
        assertEquals(notSent, check(sent, arrival("a", "POST /x HTTP/1.1", 3, false)));
        assertEquals(notSent, check(sent, SAME_WITHOUT_KEY));
        ScaleRuleChecker checker = new ScaleRuleChecker(PLAN, List.of(), List.of(), new IdleCloses());
        assertEquals(
                1,
                checker.check(List.of(), List.of(new Malformed(0, "rest of a body")))
                        .size());
    }

    @Test
    void lateLostWrongAndRepeatedRequestsAreFound() {
        assertEquals(List.of(Rule.LATE), check(request(RequestKind.SAVE, 3, 1.6, End.REJECTED)));
        assertEquals(List.of(Rule.LOST), check(request(RequestKind.SAVE, 3, 5, End.SILENT)));
        assertEquals(List.of(Rule.LOST), check(request(RequestKind.SAVE, 3, 0.005, End.CLOSED)));
        assertEquals(List.of(Rule.LOST), check(request(RequestKind.SAVE, 3, 0.1, End.CUT_SHORT)));
        assertEquals(List.of(Rule.WRONG_ANSWER), check(request(RequestKind.SAVE, 3, 0.1, End.WRONG_ANSWER)));
        SentRequest unsafe = request(RequestKind.ISSUE, 3, 0.1, End.SERVED);
        assertEquals(List.of(Rule.DUPLICATE), check(unsafe, SAME_WITHOUT_KEY, SAME_WITHOUT_KEY));
    }

    @Test
    void anAttemptAfterTheClientLeftIsFound() {
        SentRequest left = request(RequestKind.SAVE, 3, 0.2, End.LEFT);
        assertEquals(List.of(), check(left, begun(0, 0.25, 0.29)));
        assertEquals(List.of(Rule.SENT_AFTER_CLIENT_LEFT), check(left, begun(0, 0.31, 0.35)));
        SentRequest unfinished = request(RequestKind.SAVE, 3, 0.2, End.LEFT_UNFINISHED);
        assertEquals(List.of(), check(unfinished));
        assertEquals(List.of(Rule.NOT_SENT_BY_A_CLIENT), check(unfinished, begun(0, 0, 0)));
    }

    @Test
    void anUpstreamThatIsToldMoreTimeThanTheClientHasLeftIsFound() {
        SentRequest sent = request(RequestKind.SAVE, 3, 0.9, End.SERVED);
        Arrival toldTooMuch = new Arrival(0, "a", "POST /x HTTP/1.1", 3, true, "a", 0.8, 0, SECOND / 2);
        assertEquals(List.of(Rule.TOLD_TOO_MUCH_TIME), check(sent, toldTooMuch));
        Arrival toldNothing = new Arrival(0, "a", "POST /x HTTP/1.1", 3, true, "a", Double.NaN, 0, 0);
        assertEquals(List.of(Rule.TOLD_TOO_MUCH_TIME), check(sent, toldNothing));
    }

    @Test
    void aRepeatOfAKeyedRequestOutsideOfItsCellOrItsWindowIsFound() {
        SentRequest sent = request(RequestKind.SAVE, 3, 0.9, End.SERVED);
        int otherCell = ListPublisher.ROWS_PER_CELL;
        assertEquals(List.of(Rule.DUPLICATE), check(sent, begun(0, 0, 0), begun(otherCell, 0.3, 0.3)));
        assertEquals(List.of(), check(sent, begun(0, 0, 0), begun(otherCell - 1, 0.9, 0.9)));
        assertEquals(List.of(Rule.DUPLICATE), check(sent, begun(0, 0, 0), begun(0, 1.11, 1.11)));
    }

    @Test
    void theBeginningOfARequestThatNoClientSentIsFound() {
        String head = "POST /x HTTP/1.1\r\nX-Trace-Id: a\r\n\r\n";
        assertEquals(0, unfinished("POST /x HT"));
        assertEquals(0, unfinished(head + "a|a|"));
        assertEquals(1, unfinished("|a|a|"));
        assertEquals(1, unfinished("POST /y HTTP/1.1\r\n"));
        assertEquals(1, unfinished(head + "a|b|"));
    }

    /** An attempt that tells its upstream hardly any time. */
    private static Arrival begun(int upstream, double afterSeconds, double atSeconds) {
        long beganAfter = (long) (afterSeconds * SECOND);
        return new Arrival(
                upstream, "a", "POST /x HTTP/1.1", 3, true, "a", 0.001, (long) (atSeconds * SECOND), beganAfter);
    }

    private static int unfinished(String bytes) {
        SentRequest sent = request(RequestKind.SAVE, 3, 0.9, End.SERVED);
        ScaleRuleChecker checker = new ScaleRuleChecker(PLAN, List.of(sent), List.of(), new IdleCloses());
        checker.checkUnfinished(List.of(new Unfinished(0, bytes)));
        return (int) checker.check(List.of(), List.of()).stream()
                .filter(each -> each.rule() == Rule.NOT_SENT_BY_A_CLIENT)
                .count();
    }

    @Test
    void aRequestMayCrossTheCloseOfAnIdleConnectionUnlessItWasForwarded() {
        SentRequest crossed = request(RequestKind.SAVE, 3, 0.1, End.CLOSED);
        assertEquals(List.of(), check(crossed));
        assertEquals(List.of(Rule.LOST), check(crossed, SAME));
    }

    @Test
    void aConnectionMayCloseInAShutdownUnlessItsRequestWasForwarded() {
        SentRequest closed = request(RequestKind.SAVE, 3, 10.5, End.CLOSED);
        assertEquals(List.of(), check(closed));
        assertEquals(List.of(Rule.LOST), check(closed, SAME));
    }

    @Test
    void aRequestAtAnUpstreamThatWasToldToDrainIsFoundUntilTheNextListIsTold() throws Exception {
        try (Discovery discovery = new Discovery(1)) {
            long first = discovery.publish("", null);
            fetch(discovery, first);
            long toldAt = discovery.writeTimes(first).last();
            List<PublishedList> lists = List.of(new PublishedList(first, new boolean[] {true, false}));
            assertEquals(0, drains(lists, discovery, 0, toldAt + SECOND / 2));
            assertEquals(1, drains(lists, discovery, 0, toldAt + SECOND));
            assertEquals(0, drains(lists, discovery, 1, toldAt + SECOND));
            long second = discovery.publish("", null);
            fetch(discovery, second);
            List<PublishedList> both = List.of(lists.get(0), new PublishedList(second, new boolean[2]));
            long followedAt = discovery.writeTimes(second).first();
            assertEquals(0, drains(both, discovery, 0, Math.max(followedAt, toldAt + SECOND)));
        }
    }

    private static int drains(List<PublishedList> lists, Discovery discovery, int upstream, long beganAt) {
        ScaleRuleChecker checker = new ScaleRuleChecker(PLAN, List.of(), List.of(), new IdleCloses());
        checker.checkDrains(
                List.of(new Arrival(upstream, "a", "", 0, true, null, 1, beganAt, beganAt)), lists, discovery);
        return (int) checker.check(List.of(), List.of()).stream()
                .filter(each -> each.rule() == Rule.DRAIN)
                .count();
    }

    private static void fetch(Discovery discovery, long version) throws Exception {
        URI.create("http://" + discovery.address() + "/discovery/hosts")
                .toURL()
                .openStream()
                .readAllBytes();
        while (discovery.writeTimes(version) == null) {
            Thread.onSpinWait();
        }
    }
}
