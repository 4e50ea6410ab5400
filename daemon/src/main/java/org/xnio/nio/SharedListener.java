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
 * A listener at an address that a process can share with its successor (SO_REUSEPORT). In XNIO's package because XNIO
 * 3.8 has no such option and opens and binds in one step: this opens, sets the option, binds, and gives the channel to
 * XNIO's own package-private server. See docs/design/operations.md, "Replacing the process".
 *
 * <p>It closes in two steps. The kernel resets a connection that comes between the last accept and the close, so what
 * takes time is done before the last accept: XNIO's own close asks the selector first, and the kernel closes a channel
 * only once no selector has it. For a worker with one I/O thread, on which all methods but {@link #listen} are called.
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
     * Returns a listener that accepts on the I/O thread once it is resumed; its {@code accept} returns null on others.
     *
     * @param backlog connections that the kernel keeps until they are accepted
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
     * Opens a listener at a free port of loopback, and closes it as {@link #close} does. A process closes its listener
     * once, at the moment at which cold code costs connections.
     *
     * @throws IOException where it can't be opened
     */
    public static void warmUp(XnioWorker worker) throws IOException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        SharedListener listener = listen(worker, anyPort, WARM_UP_BACKLOG, ignored -> {}, OptionMap.EMPTY);
        listener.socket().resumeAccepts();
        listener.stopPolling();
        listener.socket().accept();
        listener.close();
    }

    /** The socket as XNIO has it. */
    public AcceptingChannel<StreamConnection> socket() {
        return server;
    }

    /** From here on connections are accepted by {@code accept} alone; what comes waits in the kernel. */
    public void stopPolling() {
        SelectionKey key = channel.keyFor(thread.getSelector());
        if (key != null) {
            thread.cancelKey(key, false);
        }
    }

    /** Closes it; after {@link #stopPolling} the kernel does so within this call's first step. */
    public void close() {
        IoUtils.safeClose(channel);
        IoUtils.safeClose(server);
    }
}
