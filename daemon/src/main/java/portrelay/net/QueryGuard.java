package portrelay.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.StreamSourceConduit;

/** Lets through what a client sends up to where it stops making sense; from there on reading it fails. */
final class QueryGuard extends Guard {

    private final Framing framing = Framing.ofQueries();

    private final Runnable heard;

    /** Heard is called whenever bytes have come. */
    QueryGuard(StreamSourceConduit next, Runnable heard) {
        super(next);
        this.heard = heard;
    }

    @Override
    public int read(ByteBuffer to) throws IOException {
        if (framing.broken()) {
            throw new IOException("broken framing");
        }
        int from = to.position();
        int count = next.read(to);
        if (count <= 0) {
            return count;
        }
        heard.run();
        ByteBuffer bytes = to.duplicate();
        bytes.flip().position(from);
        while (bytes.hasRemaining() && !framing.broken()) {
            framing.follow(bytes);
        }
        to.position(bytes.position());
        if (bytes.position() == from) {
            throw new IOException("broken framing");
        }
        return bytes.position() - from;
    }
}
