package portrelay.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A request reaches its upstream with the target and the header values that its client sent. */
@Timeout(60)
class RequestAsSentNetTest {

    /** Guards against a target that is rebuilt from parsed parts, and so loses a question mark or an empty query. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "/issue/7??draft=1",
                "/issue/7???",
                "/issue/7??",
                "/issue/7?",
                "/issue/7/?",
                "/issue/7?a=b?c=d",
                "/issue/7",
                "/issue//./7;v=1/%2F%00?x=%20&&;=/"
            })
    void aTargetIsForwardedAsSent(String target) throws Exception {
        assertEquals("POST " + target + " HTTP/1.1", forwarded(target, "").startLine());
    }

    /** The upstream is sent the origin-form of a target in absolute-form, with its query as it was sent. */
    @ParameterizedTest
    @ValueSource(strings = {"/issue/7??draft=1", "/issue/7?", "/issue/7"})
    void anAbsoluteTargetLosesItsAuthorityOnly(String target) throws Exception {
        assertEquals(
                "POST " + target + " HTTP/1.1",
                forwarded("http://app.svc" + target, "").startLine());
    }

    /** Guards against values in which the parser folds blanks: a key that is changed is another key. */
    @ParameterizedTest
    @ValueSource(strings = {"x  y", "x   y z", "x\ty", "x \t y", "plain", "a, b"})
    void aHeaderValueIsForwardedAsSent(String value) throws Exception {
        SidecarFixture.Message request =
                forwarded("/issue/7", "Idempotency-Key: \t" + value + "  \r\nX-Note:" + value + "\r\n");

        assertEquals(value, request.header("Idempotency-Key"));
        assertEquals(value, request.header("X-Note"));
    }

    /** Each of several requests that are sent at once has a target and values of its own. */
    @Test
    void pipelinedRequestsAreForwardedAsSent() throws Exception {
        List<String> targets = List.of("/issue/7??a", "/issue/8?", "/issue/9");
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.answer("200 OK", "ok"))) {
            StringBuilder requests = new StringBuilder();
            for (String target : targets) {
                requests.append(request(target, "p" + target.length(), "Idempotency-Key: k  " + target + "\r\n"));
            }
            Socket client = fixture.connect();
            assertEquals(
                    200, SidecarFixture.exchange(client, requests.toString()).status());
            for (String target : targets) {
                SidecarFixture.Message request = fixture.upstreams.get(0).next();
                assertEquals("POST " + target + " HTTP/1.1", request.startLine());
                assertEquals("k  " + target, request.header("Idempotency-Key"));
            }
        }
    }

    /** Guards against a request that is rejected because the next one, sent along with it, can be read in two ways. */
    @Test
    void aRequestBeforeAnAmbiguousOneIsForwarded() throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.answer("200 OK", "ok"))) {
            String requests = request("/issue/7", "p1", "") + request("/issue/8", "p2", "X-Note: a\r\n b\r\n");

            assertEquals(
                    200, SidecarFixture.exchange(fixture.connect(), requests).status());
            assertEquals(
                    "POST /issue/7 HTTP/1.1", fixture.upstreams.get(0).next().startLine());
        }
    }

    private static SidecarFixture.Message forwarded(String target, String fields) throws Exception {
        try (SidecarFixture fixture = new SidecarFixture(SidecarFixture.answer("200 OK", "ok"))) {
            assertEquals(200, fixture.exchange(request(target, "r1", fields)).status());
            return fixture.upstreams.get(0).next();
        }
    }

    private static String request(String target, String id, String fields) {
        return SidecarFixture.requestHead("POST " + target, id, "issue", 900) + fields + "Content-Length: 2\r\n\r\nhi";
    }
}
