package portrelay.faulttest.scale;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * The result of a round.
 *
 * @param requests the number of requests that clients sent completely
 * @param arrivals the number of requests that upstreams received completely
 * @param connections the number of connections that upstreams accepted
 * @param ends how many requests ended in which way
 * @param readySeconds the longest time that a process took to be ready, without a predecessor
 * @param successorReadySeconds the longest time that a successor took to be ready
 * @param killed the number of processes that SIGKILL ended
 * @param processes what each process used
 * @param peakMemoryMb the most memory that the processes of one sidecar took together, with their files
 * @param discoveryBytes the number of bytes that discovery sent
 * @param maxWaitSeconds the longest time for which an event loop waited for a core between two samples
 */
public record ScaleReport(
        ScalePlan plan,
        int requests,
        int arrivals,
        int connections,
        Map<String, Integer> ends,
        double readySeconds,
        double successorReadySeconds,
        int killed,
        List<String> processes,
        double peakMemoryMb,
        long discoveryBytes,
        double maxWaitSeconds,
        List<ScaleViolation> violations) {

    /**
     * Whether a busy machine kept an event loop from running for longer than a process may be held. What such a round
     * shows of times proves nothing; what it shows of anything else does.
     */
    public boolean isStarved() {
        return maxWaitSeconds > ScaleRound.HOLD_SECONDS;
    }

    /** Whether the round has to be played again: it broke rules on times, and a busy machine may be the cause. */
    public boolean isInconclusive() {
        return isStarved() && violations.size() > countedViolations().size();
    }

    /** Returns the violations that count. */
    public List<ScaleViolation> countedViolations() {
        return violations.stream()
                .filter(each -> !isStarved() || !each.rule().isAboutTime())
                .toList();
    }

    /** Returns how often each rule was violated. */
    public Map<ScaleViolation.Rule, Integer> violationCounts() {
        Map<ScaleViolation.Rule, Integer> counts = new EnumMap<>(ScaleViolation.Rule.class);
        violations.forEach(violation -> counts.merge(violation.rule(), 1, Integer::sum));
        return counts;
    }

    /** Returns up to the given number of violations of each rule. */
    public List<ScaleViolation> examples(int perRule) {
        Map<ScaleViolation.Rule, Integer> seen = new EnumMap<>(ScaleViolation.Rule.class);
        List<ScaleViolation> examples = new ArrayList<>();
        for (ScaleViolation violation : violations) {
            if (seen.merge(violation.rule(), 1, Integer::sum) <= perRule) {
                examples.add(violation);
            }
        }
        return examples;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s requests=%d %s arrivals=%d connections=%d ready-s=%.1f successor-ready-s=%.1f killed=%d"
                        + " peak-mb=%.0f list-bytes=%d"
                        + " max-wait-s=%.3f%s violations=%s",
                plan,
                requests,
                ends,
                arrivals,
                connections,
                readySeconds,
                successorReadySeconds,
                killed,
                peakMemoryMb,
                discoveryBytes,
                maxWaitSeconds,
                isStarved() ? " STARVED" : "",
                violationCounts());
    }
}
