package portrelay.standin;

import java.io.IOException;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import portrelay.standin.ExchangeScript.Trouble;
import portrelay.standin.UpstreamFleet.Arrival;
import portrelay.standin.UpstreamFleet.Malformed;
import portrelay.standin.UpstreamFleet.Unfinished;

/** One connection that an upstream of {@link UpstreamFleet} accepted; used by the upstreams' thread alone. */
final class UpstreamConnection {

    private static final double CLOSE_IDLE_DELAY_SECONDS = 0.05;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final UpstreamFleet fleet;

    private final int upstream;
    private final SocketChannel channel;
    private final RequestParser parser = new RequestParser();
    private SelectionKey key;
    private ByteBuffer unwritten = ByteBuffer.allocate(0);
    private boolean closesOnceWritten;
    private long requestBeganAt;
    private long requestBeganAfter;
    /** A time at which the connection had not arrived yet. */
    private final long acceptedAfter;

    private boolean isFirstRead = true;

    UpstreamConnection(UpstreamFleet fleet, int upstream, SocketChannel channel) {
        this.fleet = fleet;
        this.upstream = upstream;
        this.channel = channel;
        acceptedAfter = fleet.polledBeforeAt();
    }

    /** Sets the key by which the connection is registered with the selector. */
    void setKey(SelectionKey key) {
        this.key = key;
    }

    void read() {
        try {
            int count = channel.read(fleet.readBuffer().clear());
            if (count < 0) {
                ended();
                return;
            }
            if (parser.unparsedBytes() == 0) {
                requestBeganAt = System.nanoTime();
                // What came with the connection may have waited until it was accepted.
                requestBeganAfter = isFirstRead ? acceptedAfter : fleet.polledBeforeAt();
            }
            isFirstRead = false;
            parser.add(fleet.readBuffer().flip());
            for (RequestParser.Request request = parser.next(); request != null; request = parser.next()) {
                arrived(request);
            }
        } catch (IOException e) {
            ended();
        } catch (IllegalArgumentException e) {
            fleet.record(new Malformed(upstream, parser.unparsedText()));
            close();
        }
    }

    /** Records what has arrived of an unfinished request, and closes the connection. */
    private void ended() {
        if (parser.unparsedBytes() > 0) {
            fleet.record(new Unfinished(upstream, parser.unparsedText()));
        }
        close();
    }

    private void arrived(RequestParser.Request request) {
        String id = request.headers().get("x-trace-id");
        fleet.record(new Arrival(
                upstream,
                id,
                request.firstLine(),
                request.body().length,
                MessageBody.belongsTo(String.valueOf(id), request.body()),
                request.headers().get("idempotency-key"),
                toldSeconds(request),
                requestBeganAt,
                requestBeganAfter));
        requestBeganAfter = fleet.polledBeforeAt();
        Trouble trouble = fleet.script().drawTrouble(fleet.troubledShare());
        if (trouble == Trouble.HANG) {
            return;
        }
        double delay = fleet.script().drawDelaySeconds();
        int length = fleet.script().drawAnswerBytes();
        fleet.schedule(delay, () -> answer(String.valueOf(id), length, trouble));
    }

    private static double toldSeconds(RequestParser.Request request) {
        String millis = request.headers().get("x-expires-in-ms");
        return millis == null ? Double.NaN : Long.parseLong(millis) / MILLIS_PER_SECOND;
    }

    private void answer(String id, int length, Trouble trouble) {
        if (trouble == Trouble.RESET) {
            reset();
            return;
        }
        byte[] head =
                ("HTTP/1.1 200 OK\r\nContent-Length: " + length + "\r\n\r\n").getBytes(StandardCharsets.ISO_8859_1);
        closesOnceWritten = trouble == Trouble.CUT_SHORT;
        int written = closesOnceWritten ? length / 2 : length;
        ByteBuffer answer = ByteBuffer.allocate(unwritten.remaining() + head.length + written);
        answer.put(unwritten).put(head).put(MessageBody.of(id, length), 0, written);
        unwritten = answer.flip();
        write();
        if (trouble == Trouble.CLOSE_IDLE) {
            fleet.schedule(CLOSE_IDLE_DELAY_SECONDS, this::close);
        }
    }

    void write() {
        if (!channel.isOpen()) {
            return;
        }
        try {
            channel.write(unwritten);
            if (!unwritten.hasRemaining() && closesOnceWritten) {
                close();
            } else {
                key.interestOps(SelectionKey.OP_READ | (unwritten.hasRemaining() ? SelectionKey.OP_WRITE : 0));
            }
        } catch (IOException e) {
            close();
        }
    }

    void reset() {
        try {
            if (channel.isOpen()) {
                channel.setOption(StandardSocketOptions.SO_LINGER, 0);
            }
        } catch (IOException e) {
            // The other side has closed it.
        }
        close();
    }

    void close() {
        try {
            channel.close();
        } catch (IOException e) {
            // The other side has closed it.
        }
    }
}
