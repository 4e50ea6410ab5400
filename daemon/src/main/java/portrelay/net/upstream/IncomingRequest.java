package portrelay.net.upstream;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import portrelay.model.RequestArrival;
import portrelay.net.connection.HttpResult;
import portrelay.net.connection.RequestBody;

/**
 * A request as received from a client: the properties used for decisions, and the parts that are forwarded unchanged.
 *
 * @param target the request target exactly as in the request line
 * @param body the complete body; empty if the body is streamed
 * @param requestBody the streamed body, which can be sent only once; null if {@code body} is the complete body
 */
public record IncomingRequest(
        RequestArrival arrival,
        HttpString method,
        String target,
        HeaderMap headers,
        byte[] body,
        RequestBody requestBody,
        Responder responder) {

    /** Returns a copy of this request that is answered through another responder. */
    public IncomingRequest withResponder(Responder other) {
        return new IncomingRequest(arrival, method, target, headers, body, requestBody, other);
    }

    /** Answers a request to its client. At most one of the answering methods is called, at most once. */
    public interface Responder {

        /**
         * Returns whether no answer is needed any longer, as it was given or the client has left. Checks whether the
         * client has closed the connection, and if so reports that the client has left.
         */
        boolean isOver();

        /** Forwards the upstream's response to the client. */
        void served(HttpResult result);

        /**
         * Rejects the request. The response states that a retry is safe.
         *
         * @param retryAfterSeconds the advised delay of a retry; 0 for no advice
         */
        void rejected(double retryAfterSeconds);

        /** Fails the request. The response does not state whether a retry is safe. */
        void failed();
    }
}
