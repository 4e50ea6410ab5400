package portrelay.model;

/**
 * The load that an upstream reports of itself, with a delay and inexactly. Figures that it does not report are NaN.
 *
 * @param inFlight the number of requests being executed
 * @param queued the number of requests waiting
 * @param utilization the busy share, 0 to 1
 * @param meanLatency in seconds
 * @param servedRate in requests per second
 * @param errorRate in errors per second
 */
public record LoadReport(
        double inFlight, double queued, double utilization, double meanLatency, double servedRate, double errorRate) {}
