package portrelay.standin;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Parses HTTP/1.1 requests from the bytes of one connection as they arrive. Supports bodies with a Content-Length and
 * chunked ones. Not thread-safe.
 */
final class RequestParser {

    private static final int HEXADECIMAL = 16;
    private static final String HEAD_END = "\r\n\r\n";

    /** A complete request. Header names are in lower case. */
    record Request(String firstLine, Map<String, String> headers, byte[] body) {}

    private final ByteArrayOutputStream unparsed = new ByteArrayOutputStream();

    /** Adds received bytes. */
    void add(ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.get(copy);
        unparsed.writeBytes(copy);
    }

    /** Returns the number of received bytes that are not part of a complete request. */
    int unparsedBytes() {
        return unparsed.size();
    }

    /** Returns the unparsed bytes as text, one character per byte. */
    String unparsedText() {
        return unparsed.toString(StandardCharsets.ISO_8859_1);
    }

    /**
     * Removes and returns the next complete request; null if more bytes are needed.
     *
     * @throws IllegalArgumentException if the bytes are no request
     */
    Request next() {
        String text = unparsedText();
        int headEnd = text.indexOf(HEAD_END);
        if (headEnd < 0) {
            return null;
        }
        String[] lines = text.substring(0, headEnd).split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            if (colon < 1) {
                throw new IllegalArgumentException("no header: " + lines[i]);
            }
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        int bodyStart = headEnd + HEAD_END.length();
        boolean isChunked = "chunked".equalsIgnoreCase(headers.get("transfer-encoding"));
        return isChunked
                ? chunked(text, bodyStart, lines[0], headers)
                : withLength(
                        text,
                        bodyStart,
                        Integer.parseInt(headers.getOrDefault("content-length", "0")),
                        lines[0],
                        headers);
    }

    private Request withLength(String text, int bodyStart, int length, String firstLine, Map<String, String> headers) {
        if (text.length() < bodyStart + length) {
            return null;
        }
        return take(text, bodyStart + length, firstLine, headers, text.substring(bodyStart, bodyStart + length));
    }

    private Request chunked(String text, int bodyStart, String firstLine, Map<String, String> headers) {
        StringBuilder body = new StringBuilder();
        int at = bodyStart;
        while (true) {
            int lineEnd = text.indexOf("\r\n", at);
            if (lineEnd < 0) {
                return null;
            }
            int size = Integer.parseInt(text.substring(at, lineEnd), HEXADECIMAL);
            int chunkEnd = lineEnd + 2 + size;
            if (text.length() < chunkEnd + 2) {
                return null;
            }
            body.append(text, lineEnd + 2, chunkEnd);
            at = chunkEnd + 2;
            if (size == 0) {
                return take(text, at, firstLine, headers, body.toString());
            }
        }
    }

    private Request take(String text, int end, String firstLine, Map<String, String> headers, String body) {
        unparsed.reset();
        unparsed.writeBytes(text.substring(end).getBytes(StandardCharsets.ISO_8859_1));
        return new Request(firstLine, headers, body.getBytes(StandardCharsets.ISO_8859_1));
    }
}
