package portrelay.net.lifecycle;

import java.util.Locale;
import portrelay.admission.BufferBudget;

/** Logs counters at an interval; a line with nothing to report is left out. Runs on the event loop. */
final class StatusLog {

    /** Event loop lag up to this is not logged. */
    private static final double MIN_LOGGED_LAG_SECONDS = 0.1;

    /** The share of the buffers for clients up to which their use is not logged. */
    private static final double MIN_LOGGED_BUFFER_SHARE = 0.5;

    private final SidecarComponents components;
    private final double intervalSeconds;

    StatusLog(SidecarComponents components, double intervalSeconds) {
        this.components = components;
        this.intervalSeconds = intervalSeconds;
    }

    /** Logs the counters at once, and again at each interval for as long as the loop runs. */
    void start() {
        // During a shutdown the lag is logged with each of its steps.
        double lag = components.isShuttingDown() ? 0 : components.loop.lag().takeMaxLag();
        if (lag > MIN_LOGGED_LAG_SECONDS) {
            components.log.info(String.format(Locale.ROOT, "event loop: max-lag-s=%.3f", lag));
        }
        logBuffers(components.buffered);
        logIfPresent(components.connectionCounters.summaryLine());
        logIfPresent(components.peers == null ? null : components.peers.droppedMessagesLine());
        components.admission.logCounters();
        components.loop.schedule(intervalSeconds, this::start);
    }

    private void logBuffers(BufferBudget buffered) {
        long peakBytes = buffered.takePeakBytes();
        if (peakBytes > MIN_LOGGED_BUFFER_SHARE * buffered.maxBytes()) {
            components.log.info("client buffers: peak-bytes=" + peakBytes + " held-bytes=" + buffered.heldBytes()
                    + " max-bytes=" + buffered.maxBytes());
        }
    }

    private void logIfPresent(String line) {
        if (line != null) {
            components.log.info(line);
        }
    }
}
