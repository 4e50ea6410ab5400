package portrelay.net;

import io.undertow.io.IoCallback;
import io.undertow.io.Sender;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.StreamConnection;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Ends a connection with its answer. Where the other side may still be sending, what comes is read for a moment and
 * thrown away: a close on unread bytes is a reset, which can overtake the answer.
 */
final class Lingering implements IoCallback {

    private static final double LINGER = 0.5;
    private static final int MOST_READS = 64;

    private final Loop loop;
    private final Clients clients;
    private final boolean always;

    /** Always: also where the request came whole, as more may lie behind it. */
    Lingering(Loop loop, Clients clients, boolean always) {
        this.loop = loop;
        this.clients = clients;
        this.always = always;
    }

    @Override
    public void onComplete(HttpServerExchange exchange, Sender sender) {
        HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
        if (exchange.isRequestComplete() && !always) {
            close(connection);
            return;
        }
        StreamConnection socket = connection.getChannel();
        loop.after(LINGER, () -> close(connection));
        try {
            socket.getSinkChannel().shutdownWrites();
            socket.getSinkChannel().flush();
        } catch (IOException e) {
            close(connection);
            return;
        }
        ConduitStreamSourceChannel source = socket.getSourceChannel();
        source.setConduit(connection.getOriginalSourceConduit());
        ByteBuffer unread = ByteBuffer.allocate(4 * 1024);
        source.setReadListener(from -> discard(connection, from, unread));
        source.resumeReads();
    }

    private void discard(HttpServerConnection connection, ConduitStreamSourceChannel from, ByteBuffer unread) {
        try {
            int count = 1;
            for (int i = 0; i < MOST_READS && count > 0; i++) {
                count = from.read(unread.clear());
            }
            if (count < 0) {
                close(connection);
            }
        } catch (IOException e) {
            close(connection);
        }
    }

    private void close(HttpServerConnection connection) {
        clients.close(connection, OpenRequest.EndCause.LINGER_OVER);
    }

    @Override
    public void onException(HttpServerExchange exchange, Sender sender, IOException cause) {
        close((HttpServerConnection) exchange.getConnection());
    }
}
