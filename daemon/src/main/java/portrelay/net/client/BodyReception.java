package portrelay.net.client;

/** The progress of a request body on its way from the client, up to the reader of the connection. */
interface BodyReception {

    /** The value of a number of bytes that is not known. */
    long UNKNOWN = -1;

    /** Returns the number of bytes that have been read from the connection, of all requests. */
    long bytesRead();

    /** Returns the number of bytes that have been received and are not read yet, or {@link #UNKNOWN}. */
    long bytesUnread();

    /** Returns the number of bytes of the body that have not been read, or {@link #UNKNOWN} for a chunked one. */
    long bodyBytesLeft();

    /** Returns when the last byte of the body was read; NaN while it has not been read. */
    double completedAt();

    /** Whether bytes are read as soon as they are received. */
    boolean isReading();

    /**
     * Whether so much has been received and not read that the kernel may keep the client from sending more. What the
     * client writes then waits in the buffer of its own side.
     */
    boolean isBackedUp();
}
