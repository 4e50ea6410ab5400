package portrelay.net.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/** A conduit that checks or changes the bytes that are read; a subclass implements the read into a single buffer. */
public abstract class ReadFilter extends AbstractStreamSourceConduit<StreamSourceConduit> {

    /** Creates a filter that reads from {@code next}. */
    protected ReadFilter(StreamSourceConduit next) {
        super(next);
    }

    @Override
    public abstract int read(ByteBuffer target) throws IOException;

    @Override
    public final long read(ByteBuffer[] targets, int offset, int count) throws IOException {
        for (int i = offset; i < offset + count; i++) {
            if (targets[i].hasRemaining()) {
                return read(targets[i]);
            }
        }
        return 0;
    }
}
