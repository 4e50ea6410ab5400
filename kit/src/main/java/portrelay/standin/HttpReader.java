package portrelay.standin;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Reads HTTP/1.1 messages from one connection, one after the other. Supports bodies with a Content-Length and chunked
 * ones. Blocking; not thread-safe.
 */
public final class HttpReader {

    private static final int HEXADECIMAL = 16;

    /** The first line and the headers of a message. Header names are in lower case. */
    public record Head(String firstLine, Map<String, String> headers) {

        /** Returns the value of the header with the given lower-case name, or null if there is none. */
        public String header(String name) {
            return headers.get(name);
        }

        /** Returns the status code; only for the head of a response. */
        public int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        /** Whether the other side closes the connection after this message. */
        public boolean closesConnection() {
            return "close".equalsIgnoreCase(header("connection"));
        }
    }

    private final InputStream in;

    /** Reads from the given stream, with a buffer. */
    public HttpReader(InputStream in) {
        this.in = new BufferedInputStream(in);
    }

    /**
     * Reads the next head. Returns null if the connection ends before its first byte.
     *
     * @throws IOException if the connection ends within the head
     */
    public Head readHead() throws IOException {
        String first = readLine();
        if (first == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = readLine(); line != null; line = readLine()) {
            if (line.isEmpty()) {
                return new Head(first, headers);
            }
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).trim());
        }
        throw new EOFException("the connection ended within a message head");
    }

    /**
     * Reads and discards the body of the message.
     *
     * @throws IOException if the connection ends within the body
     */
    public void skipBody(Head head) throws IOException {
        readBody(head);
    }

    /**
     * Reads and discards the body of the message, as {@link #skipBody} does, and returns its length in bytes.
     *
     * @throws IOException if the connection ends within the body
     */
    public long readBody(Head head) throws IOException {
        if ("chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            return skipChunks();
        }
        String length = head.header("content-length");
        if (length == null) {
            return 0;
        }
        in.skipNBytes(Long.parseLong(length));
        return Long.parseLong(length);
    }

    /**
     * Reads the body of the message and returns it.
     *
     * @throws IOException if the connection ends within the body
     */
    public byte[] readBodyBytes(Head head) throws IOException {
        String length = head.header("content-length");
        if (length != null) {
            return readExactly(Integer.parseInt(length));
        }
        if (!"chunked".equalsIgnoreCase(head.header("transfer-encoding"))) {
            return new byte[0];
        }
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int size;
        do {
            size = Integer.parseInt(requireLine(), HEXADECIMAL);
            body.writeBytes(readExactly(size));
            requireLine();
        } while (size > 0);
        return body.toByteArray();
    }

    private byte[] readExactly(int count) throws IOException {
        byte[] bytes = in.readNBytes(count);
        if (bytes.length < count) {
            throw new EOFException("the connection ended within a message body");
        }
        return bytes;
    }

    private long skipChunks() throws IOException {
        long total = 0;
        int size;
        do {
            size = Integer.parseInt(requireLine(), HEXADECIMAL);
            in.skipNBytes(size);
            requireLine();
            total += size;
        } while (size > 0);
        return total;
    }

    private String requireLine() throws IOException {
        String line = readLine();
        if (line == null) {
            throw new EOFException("the connection ended within a message body");
        }
        return line;
    }

    private String readLine() throws IOException {
        StringBuilder line = new StringBuilder();
        for (int next = in.read(); next != '\n'; next = in.read()) {
            if (next < 0) {
                if (line.length() > 0) {
                    throw new EOFException("the connection ended within a line");
                }
                return null;
            }
            if (next != '\r') {
                line.append((char) next);
            }
        }
        return line.toString();
    }
}
