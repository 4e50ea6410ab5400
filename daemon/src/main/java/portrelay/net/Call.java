package portrelay.net;

import io.undertow.client.ClientRequest;
import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;
import io.undertow.util.Protocols;

/** What is written to an upstream or to discovery. */
record Call(ClientRequest head, byte[] body) {

    static final byte[] NO_BODY = new byte[0];
    /** The protocol's limit, which clients keep. */
    static final int LONGEST_BODY = 64 * 1024;
    /** Upstreams were seen to answer soundly with six times the protocol's limit. */
    static final int LONGEST_ANSWER = 1024 * 1024;

    /** Target is the raw path and query. */
    static Call of(HttpString method, String target, byte[] body) {
        return new Call(new ClientRequest().setMethod(method).setPath(target).setProtocol(Protocols.HTTP_1_1),
                body);
    }

    HeaderMap headers() {
        return head.getRequestHeaders();
    }
}
