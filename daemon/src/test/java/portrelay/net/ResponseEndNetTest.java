package portrelay.net;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import portrelay.net.SidecarFixture.Message;
import portrelay.net.SidecarFixture.Script;

/**
 * Long responses without a length on connections that end with them. Guards against a response that broke off and that
 * its client takes for a complete one, because the end of the connection marks the end of the body.
 */
@Timeout(60)
class ResponseEndNetTest {

    private static final byte[] BODY = new byte[3_000_000];
    private static final int CHUNK_BYTES = 50_000;
    private static final int HEXADECIMAL = 16;
    /** More than all buffers between the upstream and a client that does not read hold. */
    private static final int ENDLESS_BYTES = 30_000_000;

    static {
        new SplittableRandom(5).nextBytes(BODY);
    }

    private static Script sendChunked(byte[] body) {
        return (message, connection) -> {
            OutputStream out = connection.getOutputStream();
            out.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".getBytes(ISO_8859_1));
            for (int from = 0; from < body.length; from += CHUNK_BYTES) {
                int count = Math.min(CHUNK_BYTES, body.length - from);
                out.write((Integer.toHexString(count) + "\r\n").getBytes(ISO_8859_1));
                out.write(body, from, count);
                out.write("\r\n".getBytes(ISO_8859_1));
            }
            out.write("0\r\n\r\n".getBytes(ISO_8859_1));
        };
    }

    private static byte[] readChunked(InputStream in) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        for (int size = readSize(in); size > 0; size = readSize(in)) {
            body.write(in.readNBytes(size));
            assertEquals("\r\n", new String(in.readNBytes(2), ISO_8859_1));
        }
        assertEquals("\r\n", new String(in.readNBytes(2), ISO_8859_1));
        return body.toByteArray();
    }

    private static int readSize(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new IOException("the connection ended within a chunk's size");
            }
            line.append((char) c);
        }
        return Integer.parseInt(line.toString().trim(), HEXADECIMAL);
    }

    private static void assertChunkedAndLast(Socket client, String request) throws IOException {
        Message response = SidecarFixture.exchange(client, request);
        assertEquals(200, response.status());
        assertEquals("close", response.header("Connection"));
        assertEquals("chunked", response.header("Transfer-Encoding"));
        assertArrayEquals(BODY, readChunked(client.getInputStream()));
        assertEquals(-1, client.getInputStream().read());
    }

    @Test
    void aResponseToAClientThatAsksForTheCloseIsChunked() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(sendChunked(BODY))) {
            String request = SidecarFixture.requestHead("GET /read/x", "a", "read", 900) + "Connection: close\r\n\r\n";
            assertChunkedAndLast(testbed.connect(), request);
        }
    }

    @Test
    void aResponseOutOfServiceIsChunked() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(sendChunked(BODY))) {
            Socket client = testbed.connect();
            assertEquals(200, testbed.callAdmin("PUT /control/out-of-service").status());
            assertChunkedAndLast(client, SidecarFixture.readRequest("a", 900));
        }
    }

    @Test
    void aResponseUntilTheCloseOfTheUpstreamIsChunked() throws Exception {
        Script untilClose = SidecarFixture.sendBytesAndClose(
                "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + new String(BODY, ISO_8859_1));
        try (SidecarFixture testbed = new SidecarFixture(untilClose)) {
            String request = SidecarFixture.requestHead("GET /read/x", "a", "read", 900) + "Connection: close\r\n\r\n";
            assertChunkedAndLast(testbed.connect(), request);
        }
    }

    /** HTTP/1.0 has no chunks; the reset that guards an incomplete response must not cut off a complete one. */
    @Test
    void aCompleteResponseToASlowClientOfHttp10EndsWithoutAReset() throws Exception {
        for (String keptOrNot : List.of("", "Connection: keep-alive\r\n")) {
            try (SidecarFixture testbed = new SidecarFixture(sendChunked(BODY))) {
                Socket client = testbed.connect();
                String head = SidecarFixture.requestHead("GET /read/x", "a", "read", 900)
                        .replace("HTTP/1.1", "HTTP/1.0");
                Message response = SidecarFixture.exchange(client, head + keptOrNot + "\r\n");
                assertEquals(200, response.status());
                assertNull(response.header("Transfer-Encoding"));
                Thread.sleep(500);
                assertArrayEquals(BODY, client.getInputStream().readAllBytes());
            }
        }
    }

    /** The sidecar gives the client up, as it does not read; what is left in the buffers must not look complete. */
    @Test
    void anIncompleteResponseToAClientOfHttp10ThatStopsReadingEndsWithAReset() throws Exception {
        try (SidecarFixture testbed = new SidecarFixture(sendChunked(new byte[ENDLESS_BYTES]))) {
            Socket client = testbed.connect();
            client.getOutputStream()
                    .write(SidecarFixture.readRequest("a", 900)
                            .replace("HTTP/1.1", "HTTP/1.0")
                            .getBytes(ISO_8859_1));
            testbed.upstreams.get(0).closed.take();
            assertThrows(SocketException.class, () -> client.getInputStream().readAllBytes());
        }
    }
}
