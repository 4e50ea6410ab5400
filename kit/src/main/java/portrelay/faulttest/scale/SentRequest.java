package portrelay.faulttest.scale;

/**
 * A request that a client has sent, or begun to send, and how it ended for the client.
 *
 * @param id the request id, which no other request has
 * @param line the method, the target and the version
 * @param bodyBytes the length of the body, which belongs to the id
 * @param requestClass the class of the request
 * @param deadlineSeconds how long the client waits for the answer
 * @param clientPort the port of the client's end of the connection
 * @param sentAt when its last byte was written
 * @param endedAt when the last byte of the answer arrived, or when the client gave up or left
 * @param end how it ended
 */
record SentRequest(
        String id,
        String line,
        int bodyBytes,
        RequestKind requestClass,
        double deadlineSeconds,
        int clientPort,
        long sentAt,
        long endedAt,
        End end) {

    /** The request classes, with the effect of a repeated execution. */
    enum RequestKind {
        READ,
        SAVE,
        ISSUE
    }

    /** How a request ended. */
    enum End {
        /** Status 200 with the body that belongs to the id. */
        SERVED,
        /** Status 200 with another body. */
        WRONG_ANSWER,
        /** Status 429 or 503. */
        REJECTED,
        /** Any other status. */
        FAILED,
        /** The connection ended within the answer, which the client can tell. */
        CUT_SHORT,
        /** The connection ended before the request was written completely. */
        NOT_WRITTEN,
        /** The connection ended without an answer, as it may for a request that was not read. */
        CLOSED,
        /** No answer until the client gave up. */
        SILENT,
        /** The client closed its connection before it had an answer. */
        LEFT,
        /** The client closed its connection before it had written the whole request. */
        LEFT_UNFINISHED
    }

    /** Whether the request has a final answer, whichever it is. */
    boolean isAnswered() {
        return switch (end) {
            case SERVED, WRONG_ANSWER, REJECTED, FAILED, CUT_SHORT -> true;
            case NOT_WRITTEN, CLOSED, SILENT, LEFT, LEFT_UNFINISHED -> false;
        };
    }

    /** Returns the idempotency key; null for a class that has none. */
    String key() {
        return requestClass == RequestKind.SAVE ? id : null;
    }

    double secondsToEnd() {
        return (endedAt - sentAt) / 1e9;
    }
}
