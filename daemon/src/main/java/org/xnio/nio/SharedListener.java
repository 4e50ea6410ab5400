package org.xnio.nio;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.SelectionKey;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A listening socket whose address a process can share with its successor (SO_REUSEPORT). XNIO 3.8 has no such option
 * and opens and binds in one step. This class is in XNIO's package because it opens the channel, sets the option,
 * binds, and then passes the channel to XNIO's package-private server. See docs/design/operations.md, "Replacing the
 * process".
 *
 * <p>The listener closes in two steps. The kernel resets a connection that arrives between the last accept and the
 * close, so slow steps are done before the last accept: XNIO's own close involves the selector first, and the kernel
 * closes a channel only once it is registered with no selector. Requires a worker with one I/O thread, on which all
 * methods except {@link #listen} are called.
 */
public final class SharedListener {

    private static final int WARM_UP_BACKLOG = 1;

    private final WorkerThread thread;
    private final ServerSocketChannel channel;
    private final NioTcpServer server;

    private SharedListener(WorkerThread thread, ServerSocketChannel channel, NioTcpServer server) {
        this.thread = thread;
        this.channel = channel;
        this.server = server;
    }

    /**
     * Returns a listener that accepts on the I/O thread once it is resumed; on other threads, {@code accept} returns
     * null.
     *
     * @param backlog the maximum number of connections that the kernel queues until they are accepted
     */
    public static SharedListener listen(
            XnioWorker worker,
            InetSocketAddress address,
            int backlog,
            ChannelListener<AcceptingChannel<StreamConnection>> acceptListener,
            OptionMap options)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        boolean isListening = false;
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            channel.bind(address, backlog);
            NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, channel, options, false);
            server.setAcceptListener(acceptListener);
            isListening = true;
            return new SharedListener((WorkerThread) worker.getIoThread(), channel, server);
        } finally {
            if (!isListening) {
                IoUtils.safeClose(channel);
            }
        }
    }

    /**
     * Warms up the code that closes a listener: opens a listener on a free loopback port and closes it in the same two
     * steps. A process closes its listener only once, at a moment when code that is not yet compiled costs connections.
     *
     * @throws IOException if the listener can't be opened
     */
    public static void warmUp(XnioWorker worker) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        SharedListener listener = listen(worker, anyPort, WARM_UP_BACKLOG, ignored -> {}, OptionMap.EMPTY);
        listener.socket().resumeAccepts();
        listener.stopPolling();
        listener.socket().accept();
        listener.close();
    }

    /** Returns the socket as an XNIO channel. */
    public AcceptingChannel<StreamConnection> socket() {
        return server;
    }

    /** Stops polling: connections are then accepted only by explicit {@code accept} calls, and queue in the kernel. */
    public void stopPolling() {
        SelectionKey key = channel.keyFor(thread.getSelector());
        if (key != null) {
            thread.cancelKey(key, false);
        }
    }

    /** Closes the listener; after {@link #stopPolling}, the kernel closes the socket in the first step of this call. */
    public void close() {
        IoUtils.safeClose(channel);
        IoUtils.safeClose(server);
    }
}
