package portrelay.standin;

import java.nio.charset.StandardCharsets;

/**
 * Message bodies that are derived from a request id, so that whoever receives one can tell whose it is and whether it
 * is whole, without having seen the sender.
 */
public final class MessageBody {

    private MessageBody() {}

    /** Returns the body of the given length that belongs to the request. */
    public static byte[] of(String requestId, int length) {
        byte[] pattern = (requestId + "|").getBytes(StandardCharsets.ISO_8859_1);
        byte[] body = new byte[length];
        for (int i = 0; i < length; i++) {
            body[i] = pattern[i % pattern.length];
        }
        return body;
    }

    /** Whether all bytes are those of the request's body; its length is not checked. */
    public static boolean belongsTo(String requestId, byte[] body) {
        byte[] pattern = (requestId + "|").getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < body.length; i++) {
            if (body[i] != pattern[i % pattern.length]) {
                return false;
            }
        }
        return true;
    }
}
