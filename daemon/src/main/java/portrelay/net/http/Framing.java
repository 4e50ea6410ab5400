package portrelay.net.http;

import java.nio.ByteBuffer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * An incremental parser of HTTP/1.x message framing: detects where each message on a connection ends, or where it stops
 * being well-formed. Stricter than Undertow, which takes a chunk of size "zz" for the last chunk and an interim
 * response for the final one, and reads a head without an end until memory is exhausted. Buffers only the current line,
 * at most 32 KiB.
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
        /** The end of the connection delimits the body. */
        UNTIL_CLOSE,
        MALFORMED
    }

    /** The maximum length in bytes of a head, trailers included; a longer one is malformed. */
    public static final int MAX_HEAD_BYTES = 32 * 1024;
    /** The maximum length in bytes of a line with a chunk's size and extensions. */
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
    /** The part of the current line that was received so far. */
    private final StringBuilder line = new StringBuilder();

    private final HeadFields fields = new HeadFields();
    private State state = State.FIRST_LINE;
    private int headBytes;
    /** The number of bytes that are missing from the body or the chunk. */
    private long bytesLeft;
    /** 0 until a response's first line is read. */
    private int status;

    /** Whether the current message, being complete, is counted in {@link #completeMessageCount}. */
    private boolean isCounted;

    private int completeMessageCount;

    private Framing(boolean isResponse) {
        this.isResponse = isResponse;
    }

    /** Returns a parser of consecutive requests; an ambiguous head is left to the request's reader to reject. */
    public static Framing ofRequests() {
        return new Framing(false);
    }

    /** Returns a parser of one response that no other bytes may follow; an ambiguous head is malformed. */
    public static Framing ofResponse() {
        return new Framing(true);
    }

    /** Whether the bytes stopped being well-formed. */
    public boolean isMalformed() {
        return state == State.MALFORMED;
    }

    /** Returns the number of bytes that are missing from a body with a length; -1 for another body or none. */
    public long bodyBytesLeft() {
        return state == State.BODY ? bytesLeft : -1;
    }

    /** Whether the current message is complete by its own framing. */
    public boolean isComplete() {
        return state == State.COMPLETE;
    }

    /** Whether only the end of the connection delimits the message. */
    public boolean readsUntilClose() {
        return state == State.UNTIL_CLOSE;
    }

    /** Returns the number of complete messages. */
    public int completeMessageCount() {
        return completeMessageCount;
    }

    /** Whether no byte of an incomplete message was received. */
    public boolean isBetweenMessages() {
        return state == State.COMPLETE || state == State.FIRST_LINE && headBytes == 0;
    }

    /** Returns the number of bytes of the current message's head, trailers included, that have been parsed. */
    public int headBytes() {
        return headBytes;
    }

    /** Whether the parser is within the head of a message, or before it. */
    public boolean isInHead() {
        return state == State.FIRST_LINE || state == State.HEADERS;
    }

    /**
     * Skips an interim response (1xx): if the head that has just ended belongs to one, starts the next head and returns
     * true. The heads of all interim responses and of the final one share the length limit of a single head.
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
     * Advances the position of the buffer past well-formed bytes, up to the end of a head, of a message or of the
     * buffer. If the message is malformed, the position stops before the part of the offending line in this buffer.
     */
    public void parse(ByteBuffer bytes) {
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
                completeMessageCount++;
                return;
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

    /** Counts the last character added and checks the limits; chunk-size lines have their own limit and don't count. */
    private boolean exceedsLimits() {
        if (state == State.CHUNK_SIZE || state == State.AFTER_CHUNK) {
            return line.length() > MAX_CHUNK_SIZE_LINE_BYTES || headBytes > MAX_HEAD_BYTES;
        }
        headBytes++;
        return line.length() > MAX_HEAD_BYTES || headBytes > MAX_HEAD_BYTES;
    }

    /**
     * Whether the line may still be a first line; checked per character, as data that isn't HTTP may never end a line.
     */
    private boolean mayBeFirstLine() {
        int last = line.length() - 1;
        return !isResponse
                || state != State.FIRST_LINE
                || last >= VERSION_PREFIX.length()
                || line.charAt(last) == VERSION_PREFIX.charAt(last);
    }

    /** Handles the end of a line. A bare line feed ends a line only in the head of a request. */
    private void endLine() {
        boolean hasCarriageReturn = line.length() > 1 && line.charAt(line.length() - 2) == '\r';
        String text = line.substring(0, line.length() - (hasCarriageReturn ? 2 : 1));
        line.setLength(0);
        state = hasCarriageReturn || !isResponse && isInHead() ? nextState(text) : State.MALFORMED;
    }

    private State nextState(String text) {
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
     * Returns the state after the head (RFC 9112, 6.3). With an ambiguous head, the end of the message is unknown: a
     * request is passed through with all bytes that follow, so that its reader answers it and closes the connection.
     */
    private State headEnd() {
        if (fields.isAmbiguous() || fields.hasLengthAndTransferCoding()) {
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
     * Returns the state after the head of a response without a length. A response that is delimited only by the end of
     * the connection can't be distinguished from an incomplete one, unless that end was announced; then any end except
     * a reset is accepted.
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
