package portrelay.net.http;

/**
 * The time limits for either side of a {@link BodyTransfer}. Time that one side loses because the other is slow is not
 * counted against it.
 *
 * @param maxSourceSilence seconds without a byte after which the source has failed
 * @param minSourceRate minimum rate of the source in bytes per second, 0 for no minimum
 * @param maxSinkSilence seconds without accepting a byte after which the sink has failed; {@link #NO_LIMIT} if the
 *     owner of the sink decides
 */
public record TransferTimeouts(double maxSourceSilence, double minSourceRate, double maxSinkSilence) {

    /** In place of a number of seconds. */
    public static final double NO_LIMIT = Double.POSITIVE_INFINITY;
}
