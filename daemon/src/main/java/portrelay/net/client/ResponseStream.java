package portrelay.net.client;

import io.undertow.server.protocol.http.HttpServerConnection;
import java.io.IOException;
import java.util.function.LongSupplier;
import org.xnio.Options;
import portrelay.admission.ConnectionCapacity;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.http.BodyTransfer;

/** Follows a streamed response: keeps the connection's phase up to date, and closes the connection on a failure. */
final class ResponseStream implements BodyTransfer.Listener {

    /** Minimum interval at which progress renews the phase, in seconds, so that not every piece does. */
    private static final double RENEW_PHASE_SECONDS = 0.25;

    private final EventLoop loop;
    private final Log log;
    private final ClientConnections connections;
    private final HttpServerConnection connection;
    private final LongSupplier bytesWritten;

    /** Whether the response waits for the client to read, rather than for the upstream to send. */
    private boolean waitsForClient = true;

    private double phaseRenewedAt;
    /**
     * Whether only the end of the connection delimits the body, and the connection is reset until the body is complete.
     */
    private boolean resetsOnEarlyClose;

    /** @param bytesWritten returns the number of bytes of the response's body that have been written */
    ResponseStream(
            EventLoop loop,
            Log log,
            ClientConnections connections,
            HttpServerConnection connection,
            LongSupplier bytesWritten) {
        this.loop = loop;
        this.log = log;
        this.connections = connections;
        this.connection = connection;
        this.bytesWritten = bytesWritten;
    }

    /**
     * Makes every close of the connection a reset until the body is complete, including the close by the kernel at the
     * end of the process. Called before the transfer starts, for a body that only the end of the connection delimits:
     * the client would take any other end for the end of the body.
     */
    void resetOnEarlyClose() {
        resetsOnEarlyClose = true;
        setResetOnClose(true);
    }

    /** False once the connection was closed, which does not wake up a transfer that waits for the client. */
    @Override
    public boolean isSinkConnected() {
        return connection.isOpen();
    }

    /** From here on, all bytes are written, and a reset would destroy those that the client has not read yet. */
    @Override
    public boolean mayComplete() {
        if (resetsOnEarlyClose) {
            setResetOnClose(false);
        }
        return true;
    }

    /** Renews the phase: a client that reads, however slowly, must not be evicted as one that does not. */
    @Override
    public void transferred() {
        connections.responseBytesSent(connection);
        if (waitsForClient && loop.now() > phaseRenewedAt + RENEW_PHASE_SECONDS) {
            phaseRenewedAt = loop.now();
            connections.awaitsReader(connection, bytesWritten.getAsLong());
        }
    }

    /**
     * Sets the phase so that a client may be evicted only while it does not read. The time limits for the upstream are
     * applied by the {@link BodyTransfer}.
     */
    @Override
    public void waitingFor(BodyTransfer.Side side) {
        boolean isSink = side == BodyTransfer.Side.SINK;
        if (isSink != waitsForClient) {
            waitsForClient = isSink;
            phaseRenewedAt = loop.now();
            if (isSink) {
                connections.awaitsReader(connection, bytesWritten.getAsLong());
            } else {
                connections.phaseChanged(connection, ConnectionCapacity.Phase.ASKED);
            }
        }
    }

    @Override
    public void completed() {
        // The exchange has ended with its last byte.
    }

    /** Closes with a reset, so that the client sees at once that the body is incomplete. */
    @Override
    public void sourceFailed() {
        setResetOnClose(true);
        connections.close(connection, RequestProgress.EndCause.UPSTREAM_BROKE_OFF);
    }

    @Override
    public void sinkFailed() {
        connections.close(connection, RequestProgress.EndCause.CLIENT_UNREADING);
    }

    private void setResetOnClose(boolean isReset) {
        try {
            connection.getChannel().setOption(Options.CLOSE_ABORT, isReset);
        } catch (IOException | IllegalArgumentException e) {
            log.warn("end of a response not set: reset=" + isReset + " cause=" + e.getMessage());
        }
    }
}
