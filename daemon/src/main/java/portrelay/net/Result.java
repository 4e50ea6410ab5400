package portrelay.net;

import io.undertow.util.HeaderMap;

/**
 * How a call ended. Status 0: the connection broke, or what came was no whole answer; then written tells
 * whether the call's last byte had left us.
 */
record Result(int status, HeaderMap headers, byte[] body, boolean written) {

    static Result broken(boolean written) {
        return new Result(0, new HeaderMap(), Call.NO_BODY, written);
    }
}
