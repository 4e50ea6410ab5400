package portrelay.model;

/** What an upstream said of its own load, late and noisy; NaN for each figure it does not report. */
public record LoadReport(
        double inHand, double waiting, double busyShare, double meanTime, double handledRate, double errorRate) {}
