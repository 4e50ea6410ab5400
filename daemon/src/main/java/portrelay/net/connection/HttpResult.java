package portrelay.net.connection;

import io.undertow.util.HeaderMap;
import org.xnio.channels.StreamSinkChannel;
import portrelay.net.http.BodyTransfer;

/**
 * The result of an exchange.
 *
 * @param status the status code of the response, or 0 if the connection was lost or the response was incomplete or
 *     malformed
 * @param headers the headers of the response; empty if the status is 0
 * @param body the complete body; if there is a remainder, the bytes read so far, which the remainder writes as well
 * @param requestWritten whether the last byte of the request was sent; relevant if the status is 0
 * @param remainder null if the response is complete; otherwise the rest of the body, which the owner of this result
 *     must either transfer or cancel
 */
public record HttpResult(int status, HeaderMap headers, byte[] body, boolean requestWritten, BodyRemainder remainder) {

    /** The unread rest of a long response. Exactly one of the methods is called, once. */
    public interface BodyRemainder {

        /** Writes the bytes read so far and forwards the rest as it arrives; the listener is notified of the end. */
        void transferTo(StreamSinkChannel sink, BodyTransfer.Listener listener);

        /** Closes the connection that carries the response. */
        void cancel();
    }

    static HttpResult connectionLost(boolean requestWritten) {
        return new HttpResult(0, new HeaderMap(), HttpCall.NO_BODY, requestWritten, null);
    }
}
