package portrelay.faulttest.overload;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import portrelay.faulttest.UsualClients;

/**
 * What a round has shown.
 *
 * @param plan what was drawn
 * @param usual how the usual requests ended
 * @param wholeResponses the number of slowly written responses that were received completely
 * @param peakMemoryMb the largest memory of the first process
 * @param maxWaitSeconds the longest time for which its event loop waited for a core between two samples
 * @param violations the broken rules; if the round is starved, only those that don't depend on time
 */
public record OverloadReport(
        OverloadPlan plan,
        Map<UsualClients.End, Integer> usual,
        int wholeResponses,
        double peakMemoryMb,
        double maxWaitSeconds,
        List<OverloadViolation> violations) {

    /** For so long a process may be held. */
    private static final double MAX_HOLD_SECONDS = 0.15;

    /** Leaves out the violations that do not count. */
    public OverloadReport {
        if (maxWaitSeconds > MAX_HOLD_SECONDS) {
            violations =
                    violations.stream().filter(each -> !each.dependsOnTime()).toList();
        }
    }

    /** Whether the machine kept the event loop from running, so that times don't count. */
    public boolean isStarved() {
        return maxWaitSeconds > MAX_HOLD_SECONDS;
    }

    @Override
    public String toString() {
        return String.format(
                Locale.ROOT,
                "%s usual=%s whole=%d peak-mb=%.0f max-wait-s=%.3f%s: %s",
                plan,
                usual,
                wholeResponses,
                peakMemoryMb,
                maxWaitSeconds,
                isStarved() ? " STARVED" : "",
                violations.isEmpty() ? "kept" : violations.size() + " broken");
    }
}
