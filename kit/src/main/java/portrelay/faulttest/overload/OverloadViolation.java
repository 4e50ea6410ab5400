package portrelay.faulttest.overload;

/**
 * A broken rule.
 *
 * @param dependsOnTime whether a machine that keeps the sidecar from running can be the cause
 * @param text what was seen
 */
public record OverloadViolation(boolean dependsOnTime, String text) {

    @Override
    public String toString() {
        return text;
    }
}
