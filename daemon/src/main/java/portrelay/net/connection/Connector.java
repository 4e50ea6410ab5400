package portrelay.net.connection;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.http.HttpClientProvider;
import io.undertow.conduits.BytesSentStreamSinkConduit;
import io.undertow.connector.ByteBufferPool;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.URI;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.IntConsumer;
import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.XnioExecutor;
import org.xnio.XnioIoThread;
import portrelay.net.eventloop.EventLoop;

/**
 * Opens connections and limits their number. A connection is counted from the start of its connect attempt until the
 * attempt fails or is cancelled, or until the connection closes. At the limit, the connection that has been idle
 * longest is closed to make room for a new one.
 */
public final class Connector {

    /** Undertow's client requires a URI; the actual address is passed to the {@link Opener}. */
    private static final URI PLACEHOLDER_URI = URI.create("http://127.0.0.1:1");

    private static final OptionMap OPTIONS = OptionMap.create(Options.TCP_NODELAY, true);

    /** Opens a socket. The warm-up uses an implementation other than the network. */
    public interface Opener {

        /** Begins to open a connection; {@code opened} is called with the connection once it is open. */
        IoFuture<StreamConnection> open(
                InetSocketAddress address, ChannelListener<? super StreamConnection> opened, OptionMap options);
    }

    private final EventLoop loop;
    private final ByteBufferPool buffers;
    private final HttpClientProvider client = new HttpClientProvider();
    private final CapturingIoThread ioThread;
    private final IntConsumer openCountListener;
    /** Idle connections, the longest idle first. */
    private final Set<HttpConnection> idle = new LinkedHashSet<>();

    private int maxConnections;
    private int openCount;

    /**
     * Creates a connector for TCP connections.
     *
     * @param maxConnections the maximum number of connections that are open or being opened
     * @param openCountListener called with the number of open connections each time a connect attempt begins
     */
    public Connector(EventLoop loop, ByteBufferPool buffers, int maxConnections, IntConsumer openCountListener) {
        this(loop, buffers, maxConnections, openCountListener, loop.thread()::openStreamConnection);
    }

    /** Creates a connector whose connections are opened by {@code opener}. */
    public Connector(
            EventLoop loop, ByteBufferPool buffers, int maxConnections, IntConsumer openCountListener, Opener opener) {
        this.loop = loop;
        this.buffers = buffers;
        this.maxConnections = maxConnections;
        this.openCountListener = openCountListener;
        this.ioThread = new CapturingIoThread(loop.thread(), opener);
    }

    /**
     * Begins a connect attempt. Exactly one of the two callbacks is called, unless the attempt is cancelled first:
     * {@code failed} always after this method has returned, {@code opened} possibly before.
     *
     * @param timeoutSeconds the connect timeout in seconds, or 0 for the kernel's timeout
     */
    public ConnectAttempt connect(
            InetSocketAddress address, double timeoutSeconds, Consumer<HttpConnection> opened, Runnable failed) {
        return new ConnectAttempt(address, timeoutSeconds, opened, failed);
    }

    /** Returns the number of connections that are open or being opened. */
    public int openCount() {
        return openCount;
    }

    /**
     * Sets the limit and closes surplus idle connections. Surplus connections in use stay open, also when they become
     * idle, until their owner closes them or they are closed to make room for a new one.
     */
    public void setMaxConnections(int connections) {
        maxConnections = connections;
        while (openCount > maxConnections && closeLongestIdle()) {
            continue;
        }
    }

    /** Marks the connection as idle; it may now be closed to make room for another. */
    public void markIdle(HttpConnection connection) {
        idle.add(connection);
    }

    /** Marks the connection as in use; it is no longer closed to make room for another. */
    public void markInUse(HttpConnection connection) {
        idle.remove(connection);
    }

    /**
     * Closes the connection that has been idle longest, whichever upstream it leads to: all upstreams share one limit,
     * and idle connections to one must not block connections to others.
     */
    private boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        HttpConnection longestIdle = idle.iterator().next();
        idle.remove(longestIdle);
        longestIdle.close();
        return true;
    }

    /** A connect attempt in progress. */
    public final class ConnectAttempt implements ClientCallback<ClientConnection> {

        private final Consumer<HttpConnection> opened;
        private final Runnable failed;
        /** Null if the attempt failed before the socket was opened. */
        private IoFuture<StreamConnection> connecting;
        /** Null if the attempt has no timeout of its own. */
        private XnioExecutor.Key timeout;

        private boolean isOver;

        private ConnectAttempt(
                InetSocketAddress address, double timeoutSeconds, Consumer<HttpConnection> opened, Runnable failed) {
            this.opened = opened;
            this.failed = failed;
            if (openCount >= maxConnections && !closeLongestIdle()) {
                isOver = true;
                loop.execute(failed);
                return;
            }
            openCount++;
            openCountListener.accept(openCount);
            if (timeoutSeconds > 0) {
                // After a poll: on a late loop, the connection may be open although the loop has not noticed it yet.
                timeout = loop.schedule(timeoutSeconds, () -> loop.afterPoll(() -> failed(null)));
            }
            begin(address);
        }

        private void begin(InetSocketAddress address) {
            ioThread.address = address;
            ioThread.connecting = null;
            try {
                client.connect(this, null, PLACEHOLDER_URI, ioThread, null, buffers, OPTIONS);
            } catch (RuntimeException e) {
                // The attempt could not start and must not remain counted.
                failed(new IOException(e));
            }
            connecting = ioThread.connecting;
            if (isOver && connecting != null) {
                connecting.cancel();
            }
        }

        /** Cancels the attempt; neither callback is called afterwards. */
        public void cancel() {
            if (end()) {
                openCount--;
            }
        }

        @Override
        public void completed(ClientConnection connection) {
            if (isConnectedToItself(ioThread.socket)) {
                IoUtils.safeClose(ioThread.socket);
                failed(null);
                return;
            }
            if (!end()) {
                IoUtils.safeClose(ioThread.socket);
                return;
            }
            HttpConnection http =
                    new HttpConnection(loop, connection, ioThread.socket, ioThread.bytesSent, ioThread.filter);
            http.onClosed(() -> {
                idle.remove(http);
                openCount--;
            });
            opened.accept(http);
        }

        @Override
        public void failed(IOException cause) {
            if (end()) {
                openCount--;
                loop.execute(failed);
            }
        }

        /**
         * Whether both ends are the same socket. TCP allows that: a connect to a port where nobody listens succeeds if
         * the system happens to choose that port for this end. The sidecar would read its own request as the response.
         */
        private static boolean isConnectedToItself(StreamConnection socket) {
            return socket.getPeerAddress() != null && socket.getPeerAddress().equals(socket.getLocalAddress());
        }

        /** Ends the attempt; returns false if it had already ended. */
        private boolean end() {
            if (isOver) {
                return false;
            }
            isOver = true;
            if (timeout != null) {
                timeout.remove();
            }
            if (connecting != null) {
                connecting.cancel();
            }
            return true;
        }
    }

    /**
     * Passed to Undertow's client in place of the I/O thread, to capture objects that the client does not expose: the
     * future of the connect, so that it can be cancelled (otherwise it would hold its descriptor until the kernel's
     * timeout of two minutes), and the socket, so that the bytes written to it can be counted. The fields refer to the
     * connect that was begun or completed last.
     */
    private static final class CapturingIoThread extends XnioIoThread {

        private final XnioIoThread thread;
        private final Opener opener;
        private InetSocketAddress address;
        private IoFuture<StreamConnection> connecting;
        private StreamConnection socket;
        private AtomicLong bytesSent;
        private ResponseFramingFilter filter;

        CapturingIoThread(XnioIoThread thread, Opener opener) {
            super(thread.getWorker(), thread.getNumber());
            this.thread = thread;
            this.opener = opener;
        }

        @Override
        public IoFuture<StreamConnection> openStreamConnection(
                SocketAddress unused, ChannelListener<? super StreamConnection> listener, OptionMap options) {
            connecting = opener.open(
                    address,
                    opened -> {
                        capture(opened);
                        listener.handleEvent(opened);
                    },
                    options);
            return connecting;
        }

        private void capture(StreamConnection opened) {
            socket = opened;
            bytesSent = new AtomicLong();
            filter = new ResponseFramingFilter(opened.getSourceChannel().getConduit());
            opened.getSourceChannel().setConduit(filter);
            opened.getSinkChannel()
                    .setConduit(new BytesSentStreamSinkConduit(
                            opened.getSinkChannel().getConduit(), bytesSent::addAndGet));
        }

        @Override
        public void execute(Runnable command) {
            thread.execute(command);
        }

        @Override
        public Key executeAfter(Runnable command, long time, TimeUnit unit) {
            return thread.executeAfter(command, time, unit);
        }

        @Override
        public Key executeAtInterval(Runnable command, long time, TimeUnit unit) {
            return thread.executeAtInterval(command, time, unit);
        }
    }
}
