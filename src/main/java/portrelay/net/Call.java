package portrelay.net;

import io.undertow.util.HeaderMap;
import io.undertow.util.HttpString;

/** What is written to an upstream or to discovery. Target is the raw path and query. */
record Call(HttpString method, String target, HeaderMap headers, byte[] body) {

    static final byte[] NO_BODY = new byte[0];
}
