package portrelay.net.client;

/** Thrown for bytes or fields that are not a valid request. The message is the body of the response to the client. */
final class MalformedRequestException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;

    /** Creates the exception without a stack trace, as the fault lies in the input and not in this program. */
    MalformedRequestException(int status, String message) {
        super(message, null, false, false);
        this.status = status;
    }

    /** Returns the HTTP status of the response. */
    int status() {
        return status;
    }
}
