package portrelay.net.http;

import java.nio.ByteBuffer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Follows the messages in a connection's bytes and tells where one ends or stops being well-formed. Stricter than
 * Undertow, which takes a chunk of size "zz" for the last one and an interim response for the final one, and reads a
 * head without an end until memory is used up. Holds the line that is being read, at most 32 KiB.
 */
public final class Framing {

    private enum State {
        FIRST_LINE,
        HEADERS,
        BODY,
        CHUNK_SIZE,
        CHUNK,
        AFTER_CHUNK,
        TRAILERS,
        COMPLETE,
        /** The body ends with the connection. */
        UNTIL_CLOSE,
        MALFORMED
    }

    /** The longest head, trailers included; a longer one is malformed. */
    public static final int MAX_HEAD_BYTES = 32 * 1024;
    /** The longest line with a chunk's size and extensions, in bytes. */
    private static final int MAX_CHUNK_SIZE_LINE_BYTES = 256;

    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ([1-5]\\d\\d)( .*)?");
    /** Seven hexadecimal digits fit into an int. */
    private static final Pattern CHUNK_SIZE = Pattern.compile("([0-9a-fA-F]{1,7})[ \t]*(;.*)?");

    private static final int SWITCHING_PROTOCOLS = 101;
    private static final int OK = 200;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private final boolean isResponse;
    /** What has come of the current line. */
    private final StringBuilder line = new StringBuilder();

    private final HeadFields fields = new HeadFields();
    private State state = State.FIRST_LINE;
    private int headBytes;
    /** Bytes that are missing of the body or the chunk. */
    private long bytesLeft;
    /** 0 until a response's first line is read. */
    private int status;

    /** Whether the message that is complete is counted in {@link #messages}. */
    private boolean isCounted;

    private int messages;

    private Framing(boolean isResponse) {
        this.isResponse = isResponse;
    }

    /** One request after another; a head that is ambiguous is left to whoever reads it. */
    public static Framing ofRequests() {
        return new Framing(false);
    }

    /** One response, and nothing behind it; a head that is ambiguous is malformed. */
    public static Framing ofResponse() {
        return new Framing(true);
    }

    public boolean isMalformed() {
        return state == State.MALFORMED;
    }

    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Whether only the connection's end ends the message. */
    public boolean readsUntilClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Whether the last head had lines that may be read in more than one way. */
    public boolean isAmbiguous() {
        return fields.isAmbiguous();
    }

    /** How many messages are complete. */
    public int messages() {
        return messages;
    }

    /** Whether nothing has come of a message that is not complete. */
    public boolean isBetweenMessages() {
        return state == State.COMPLETE || state == State.FIRST_LINE && headBytes == 0;
    }

    /** Whether it stands in the head of a message, or before it. */
    public boolean isInHead() {
        return state == State.FIRST_LINE || state == State.HEADERS;
    }

    /**
     * Whether the head that has just ended is that of an interim response (1xx); then the next head is followed. All of
     * them together may be as long as one head.
     */
    public boolean skipInterimResponse() {
        if (!isInterim() || isInHead() || isMalformed()) {
            return false;
        }
        int headBytesSoFar = headBytes;
        startMessage();
        headBytes = headBytesSoFar;
        return true;
    }

    /**
     * Moves the buffer's position over the bytes that are well-formed, up to the end of a head, of a response or of the
     * buffer; where the message is malformed, to before the line that makes it so.
     */
    public void follow(ByteBuffer bytes) {
        boolean wasInHead = isInHead();
        while (bytes.hasRemaining() && state != State.MALFORMED) {
            switch (state) {
                case UNTIL_CLOSE -> bytes.position(bytes.limit());
                case BODY, CHUNK -> skip(bytes);
                case COMPLETE -> {
                    if (isResponse) {
                        return;
                    }
                    startMessage();
                }
                default -> readLine(bytes);
            }
            if (state == State.COMPLETE && !isCounted) {
                isCounted = true;
                messages++;
            }
            if (wasInHead && !isInHead()) {
                return;
            }
        }
    }

    private boolean isInterim() {
        return status / 100 == 1;
    }

    private void startMessage() {
        state = State.FIRST_LINE;
        isCounted = false;
        headBytes = 0;
        status = 0;
        fields.clear();
    }

    private void skip(ByteBuffer bytes) {
        int count = (int) Math.min(bytesLeft, bytes.remaining());
        bytes.position(bytes.position() + count);
        bytesLeft -= count;
        if (bytesLeft == 0) {
            state = state == State.BODY ? State.COMPLETE : State.AFTER_CHUNK;
        }
    }

    private void readLine(ByteBuffer bytes) {
        int start = bytes.position();
        while (bytes.hasRemaining()) {
            char c = (char) (bytes.get() & 0xff);
            line.append(c);
            if (exceedsLimits() || !mayBeFirstLine()) {
                state = State.MALFORMED;
            } else if (c == '\n') {
                endLine();
            } else {
                continue;
            }
            if (state == State.MALFORMED) {
                bytes.position(start);
            }
            return;
        }
    }

    /** Counts the character that was added last; chunk-size lines have a limit of their own and are not counted. */
    private boolean exceedsLimits() {
        if (state == State.CHUNK_SIZE || state == State.AFTER_CHUNK) {
            return line.length() > MAX_CHUNK_SIZE_LINE_BYTES || headBytes > MAX_HEAD_BYTES;
        }
        headBytes++;
        return line.length() > MAX_HEAD_BYTES || headBytes > MAX_HEAD_BYTES;
    }

    /** Checked at each character: what is not HTTP may never end its line. */
    private boolean mayBeFirstLine() {
        int last = line.length() - 1;
        return !isResponse
                || state != State.FIRST_LINE
                || last >= VERSION_PREFIX.length()
                || line.charAt(last) == VERSION_PREFIX.charAt(last);
    }

    /** A bare line feed ends lines in the heads of requests alone. */
    private void endLine() {
        boolean hasCarriageReturn = line.length() > 1 && line.charAt(line.length() - 2) == '\r';
        String text = line.substring(0, line.length() - (hasCarriageReturn ? 2 : 1));
        line.setLength(0);
        state = hasCarriageReturn || !isResponse && isInHead() ? next(text) : State.MALFORMED;
    }

    private State next(String text) {
        return switch (state) {
            case FIRST_LINE -> firstLine(text);
            case HEADERS -> text.isEmpty() ? headEnd() : header(text);
            case CHUNK_SIZE -> chunkSize(text);
            case AFTER_CHUNK -> text.isEmpty() ? State.CHUNK_SIZE : State.MALFORMED;
            default -> text.isEmpty() ? State.COMPLETE : State.TRAILERS;
        };
    }

    private State firstLine(String text) {
        if (!isResponse) {
            return text.isEmpty() ? State.FIRST_LINE : State.HEADERS;
        }
        Matcher statusLine = STATUS_LINE.matcher(text);
        if (!statusLine.matches()) {
            return State.MALFORMED;
        }
        status = Integer.parseInt(statusLine.group(1));
        fields.setClosesConnection(text.startsWith(VERSION_PREFIX + "0"));
        return State.HEADERS;
    }

    private State header(String text) {
        return fields.add(text) || !isResponse ? State.HEADERS : State.MALFORMED;
    }

    /**
     * What follows the head (RFC 9112, 6.3). An ambiguous head leaves open where its message ends: a request's is let
     * through with all that follows, for its reader to answer and end the connection.
     */
    private State headEnd() {
        if (fields.isAmbiguous() || fields.hasLengthAndCoding()) {
            return isResponse ? State.MALFORMED : State.UNTIL_CLOSE;
        }
        if (isInterim()) {
            return status == SWITCHING_PROTOCOLS ? State.MALFORMED : State.COMPLETE;
        }
        if (fields.isChunked()) {
            return State.CHUNK_SIZE;
        }
        boolean hasNoBody = status == NO_CONTENT || status == NOT_MODIFIED;
        if (fields.hasLength()) {
            bytesLeft = fields.length();
            return bytesLeft == 0 || hasNoBody ? State.COMPLETE : State.BODY;
        }
        return !isResponse || hasNoBody ? State.COMPLETE : withoutLength();
    }

    /**
     * A response that only the connection's end delimits can't be told from an incomplete one, unless that end was
     * announced: then any end but a reset counts.
     */
    private State withoutLength() {
        return status == OK && !fields.closesConnection() ? State.MALFORMED : State.UNTIL_CLOSE;
    }

    private State chunkSize(String text) {
        Matcher size = CHUNK_SIZE.matcher(text);
        if (!size.matches()) {
            return State.MALFORMED;
        }
        bytesLeft = Integer.parseInt(size.group(1), 16);
        return bytesLeft == 0 ? State.TRAILERS : State.CHUNK;
    }
}
