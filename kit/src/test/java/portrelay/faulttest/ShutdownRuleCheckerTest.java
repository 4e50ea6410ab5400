package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.standin.HangingUpstream.Arrival;

/** Tests with synthetic records that exactly the violated rules are reported. */
class ShutdownRuleCheckerTest {

    private static final long TERM_AT = 5_000_000_000L;
    private static final long KILL_AT = TERM_AT + 1_700_000_000L;
    private static final double DEADLINE = 1;

    private static long ms(long afterTerm) {
        return TERM_AT + afterTerm * 1_000_000;
    }

    private static final int PORT = 4711;
    private static final String REQUEST_TAKEN_LINE =
            "2026-12-03T10:00:00Z n0 debug request taken: request=r class=read";

    private static RequestRecord request(int status, long sentMs, long endedMs) {
        return request(status, sentMs, endedMs, 0, RequestRecord.End.CLOSED);
    }

    private static RequestRecord request(
            int status, long sentMs, long endedMs, long previousAnsweredAt, RequestRecord.End end) {
        return new RequestRecord(
                "r",
                true,
                DEADLINE,
                new RequestRecord.ConnectionRecord(PORT, ms(sentMs), false, status == 0 ? end : RequestRecord.End.NONE),
                ms(sentMs),
                status,
                ms(endedMs),
                previousAnsweredAt);
    }

    private static ShutdownRuleChecker.Verdict check(RequestRecord request, int arrivals, String... log) {
        List<Arrival> forwarded = List.of(new Arrival("r", ms(1)), new Arrival("r", ms(2)));
        return new ShutdownRuleChecker(TERM_AT, KILL_AT, true)
                .check(List.of(request), forwarded.subList(0, arrivals), List.of(log(log)));
    }

    private static SidecarLog log(String... lines) {
        return new SidecarLog(List.of(lines), 0, Long.MAX_VALUE);
    }

    private static List<RuleViolation.Rule> brokenRules(RequestRecord request, int arrivals, boolean isRead) {
        String[] log = isRead ? new String[] {REQUEST_TAKEN_LINE} : new String[0];
        return check(request, arrivals, log).violations().stream()
                .map(RuleViolation::rule)
                .toList();
    }

    private static final String DRAINING_LINE = "2026-12-03T10:00:00Z n0 info draining: since-signal-s=0.001";

    private static String closedLine(String phase, String cause, long checkedAt, long closedAt) {
        return "2026-12-03T10:00:00Z n0 debug client connection closed: client=" + PORT + " phase=" + phase + " cause="
                + cause + " looked-ns=" + checkedAt + " closed-ns=" + closedAt;
    }

    /** Checks an unanswered request that was written from 100 to 110 us after SIGTERM. */
    private static ShutdownRuleChecker.Verdict checkUnanswered(RequestRecord.End end, String... log) {
        return check(
                new RequestRecord(
                        "r",
                        true,
                        DEADLINE,
                        new RequestRecord.ConnectionRecord(PORT, TERM_AT + us(100), false, end),
                        TERM_AT + us(110),
                        0,
                        TERM_AT + us(200),
                        0),
                0,
                log);
    }

    private static long us(long micros) {
        return micros * 1000;
    }

    /**
     * Checks an unanswered request whose connection the sidecar closed in a shutdown, 46 us after its last check for
     * unread bytes.
     *
     * @param checkedAfterUs the time of that check, in microseconds after SIGTERM
     */
    private static ShutdownRuleChecker.Verdict checkClosed(RequestRecord.End end, String phase, long checkedAfterUs) {
        long checkedAt = TERM_AT + us(checkedAfterUs);
        return checkUnanswered(end, DRAINING_LINE, closedLine(phase, "SHUTDOWN", checkedAt, checkedAt + us(46)));
    }

    @Test
    void reportsForwardedRequestsWithoutAnAnswer() {
        assertEquals(List.of(RuleViolation.Rule.FORWARDED_UNANSWERED), brokenRules(request(0, 900, 1700), 1, false));
        assertEquals(List.of(RuleViolation.Rule.FORWARDED_UNANSWERED), brokenRules(request(0, 900, 1200), 1, true));
    }

    @Test
    void reportsReadRequestsWithoutAnAnswer() {
        assertEquals(List.of(RuleViolation.Rule.READ_UNANSWERED), brokenRules(request(0, 900, 1200), 0, true));
        RequestRecord second = request(0, 900, 1200, ms(1100), RequestRecord.End.CLOSED);
        assertEquals(List.of(RuleViolation.Rule.READ_UNANSWERED), brokenRules(second, 0, false));
    }

    @Test
    void reportsRequestsThatAreUnansweredAtSigkill() {
        assertEquals(List.of(RuleViolation.Rule.UNANSWERED_AT_KILL), brokenRules(request(0, 1600, 1701), 0, false));
    }

    /** Guards against judging by when the process was seen to end, instead of by what was on the wire. */
    @Test
    void reportsUnansweredRequestsWrittenBeforeTheEndOfTheConnectionArrived() {
        assertEquals(List.of(RuleViolation.Rule.CLOSED_UNANSWERED), brokenRules(request(0, 900, 901), 0, false));
        assertEquals(List.of(RuleViolation.Rule.CLOSED_UNANSWERED), brokenRules(request(0, -50, -49), 0, false));
    }

    @Test
    void excusesOnlyACloseOfAnIdleConnectionDuringTheWrite() {
        for (RequestRecord.End end : List.of(RequestRecord.End.CLOSED, RequestRecord.End.BROKEN)) {
            ShutdownRuleChecker.Verdict crossed = checkClosed(end, "IDLE", 80);
            assertEquals(List.of(), crossed.violations());
            assertEquals(1, crossed.crossedCloseInShutdown());
            assertEquals(0, crossed.crossedCloseInService());
        }
        for (ShutdownRuleChecker.Verdict violating : List.of(
                checkClosed(RequestRecord.End.CLOSED, "SENDING", 80),
                checkClosed(RequestRecord.End.BROKEN, "IDLE", 111),
                checkClosed(RequestRecord.End.CLOSED, "IDLE", 100 - 47))) {
            assertEquals(
                    RuleViolation.Rule.CLOSED_UNANSWERED,
                    violating.violations().get(0).rule());
        }
    }

    /**
     * Guards against excusing the fault that 55b109f fixed: after SIGTERM two clients wrote on open connections that
     * the sidecar closed as surplus 46 us after it had checked them for unread bytes, and the clients got a reset.
     */
    @Test
    void doesNotExcuseACloseThatTheShutdownDoesNotRequire() {
        long checkedAt = TERM_AT + us(80);
        for (String cause : List.of("NOT_NEEDED", "TOO_LONG", "MADE_WAY")) {
            String closed = closedLine("IDLE", cause, checkedAt, checkedAt + us(46));
            assertEquals(
                    RuleViolation.Rule.CLOSED_UNANSWERED,
                    checkUnanswered(RequestRecord.End.BROKEN, DRAINING_LINE, closed)
                            .violations()
                            .get(0)
                            .rule());
            // The sidecar had not handled SIGTERM yet.
            assertEquals(
                    List.of(),
                    checkUnanswered(RequestRecord.End.BROKEN, closed, DRAINING_LINE)
                            .violations());
        }
    }

    @Test
    void rejectsLogTimesOfAnotherClock() {
        String closed = closedLine("IDLE", "SHUTDOWN", ms(1), ms(2));
        for (long[] range : new long[][] {{ms(2), ms(3)}, {ms(0), ms(1)}}) {
            assertThrows(IllegalArgumentException.class, () -> new SidecarLog(List.of(closed), range[0], range[1]));
        }
    }

    @Test
    void countsRequestsWrittenAfterTheEndArrivedAndReportsThemIfRead() {
        RequestRecord late = new RequestRecord(
                "r",
                true,
                DEADLINE,
                new RequestRecord.ConnectionRecord(PORT, ms(900), true, RequestRecord.End.BROKEN),
                ms(900),
                0,
                ms(901),
                0);
        assertEquals(1, check(late, 0).writtenAfterEnd());
        assertEquals(List.of(), check(late, 0).violations());
        assertEquals(1, check(late, 0, REQUEST_TAKEN_LINE).violations().size());
        assertEquals(1, check(late, 1).violations().size());
    }

    @Test
    void ignoresRequestsWrittenAfterSigkill() {
        assertEquals(List.of(), brokenRules(request(0, 1701, 1702), 0, false));
    }

    @Test
    void reportsUnsafeRequestsThatAreForwardedTwice() {
        assertEquals(List.of(RuleViolation.Rule.DUPLICATE), brokenRules(request(200, 900, 950), 2, true));
        assertEquals(List.of(), brokenRules(request(200, 900, 950), 1, true));
    }

    @Test
    void aPipelinedAnswerIsDueNoEarlierThanThePrecedingOne() {
        RequestRecord afterPrevious = request(429, 0, 1800, ms(1790), RequestRecord.End.NONE);
        assertEquals(List.of(), brokenRules(afterPrevious, 0, true));
        RequestRecord longAfterPrevious = request(502, 0, 1800, ms(900), RequestRecord.End.NONE);
        assertEquals(List.of(RuleViolation.Rule.LATE), brokenRules(longAfterPrevious, 1, true));
    }

    @Test
    void reportsAnswersHalfASecondAfterTheDeadline() {
        assertEquals(List.of(), brokenRules(request(502, 0, 1490), 1, true));
        assertEquals(List.of(RuleViolation.Rule.LATE), brokenRules(request(502, 0, 1510), 1, true));
    }
}
