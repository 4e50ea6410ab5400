package portrelay.model;

/** An upstream starts at share of its capacity or above and is warm after time seconds at the latest. */
public record ColdRule(double share, double time, double overloadFactor, double tipAfter) {
}
