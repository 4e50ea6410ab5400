package portrelay.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.xnio.conduits.AbstractStreamSinkConduit;
import org.xnio.conduits.StreamSinkConduit;

/** Counts the bytes that the socket took: whether a call can have run hangs on that, and no library tells. */
final class CountedSink extends AbstractStreamSinkConduit<StreamSinkConduit> {

    private long bytes;

    CountedSink(StreamSinkConduit next) {
        super(next);
    }

    long bytes() {
        return bytes;
    }

    @Override
    public int write(ByteBuffer from) throws IOException {
        int taken = super.write(from);
        bytes += taken;
        return taken;
    }

    @Override
    public long write(ByteBuffer[] from, int offset, int length) throws IOException {
        long taken = super.write(from, offset, length);
        bytes += taken;
        return taken;
    }

    @Override
    public int writeFinal(ByteBuffer from) throws IOException {
        int taken = super.writeFinal(from);
        bytes += taken;
        return taken;
    }

    @Override
    public long writeFinal(ByteBuffer[] from, int offset, int length) throws IOException {
        long taken = super.writeFinal(from, offset, length);
        bytes += taken;
        return taken;
    }
}
