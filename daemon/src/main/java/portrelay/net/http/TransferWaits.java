package portrelay.net.http;

/** Measures how long a {@link BodyTransfer} waits for either side, and detects when that is too long. */
final class TransferWaits {

    /** The source's rate is measured over windows of this many seconds spent waiting for it. */
    private static final double RATE_WINDOW_SECONDS = 4;

    private TransferTimeouts timeouts;
    /** The side that the transfer is waiting for; null while it waits for neither. */
    private BodyTransfer.Side waitingFor;

    private double waitingSince;
    /** Seconds spent waiting for the source since the current rate window began. */
    private double sourceWait;
    /** Bytes read from the source since the current rate window began. */
    private long sourceBytes;

    TransferWaits(TransferTimeouts timeouts) {
        this.timeouts = timeouts;
    }

    void setTimeouts(TransferTimeouts newTimeouts) {
        timeouts = newTimeouts;
    }

    void begin(BodyTransfer.Side side, double now) {
        waitingFor = side;
        waitingSince = now;
    }

    void end(double now) {
        if (waitingFor == BodyTransfer.Side.SOURCE) {
            sourceWait += now - waitingSince;
        }
        waitingFor = null;
    }

    /** Records that {@code bytes} bytes were read from the source. */
    void received(int bytes) {
        sourceBytes += bytes;
    }

    /** Returns the side that has exceeded its timeout or fallen below its rate; null if neither has. */
    BodyTransfer.Side overdueSide(double now) {
        double waiting = now - waitingSince;
        if (waitingFor == BodyTransfer.Side.SINK && waiting > timeouts.maxSinkSilence()) {
            return BodyTransfer.Side.SINK;
        }
        boolean isWaitingForSource = waitingFor == BodyTransfer.Side.SOURCE;
        double totalSourceWait = sourceWait + (isWaitingForSource ? waiting : 0);
        boolean isTooSlow =
                totalSourceWait > RATE_WINDOW_SECONDS && sourceBytes < totalSourceWait * timeouts.minSourceRate();
        if (isWaitingForSource && (waiting > timeouts.maxSourceSilence() || isTooSlow)) {
            return BodyTransfer.Side.SOURCE;
        }
        if (totalSourceWait > RATE_WINDOW_SECONDS) {
            sourceWait = 0;
            sourceBytes = 0;
        }
        return null;
    }
}
