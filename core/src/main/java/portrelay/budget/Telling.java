package portrelay.budget;

/**
 * What one sidecar may tell the others, in bytes a second on the wire, however many sidecars, upstreams and
 * requests there are: a bucket that fills evenly. Promises that an attempt's start is told only where its end
 * can be told too: a start alone would count as in flight until the longest deadline. What does not fit is
 * withheld, both of it; those that listen measure an upstream's time against what they were told, so a part
 * of all words misleads nobody.
 */
public final class Telling {

    /**
     * Of the 8 KB a second that a sidecar may spend on control; the rest is the list's and the operators'.
     */
    public static final double BYTES_A_SECOND = 6_000;
    /** Seconds' worth that may be told in one moment. */
    private static final double BURST = 0.5;
    /** IPv4 and UDP. */
    private static final int HEAD = 28;

    private double left = BYTES_A_SECOND * BURST;
    private double filledAt;

    /**
     * An attempt's two words, of so many characters together, in so many datagrams each; false: it is not
     * told.
     */
    public boolean takes(double now, int characters, int receivers) {
        left = Math.min(BYTES_A_SECOND * BURST, left + (now - filledAt) * BYTES_A_SECOND);
        filledAt = now;
        double cost = receivers * (2.0 * HEAD + characters);
        if (cost > left) {
            return false;
        }
        left -= cost;
        return true;
    }
}
