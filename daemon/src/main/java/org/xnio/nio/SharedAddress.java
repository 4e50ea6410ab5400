package org.xnio.nio;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.channels.ServerSocketChannel;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioWorker;
import org.xnio.channels.AcceptingChannel;

/**
 * A server at an address that a process can share with its successor (SO_REUSEPORT). In XNIO's package, as XNIO 3.8 has
 * no option for that and binds in the same step as it opens: this does the step with the option set and hands the
 * channel to XNIO's own server. docs/design/operations.md, "Replacing the process".
 */
public final class SharedAddress {

    private SharedAddress() {}

    /** Accepts on the I/O threads, once it is resumed; accept returns null elsewhere. */
    public static AcceptingChannel<StreamConnection> listen(
            XnioWorker worker,
            InetSocketAddress at,
            int backlog,
            ChannelListener<AcceptingChannel<StreamConnection>> accept,
            OptionMap options)
            throws IOException {
        ServerSocketChannel channel = ServerSocketChannel.open();
        boolean well = false;
        try {
            channel.configureBlocking(false);
            channel.setOption(StandardSocketOptions.SO_REUSEADDR, true);
            channel.setOption(StandardSocketOptions.SO_REUSEPORT, true);
            channel.bind(at, backlog);
            NioTcpServer server = new NioTcpServer((NioXnioWorker) worker, channel, options, false);
            server.setAcceptListener(accept);
            well = true;
            return server;
        } finally {
            if (!well) {
                IoUtils.safeClose(channel);
            }
        }
    }
}
