package portrelay.net.http;

import java.util.regex.Pattern;

/** The header fields of one message that determine where its body ends. */
final class HeadFields {

    private static final String CONTENT_LENGTH = "content-length";
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CONNECTION = "connection";
    /** At most nine digits, the same limit as {@code net.client} has for the Content-Length of a request. */
    private static final Pattern LENGTH = Pattern.compile("\\d{1,9}");
    /** Whether a character may occur in a field name (RFC 9110, 5.6.2), indexed by its code. */
    private static final boolean[] IS_TOKEN = new boolean[128];

    static {
        for (char c = '!'; c < 127; c++) {
            IS_TOKEN[c] = Character.isLetterOrDigit(c) || "!#$%&'*+.^_`|~-".indexOf(c) >= 0;
        }
    }

    private String length;
    private String transferCoding;
    private boolean isAmbiguous;
    private boolean closesConnection;

    void clear() {
        length = null;
        transferCoding = null;
        isAmbiguous = false;
        closesConnection = false;
    }

    /** Whether any line added so far can be interpreted in more than one way. */
    boolean isAmbiguous() {
        return isAmbiguous;
    }

    /** Whether both Content-Length and Transfer-Encoding are present, so that other recipients may use either. */
    boolean hasLengthAndTransferCoding() {
        return length != null && transferCoding != null;
    }

    boolean hasLength() {
        return length != null;
    }

    boolean isChunked() {
        return transferCoding != null;
    }

    /** Returns the Content-Length in bytes; call it only if the field is present and nothing is ambiguous. */
    long length() {
        return Long.parseLong(length);
    }

    /** Whether the connection ends after this message. */
    boolean closesConnection() {
        return closesConnection;
    }

    void setClosesConnection(boolean closes) {
        closesConnection = closes;
    }

    /** Adds a line without its line ending; returns false if it is not a header field. */
    boolean add(String line) {
        int colon = nameEnd(line);
        if (colon < 1 || line.indexOf('\r', colon) >= 0) {
            isAmbiguous = true;
            return false;
        }
        // Called for each line of each message, so no substring is created for fields that are not relevant here.
        if (isNamed(line, colon, CONTENT_LENGTH)) {
            String value = line.substring(colon + 1).trim();
            isAmbiguous |= length != null || !LENGTH.matcher(value).matches();
            length = value;
        } else if (isNamed(line, colon, TRANSFER_ENCODING)) {
            String value = line.substring(colon + 1).trim();
            isAmbiguous |= transferCoding != null || !value.equalsIgnoreCase("chunked");
            transferCoding = value;
        } else if (isNamed(line, colon, CONNECTION)) {
            closesConnection |= line.substring(colon + 1).trim().equalsIgnoreCase("close");
        }
        return true;
    }

    private static boolean isNamed(String line, int colon, String name) {
        return colon == name.length() && line.regionMatches(true, 0, name, 0, colon);
    }

    /**
     * Returns the index of the colon after the name, or -1 if the line does not start with a valid name and a colon.
     */
    private static int nameEnd(String line) {
        for (int i = 0; i < line.length(); i++) {
            char c = line.charAt(i);
            if (c == ':') {
                return i;
            }
            if (c >= IS_TOKEN.length || !IS_TOKEN[c]) {
                return -1;
            }
        }
        return -1;
    }
}
