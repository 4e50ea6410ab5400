package portrelay.net.client;

import java.util.EnumMap;
import java.util.Map;
import portrelay.admission.BufferBudget;

/** The bytes that are held in memory for one client connection, by part; counted in the process's budget. */
final class ConnectionBuffers {

    /** What the bytes belong to. */
    enum Part {
        /** The head of a request, from its first bytes until the request is answered. */
        HEAD,
        /** The body of a request that is collected or waits for its response. */
        REQUEST_BODY,
        /** Further requests that the client has sent ahead. */
        PIPELINED,
        /** A response that is not written yet. */
        RESPONSE
    }

    private final BufferBudget budget;
    private final Map<Part, Integer> bytes = new EnumMap<>(Part.class);

    ConnectionBuffers(BufferBudget budget) {
        this.budget = budget;
    }

    /** Returns the number of bytes held for the part. */
    int get(Part part) {
        return bytes.getOrDefault(part, 0);
    }

    /** Records how many bytes are held for the part. */
    void set(Part part, int count) {
        int before = get(part);
        if (count != before) {
            bytes.put(part, count);
            budget.heldChanged(count - before);
        }
    }

    /** Whether the part may grow to so many bytes. */
    boolean hasRoomFor(Part part, int count) {
        return budget.hasRoomFor(count - get(part));
    }

    /** Records that nothing is held any more. */
    void clear() {
        for (Part part : Part.values()) {
            set(part, 0);
        }
    }
}
