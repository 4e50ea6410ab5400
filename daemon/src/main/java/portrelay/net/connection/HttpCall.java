package portrelay.net.connection;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;
import portrelay.policy.ResponseHold;

/**
 * A request to an upstream or to discovery.
 *
 * @param head method, target and headers; the caller sets the framing headers
 * @param body the complete body; empty if {@code requestBody} is given
 * @param requestBody a long body that is forwarded once, as it arrives; null if {@code body} is the complete body
 */
public record HttpCall(ClientRequest head, byte[] body, RequestBody requestBody) {

    /** An empty body. */
    public static final byte[] NO_BODY = new byte[0];
    /** The longest body, in bytes, that is buffered; a longer one is forwarded as it arrives. */
    public static final int MAX_BUFFERED_BODY = ResponseHold.MAX_HELD_BYTES;
    /** The longest body, in bytes, of requests and responses; longer ones are rejected or failed. */
    public static final int MAX_BODY = 36 * 1024 * 1024;

    /**
     * Returns a call with a complete body.
     *
     * @param target the raw path and query
     */
    public static HttpCall of(HttpString method, String target, byte[] body) {
        return of(method, target, body, null);
    }

    /**
     * Returns a call with a complete or a streamed body.
     *
     * @param target the raw path and query
     * @param body the complete body; empty if {@code requestBody} is given
     * @param requestBody the streamed body; may be null
     */
    public static HttpCall of(HttpString method, String target, byte[] body, RequestBody requestBody) {
        return new HttpCall(
                new ClientRequest().setMethod(method).setPath(target).setProtocol(Protocols.HTTP_1_1),
                body,
                requestBody);
    }

    /** Returns the headers of the head; they may be changed until the call is sent. */
    public HeaderMap headers() {
        return head.getRequestHeaders();
    }
}
