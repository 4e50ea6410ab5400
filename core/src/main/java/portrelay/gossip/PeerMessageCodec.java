package portrelay.gossip;

import portrelay.gossip.PeerMembership.AttemptEvent;
import portrelay.gossip.PeerMembership.AttemptReport;
import portrelay.model.UpstreamId;

/**
 * Encodes and decodes peer messages: printable ASCII from {@code !} on, one character per field where that is enough.
 * Sidecars of different versions run side by side, so no character may change; PeerWireTest checks that.
 *
 * <ul>
 *   <li>{@code ~h} or {@code ~H}, zone: {@link PeerMessage.Hello}; {@code H} asks for zones
 *   <li>{@code ~m}, page, zones: {@link PeerMessage.Zones} of one page of sidecars
 *   <li>{@code ~r}, idle time: a request was lost on an idle connection
 *   <li>event and upstream in one character, then for a start the tenant: an attempt event within a subset
 *   <li>event, three digits of the upstream's code, then for an end the duration ratio: an attempt event by rendezvous
 * </ul>
 */
// An event's ordinal is its code on the wire.
@SuppressWarnings("EnumOrdinal")
final class PeerMessageCodec {

    /** Number of upstreams that can be distinguished within a subset. */
    static final int SUBSET_CODES = 23;

    /** Maximum number of sidecars in one {@code Zones} message, which keeps the message within 256 bytes. */
    static final int ZONES_PAGE_SIZE = 200;

    /** Stands in a {@code Zones} message for a sidecar that the sender does not know. */
    static final char UNKNOWN_ZONE = ' ';

    private static final char FIRST_CODE = '!';
    private static final int ZONE_CODES = 90;
    private static final char MEMBERSHIP = '~';
    private static final char HELLO = 'h';
    private static final char HELLO_ASKING = 'H';
    private static final char ZONES = 'm';
    private static final char CONNECTION_LOST = 'r';

    /** Number of events with an attempt message: all before LOST, which has a message of its own. */
    private static final int ATTEMPT_EVENT_COUNT = AttemptEvent.LOST.ordinal();

    private static final int DIGIT_CODES = 90;
    private static final int DIGITS = 3;
    private static final long RENDEZVOUS_CODES = (long) DIGIT_CODES * DIGIT_CODES * DIGIT_CODES;

    /** The largest step; there are as many steps as codes of a digit. */
    private static final int MAX_LOG_STEP = DIGIT_CODES - 1;

    /** The step of the number 1, in the middle of the range. */
    private static final int LOG_STEP_OF_ONE = 45;

    /** Steps per factor of e. */
    private static final double LOG_STEPS_PER_E = 10;

    private PeerMessageCodec() {}

    /**
     * Returns the code of an upstream for messages by rendezvous, from its id alone. Two upstreams with the same code
     * can't be distinguished, so the less used one looks idle to all sidecars; the range of codes is large enough to
     * keep such pairs rare.
     */
    static int upstreamCode(UpstreamId id) {
        return (int) Math.floorMod(id.value() * 0x9E3779B97F4A7C15L >>> 20, RENDEZVOUS_CODES);
    }

    /** Returns the code of a zone, from its number alone. */
    static char zoneCode(int zone) {
        return (char) (FIRST_CODE + Math.floorMod(zone, ZONE_CODES));
    }

    // ---- Encoding ---------------------------------------------------------------------------------------

    static String hello(char zone, boolean asksForZones) {
        return "" + MEMBERSHIP + (asksForZones ? HELLO_ASKING : HELLO) + zone;
    }

    /** Encodes a {@code Zones} message; the first sidecar has to be a multiple of {@link #ZONES_PAGE_SIZE}. */
    static String zones(int firstSidecar, CharSequence codes) {
        return "" + MEMBERSHIP + ZONES + (char) (FIRST_CODE + firstSidecar / ZONES_PAGE_SIZE) + codes;
    }

    /** Encodes the loss of a request on an idle connection; the idle time is in seconds. */
    static String connectionLost(double idleTime) {
        return "" + MEMBERSHIP + CONNECTION_LOST + encodeLog(idleTime);
    }

    /**
     * Encodes an attempt event within a subset.
     *
     * @param code the upstream's position in the subset
     * @param tenant the tenant, -1 for none; encoded for STARTED only
     */
    static String subsetEvent(AttemptEvent event, int code, int tenant) {
        char first = (char) (FIRST_CODE + event.ordinal() * SUBSET_CODES + code);
        return event == AttemptEvent.STARTED ? "" + first + (char) (FIRST_CODE + tenant + 1) : "" + first;
    }

    /**
     * Encodes an attempt event by rendezvous.
     *
     * @param code the upstream's code, see {@link #upstreamCode}
     * @param durationRatio encoded for the end of an attempt only
     */
    static String rendezvousEvent(AttemptEvent event, int code, double durationRatio) {
        StringBuilder text = new StringBuilder(DIGITS + 2).append((char) (FIRST_CODE + event.ordinal()));
        for (int i = 0, left = code; i < DIGITS; i++, left /= DIGIT_CODES) {
            text.append((char) (FIRST_CODE + left % DIGIT_CODES));
        }
        if (event != AttemptEvent.STARTED) {
            text.append(encodeLog(durationRatio));
        }
        return text.toString();
    }

    // ---- Decoding ---------------------------------------------------------------------------------------

    /** Decodes a message where sidecars share subsets. Returns null if it is malformed or of an unknown kind. */
    static PeerMessage decodeInSubset(String text) {
        if (text.length() >= 3 && text.charAt(0) == MEMBERSHIP) {
            return decodeMembership(text);
        }
        int code = text.isEmpty() ? -1 : text.charAt(0) - FIRST_CODE;
        if (code < 0 || code >= SUBSET_CODES * ATTEMPT_EVENT_COUNT) {
            return null;
        }
        int tenant = text.length() > 1 ? text.charAt(1) - FIRST_CODE - 1 : -1;
        return new AttemptReport(AttemptEvent.values()[code / SUBSET_CODES], code % SUBSET_CODES, tenant, 0);
    }

    /**
     * Decodes a message where upstreams are chosen by rendezvous. Returns null if it is malformed or of another kind.
     */
    static PeerMessage decodeByRendezvous(String text) {
        int event = text.length() <= DIGITS ? -1 : text.charAt(0) - FIRST_CODE;
        boolean isStart = event == AttemptEvent.STARTED.ordinal();
        if (event < 0 || event >= ATTEMPT_EVENT_COUNT || text.length() != DIGITS + (isStart ? 1 : 2)) {
            return null;
        }
        int code = 0;
        for (int i = DIGITS; i > 0; i--) {
            code = code * DIGIT_CODES + text.charAt(i) - FIRST_CODE;
        }
        double durationRatio = isStart ? 0 : decodeLog(text.charAt(DIGITS + 1));
        return new AttemptReport(AttemptEvent.values()[event], code, -1, durationRatio);
    }

    private static PeerMessage decodeMembership(String text) {
        char field = text.charAt(2);
        return switch (text.charAt(1)) {
            case HELLO -> new PeerMessage.Hello(field, false);
            case HELLO_ASKING -> new PeerMessage.Hello(field, true);
            case ZONES -> new PeerMessage.Zones((field - FIRST_CODE) * ZONES_PAGE_SIZE, text.substring(3));
            case CONNECTION_LOST -> new AttemptReport(AttemptEvent.LOST, -1, -1, decodeLog(field));
            default -> null;
        };
    }

    /**
     * Encodes a positive number as one character: its natural logarithm in steps of 0.1, so precise to about 5 %. The
     * number is limited to the range that one character can hold, 0.011 to 81.
     */
    private static char encodeLog(double value) {
        long step = Math.round(Math.log(value) * LOG_STEPS_PER_E) + LOG_STEP_OF_ONE;
        return (char) (FIRST_CODE + Math.max(0, Math.min(MAX_LOG_STEP, step)));
    }

    private static double decodeLog(char code) {
        return Math.exp((code - FIRST_CODE - LOG_STEP_OF_ONE) / LOG_STEPS_PER_E);
    }
}
