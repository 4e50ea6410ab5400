package portrelay.net.discovery;

import java.io.IOException;
import java.nio.ByteBuffer;
import portrelay.settings.InvalidSettingException;

/** Reads the list of one response as its bytes arrive. A failure is kept until the list is asked for. */
final class ListTransfer {

    private final EndpointListReader reader;
    private int bytes;
    private IOException malformed;
    private InvalidSettingException invalid;

    ListTransfer(EndpointListLimit limit) {
        reader = new EndpointListReader("", limit);
    }

    /** Reads the next piece; ignores it after a failure. */
    void receive(ByteBuffer piece) {
        bytes += piece.remaining();
        if (malformed != null || invalid != null) {
            return;
        }
        byte[] copy = new byte[piece.remaining()];
        piece.get(copy);
        try {
            reader.feed(copy, copy.length);
        } catch (IOException e) {
            malformed = e;
        } catch (InvalidSettingException e) {
            invalid = e;
        }
    }

    /** Returns the number of bytes received. */
    int bytes() {
        return bytes;
    }

    /**
     * Returns the list, once all pieces were received.
     *
     * @throws IOException if the bytes are not well-formed JSON, or not all of it
     * @throws InvalidSettingException if a field is missing or invalid; names the field
     */
    EndpointListPage page() throws IOException, InvalidSettingException {
        if (malformed != null) {
            throw malformed;
        }
        if (invalid != null) {
            throw invalid;
        }
        return reader.end();
    }
}
