package portrelay.faulttest;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import org.junit.jupiter.api.Test;
import portrelay.standin.HangingUpstream.Arrival;

/** Each rule that planted records break is named, and no other. */
class ShutdownRuleCheckerTest {

    private static final long TERM_AT = 5_000_000_000L;
    private static final long KILL_AT = TERM_AT + 1_700_000_000L;
    private static final double DEADLINE = 1;

    private static long ms(long afterTerm) {
        return TERM_AT + afterTerm * 1_000_000;
    }

    private static final int PORT = 4711;
    private static final String TAKEN = "2026-12-03T10:00:00Z n0 debug request taken: request=r class=read";

    private static RequestRecord sent(int status, long sentMs, long endedMs) {
        return sent(status, sentMs, endedMs, 0, RequestRecord.End.CLOSED);
    }

    private static RequestRecord sent(
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

    private static ShutdownRuleChecker.Verdict judge(RequestRecord request, int arrivals, String... log) {
        List<Arrival> forwarded = List.of(new Arrival("r", ms(1)), new Arrival("r", ms(2)));
        return new ShutdownRuleChecker(TERM_AT, KILL_AT, true)
                .judge(List.of(request), forwarded.subList(0, arrivals), List.of(log(log)));
    }

    private static SidecarLog log(String... lines) {
        return new SidecarLog(List.of(lines), 0, Long.MAX_VALUE);
    }

    private static List<RuleViolation.Rule> brokenRules(RequestRecord request, int arrivals, boolean taken) {
        String[] log = taken ? new String[] {TAKEN} : new String[0];
        return judge(request, arrivals, log).violations().stream()
                .map(RuleViolation::rule)
                .toList();
    }

    private static final String DRAINING = "2026-12-03T10:00:00Z n0 info draining: since-signal-s=0.001";

    private static String closed(String phase, String cause, long lookedAt, long closedAt) {
        return "2026-12-03T10:00:00Z n0 debug client connection closed: client=" + PORT + " phase=" + phase + " cause="
                + cause + " looked-ns=" + lookedAt + " closed-ns=" + closedAt;
    }

    /** A request that was written from 100 to 110 us after SIGTERM, with no answer. */
    private static ShutdownRuleChecker.Verdict judgeUnanswered(RequestRecord.End end, String... log) {
        return judge(
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

    /** The sidecar closed its connection in a shutdown, within 46 us of its last look, so many us after SIGTERM. */
    private static ShutdownRuleChecker.Verdict judgeClosed(RequestRecord.End end, String phase, long lookedAfterUs) {
        long lookedAt = TERM_AT + us(lookedAfterUs);
        return judgeUnanswered(end, DRAINING, closed(phase, "SHUTDOWN", lookedAt, lookedAt + us(46)));
    }

    @Test
    void whatWasForwardedAndNotAnsweredIsLost() {
        assertEquals(List.of(RuleViolation.Rule.FORWARDED_UNANSWERED), brokenRules(sent(0, 900, 1700), 1, false));
        assertEquals(List.of(RuleViolation.Rule.FORWARDED_UNANSWERED), brokenRules(sent(0, 900, 1200), 1, true));
    }

    @Test
    void whatWasReadAndNotAnsweredIsLost() {
        assertEquals(List.of(RuleViolation.Rule.READ_UNANSWERED), brokenRules(sent(0, 900, 1200), 0, true));
        RequestRecord second = sent(0, 900, 1200, ms(1100), RequestRecord.End.CLOSED);
        assertEquals(List.of(RuleViolation.Rule.READ_UNANSWERED), brokenRules(second, 0, false));
    }

    @Test
    void whatTheKillFindsUnansweredIsLost() {
        assertEquals(List.of(RuleViolation.Rule.UNANSWERED_AT_KILL), brokenRules(sent(0, 1600, 1701), 0, false));
    }

    /** Guards against judging by the moment at which a process was seen to end, and not by the wire. */
    @Test
    void whatIsWrittenBeforeTheEndHasArrivedIsOwedAnAnswerAtAnyTime() {
        assertEquals(List.of(RuleViolation.Rule.CLOSED_UNANSWERED), brokenRules(sent(0, 900, 901), 0, false));
        assertEquals(List.of(RuleViolation.Rule.CLOSED_UNANSWERED), brokenRules(sent(0, -50, -49), 0, false));
    }

    @Test
    void onlyTheCloseOfAnIdleConnectionWhileTheRequestIsWrittenCrossesIt() {
        for (RequestRecord.End end : List.of(RequestRecord.End.CLOSED, RequestRecord.End.BROKEN)) {
            ShutdownRuleChecker.Verdict crossed = judgeClosed(end, "IDLE", 80);
            assertEquals(List.of(), crossed.violations());
            assertEquals(1, crossed.crossedCloseInShutdown());
            assertEquals(0, crossed.crossedCloseInService());
        }
        for (ShutdownRuleChecker.Verdict lost : List.of(
                judgeClosed(RequestRecord.End.CLOSED, "SENDING", 80),
                judgeClosed(RequestRecord.End.BROKEN, "IDLE", 111),
                judgeClosed(RequestRecord.End.CLOSED, "IDLE", 100 - 47))) {
            assertEquals(
                    RuleViolation.Rule.CLOSED_UNANSWERED,
                    lost.violations().get(0).rule());
        }
    }

    /**
     * Guards against excusing what 55b109f mended: after SIGTERM two clients wrote on open connections, which the
     * sidecar closed as surplus 46 us after a look, and read a reset.
     */
    @Test
    void aCloseThatAShutdownDoesNotNeedIsNoExcuse() {
        long lookedAt = TERM_AT + us(80);
        for (String cause : List.of("NOT_NEEDED", "TOO_LONG", "MADE_WAY")) {
            String closed = closed("IDLE", cause, lookedAt, lookedAt + us(46));
            assertEquals(
                    RuleViolation.Rule.CLOSED_UNANSWERED,
                    judgeUnanswered(RequestRecord.End.BROKEN, DRAINING, closed)
                            .violations()
                            .get(0)
                            .rule());
            // It had not heard of the signal yet.
            assertEquals(
                    List.of(),
                    judgeUnanswered(RequestRecord.End.BROKEN, closed, DRAINING).violations());
        }
    }

    @Test
    void timesOfAnotherClockAreRefused() {
        String closed = closed("IDLE", "SHUTDOWN", ms(1), ms(2));
        for (long[] range : new long[][] {{ms(2), ms(3)}, {ms(0), ms(1)}}) {
            assertThrows(IllegalArgumentException.class, () -> new SidecarLog(List.of(closed), range[0], range[1]));
        }
    }

    @Test
    void whatIsWrittenAfterTheEndHasArrivedIsCountedAndMustNotBeRead() {
        RequestRecord late = new RequestRecord(
                "r",
                true,
                DEADLINE,
                new RequestRecord.ConnectionRecord(PORT, ms(900), true, RequestRecord.End.BROKEN),
                ms(900),
                0,
                ms(901),
                0);
        assertEquals(1, judge(late, 0).writtenAfterEnd());
        assertEquals(List.of(), judge(late, 0).violations());
        assertEquals(1, judge(late, 0, TAKEN).violations().size());
        assertEquals(1, judge(late, 1).violations().size());
    }

    @Test
    void whatIsWrittenAfterTheKillReachesNobody() {
        assertEquals(List.of(), brokenRules(sent(0, 1701, 1702), 0, false));
    }

    @Test
    void anUnsafeRequestMayRunOnce() {
        assertEquals(List.of(RuleViolation.Rule.DUPLICATE), brokenRules(sent(200, 900, 950), 2, true));
        assertEquals(List.of(), brokenRules(sent(200, 900, 950), 1, true));
    }

    @Test
    void behindAnotherItsAnswerIsDueWithThatOnes() {
        RequestRecord atOnce = sent(429, 0, 1800, ms(1790), RequestRecord.End.NONE);
        assertEquals(List.of(), brokenRules(atOnce, 0, true));
        RequestRecord anew = sent(502, 0, 1800, ms(900), RequestRecord.End.NONE);
        assertEquals(List.of(RuleViolation.Rule.LATE), brokenRules(anew, 1, true));
    }

    @Test
    void anAnswerHalfASecondBehindItsDeadlineIsLost() {
        assertEquals(List.of(), brokenRules(sent(502, 0, 1490), 1, true));
        assertEquals(List.of(RuleViolation.Rule.LATE), brokenRules(sent(502, 0, 1510), 1, true));
    }
}
