package portrelay.net.http;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Collects the head of one request after the other from bytes that a {@link Framing} has accepted. Holds no more than
 * one head, so that its size does not depend on the number of requests that a client pipelines.
 */
public final class RequestHeadReader {

    /** The part of the current line that was read so far. */
    private final StringBuilder line = new StringBuilder();

    private final HeadFields fields = new HeadFields();
    /** The complete lines of the head, the request line first. */
    private final List<String> lines = new ArrayList<>();

    private boolean isComplete;
    /** The complete head that was not taken; null if there is none or it is ambiguous. */
    private RequestHead head;

    /** Begins the next request; drops what is held of the one before. */
    public void startRequest() {
        line.setLength(0);
        lines.clear();
        fields.clear();
        isComplete = false;
        head = null;
    }

    /** Reads further bytes of the request, up to the end of its head; their position is not changed. */
    public void read(ByteBuffer bytes) {
        for (int i = bytes.position(); i < bytes.limit() && !isComplete; i++) {
            char character = (char) (bytes.get(i) & 0xff);
            if (character == '\n') {
                endLine();
            } else {
                line.append(character);
            }
        }
    }

    /**
     * Returns the complete head, once.
     *
     * @return null if the head is incomplete, was taken, or has lines that can be interpreted in more than one way
     */
    public RequestHead takeHead() {
        RequestHead taken = head;
        head = null;
        return taken;
    }

    private void endLine() {
        int last = line.length() - 1;
        boolean hasCarriageReturn = last >= 0 && line.charAt(last) == '\r';
        String text = line.substring(0, hasCarriageReturn ? last : last + 1);
        line.setLength(0);
        if (!text.isEmpty()) {
            addLine(text);
        } else if (!lines.isEmpty()) {
            endHead();
        }
    }

    private void addLine(String text) {
        boolean isRequestLine = lines.isEmpty();
        if (isRequestLine || fields.add(text)) {
            lines.add(text);
        }
    }

    private void endHead() {
        isComplete = true;
        if (!fields.isAmbiguous()) {
            head = RequestHead.of(lines.get(0), lines.subList(1, lines.size()));
        }
        lines.clear();
    }
}
