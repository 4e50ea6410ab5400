package portrelay.model;

/** Where onRequest, changes come only after a call; knowledge older than askWithin counts as told. */
public record ListRule(boolean onRequest, double askWithin) {
}
