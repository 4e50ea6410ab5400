package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** The part of HTTP/1.1 that the stand-ins need. */
final class Http {

    /** A request or a response. Header names are in lower case. */
    record Message(String firstLine, Map<String, String> headers, byte[] body) {
        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }

        String target() {
            return firstLine.split(" ")[1];
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private Http() {}

    static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.ISO_8859_1);
    }

    /** Reads a head; null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!(head.length() >= 4 && head.substring(head.length() - 4).equals("\r\n\r\n"))) {
            int b = in.read();
            if (b < 0) {
                if (head.length() == 0) {
                    return null;
                }
                throw new EOFException("end within a head");
            }
            head.append((char) b);
        }
        String[] lines = head.toString().split("\r\n");
        Map<String, String> headers = new HashMap<>();
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return new Message(lines[0], headers, new byte[0]);
    }

    /** Reads a whole message; null at the end of the stream before its first byte. */
    static Message read(InputStream in) throws IOException {
        Message head = readHead(in);
        return head == null ? null : new Message(head.firstLine, head.headers, readBody(in, head.headers));
    }

    private static byte[] readBody(InputStream in, Map<String, String> headers) throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream body = new ByteArrayOutputStream();
            for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
                body.write(readFully(in, size));
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {
                continue;
            }
            return body.toByteArray();
        }
        return readFully(in, Integer.parseInt(headers.getOrDefault("content-length", "0")));
    }

    /** Reads the body that belongs to a head, and returns its length in bytes. */
    static int bodyLength(InputStream in, Message head) throws IOException {
        if (!"chunked".equalsIgnoreCase(head.headers.get("transfer-encoding"))) {
            int length = Integer.parseInt(head.headers.getOrDefault("content-length", "0"));
            in.skipNBytes(length);
            return length;
        }
        int length = 0;
        for (int size = chunkSize(in); size > 0; size = chunkSize(in)) {
            in.skipNBytes(size);
            length += size;
            readLine(in);
        }
        readLine(in);
        return length;
    }

    private static int chunkSize(InputStream in) throws IOException {
        return Integer.parseInt(readLine(in).split(";")[0].trim(), 16);
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("end within a line");
            }
            line.append((char) b);
        }
        return line.toString().trim();
    }

    private static byte[] readFully(InputStream in, int count) throws IOException {
        byte[] body = in.readNBytes(count);
        if (body.length < count) {
            throw new EOFException("end within a body");
        }
        return body;
    }

    /** Makes one call on a connection of its own; returns its status, or -1 if there is no answer. */
    static int call(int port, String method, String path) {
        try (Socket socket = Rig.connect(port)) {
            socket.setSoTimeout(2000);
            socket.getOutputStream()
                    .write(bytes(method + " " + path
                            + " HTTP/1.1\r\nHost: app.svc\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
            Message answer = read(new BufferedInputStream(socket.getInputStream()));
            return answer == null ? -1 : answer.status();
        } catch (IOException | RuntimeException e) {
            return -1;
        }
    }
}
