package portrelay.net.lifecycle;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.xnio.ChannelListener;
import org.xnio.ChannelPipe;
import org.xnio.FailedIoFuture;
import org.xnio.FinishedIoFuture;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import portrelay.net.connection.Connector;
import portrelay.net.eventloop.EventLoop;

/** Connects to a server in this process over a pipe instead of a socket. Runs on the event loop. */
final class InProcessOpener implements Connector.Opener {

    private final EventLoop loop;
    private final Consumer<StreamConnection> server;

    /** @param server called with its end of each connection before the caller gets the other end */
    InProcessOpener(EventLoop loop, Consumer<StreamConnection> server) {
        this.loop = loop;
        this.server = server;
    }

    @Override
    public IoFuture<StreamConnection> open(
            InetSocketAddress unused, ChannelListener<? super StreamConnection> opened, OptionMap options) {
        try {
            ChannelPipe<StreamConnection, StreamConnection> pipe = loop.thread().createFullDuplexPipeConnection();
            server.accept(pipe.getLeftSide());
            loop.execute(() -> opened.handleEvent(pipe.getRightSide()));
            return new FinishedIoFuture<>(pipe.getRightSide());
        } catch (IOException e) {
            return new FailedIoFuture<>(e);
        }
    }
}
