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
 * @param body the complete body; empty if {@code streamedBody} is given
 * @param lastByteSent whether the upstream may have the last byte of the request; relevant if the status is 0
 * @param streamedBody a long body that is not complete yet, which the owner of this result must either transfer or
 *     cancel; null if {@code body} is the complete body
 */
public record HttpResult(int status, HeaderMap headers, byte[] body, boolean lastByteSent, StreamedBody streamedBody) {

    /** The body of a long response, from its first byte. Exactly one of the methods is called, once. */
    public interface StreamedBody {

        /** Writes the bytes read so far and forwards the rest as it arrives; the listener is notified of the end. */
        void transferTo(StreamSinkChannel sink, BodyTransfer.Listener listener);

        /** Closes the connection that carries the response. */
        void cancel();
    }

    static HttpResult connectionLost(boolean lastByteSent) {
        return new HttpResult(0, new HeaderMap(), HttpCall.NO_BODY, lastByteSent, null);
    }
}
