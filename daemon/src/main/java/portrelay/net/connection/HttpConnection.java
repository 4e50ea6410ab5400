package portrelay.net.connection;

import io.undertow.client.ClientConnection;
import io.undertow.client.ClientRequest;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import portrelay.net.eventloop.EventLoop;
import portrelay.policy.ResponseHold;

/**
 * An open connection, and the owner of its socket. Carries one {@link HttpExchange} at a time. It is closed if a
 * response is complete before its request is written, or if further bytes follow the response.
 */
public final class HttpConnection {

    private final EventLoop loop;
    private final ClientConnection connection;
    private final StreamConnection socket;
    /** The number of bytes written to the socket, counted below Undertow. */
    private final AtomicLong bytesSent;

    private final ResponseFramingFilter filter;
    /** Null while the connection is idle or closed. */
    private HttpExchange current;
    /** Called at the end of a streamed response; null if none is set. */
    private Runnable reusableListener;

    HttpConnection(
            EventLoop loop,
            ClientConnection connection,
            StreamConnection socket,
            AtomicLong bytesSent,
            ResponseFramingFilter filter) {
        this.loop = loop;
        this.connection = connection;
        this.socket = socket;
        this.bytesSent = bytesSent;
        this.filter = filter;
        connection.addCloseListener(closed -> {
            if (current != null) {
                current.connectionClosed();
            }
        });
    }

    /** Whether the connection is open and carries no exchange. */
    public boolean isUsable() {
        return connection.isOpen() && current == null;
    }

    /** Returns the address of the other end; null for a connection inside the process. */
    public SocketAddress peerAddress() {
        return socket.getPeerAddress();
    }

    /**
     * Whether the connection is usable and nothing was received since the last exchange; such bytes would be taken for
     * the next response. Reads from the socket to find out, and closes the connection if bytes were received or the
     * upstream has ended the connection.
     */
    public boolean verifyIdle() {
        if (!isUsable()) {
            return false;
        }
        try {
            if (socket.getSourceChannel().read(ByteBuffer.allocate(1)) == 0) {
                return true;
            }
        } catch (IOException e) {
            // Unexpected bytes or a broken connection: not usable either way.
        }
        close();
        return false;
    }

    /**
     * Whether the upstream may have the last byte of the current request. Also true if that is unknown because there is
     * no current exchange, as after its end.
     */
    public boolean isLastByteSent() {
        return current == null || current.isLastByteSent();
    }

    /** Sets a listener that is called once, when a streamed response is complete and the connection is reusable. */
    public void onReusable(Runnable listener) {
        reusableListener = listener;
    }

    /** Adds a listener that is called when the connection closes, whichever side closes it. */
    public void onClosed(Runnable listener) {
        connection.addCloseListener(closed -> listener.run());
    }

    /**
     * Sends a request on an idle connection. A response body of more than {@code maxBody} bytes counts as a lost
     * connection.
     *
     * @param done called once, on the loop; possibly before this method returns
     */
    public void exchange(HttpCall call, int maxBody, Consumer<HttpResult> done) {
        exchange(new HttpExchange(this, call, maxBody, HttpExchange.NEVER_STREAMED, null, done));
    }

    /**
     * Sends a request on an idle connection, as {@link #exchange(HttpCall, int, Consumer)} does, and passes the body of
     * a response with status 200 on as it arrives; the result then has no body.
     *
     * @param pieces called with each piece of the body, on the loop; a piece is valid during the call only
     */
    public void exchange(HttpCall call, int maxBody, Consumer<ByteBuffer> pieces, Consumer<HttpResult> done) {
        exchange(new HttpExchange(this, call, maxBody, HttpExchange.NEVER_STREAMED, pieces, done));
    }

    /**
     * Sends a request on an idle connection, and streams a long response: {@code done} is called before its body is
     * complete, as {@link ResponseHold} decides.
     *
     * @param deadline the deadline of the request, in seconds on the loop's clock
     * @param done called once, on the loop; possibly before this method returns
     */
    public void beginExchange(HttpCall call, double deadline, Consumer<HttpResult> done) {
        exchange(new HttpExchange(this, call, HttpCall.MAX_BUFFERED_BODY, deadline, null, done));
    }

    private void exchange(HttpExchange exchange) {
        current = exchange;
        filter.expectResponse();
        exchange.start();
    }

    /**
     * Closes the socket directly, because a shutdown by Undertow waits for the other side to close too, and an
     * unresponsive one never does. The current exchange ends without a callback.
     */
    public void close() {
        current = null;
        IoUtils.safeClose(socket);
    }

    // ---- Called by the exchange -------------------------------------------------------------------------

    EventLoop loop() {
        return loop;
    }

    ByteBufferPool bufferPool() {
        return connection.getBufferPool();
    }

    long bytesSent() {
        return bytesSent.get();
    }

    boolean isSocketOpen() {
        return socket.isOpen();
    }

    void sendRequest(ClientRequest head, HttpExchange callback) {
        connection.sendRequest(head, callback);
    }

    boolean isCurrent(HttpExchange exchange) {
        return current == exchange;
    }

    /** Whether the response is complete by its own framing, or is delimited by the end of the connection. */
    boolean isResponseComplete() {
        return filter.isResponseComplete();
    }

    /** Ends the current exchange; closes the connection if request bytes are unwritten or received bytes are unread. */
    void exchangeCompleted() {
        boolean isReusable = (current == null || current.isRequestWritten()) && filter.hasNothingUnread();
        current = null;
        if (!isReusable) {
            close();
        }
    }

    /** Notifies the listener that a streamed response is complete, if the connection is reusable. */
    void streamCompleted() {
        if (isUsable() && reusableListener != null) {
            reusableListener.run();
        }
    }
}
