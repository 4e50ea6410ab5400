package portrelay.net.handover;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;
import portrelay.model.UpstreamId;
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.discovery.EndpointListPage;
import portrelay.net.discovery.EndpointListSnapshot;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.MonotonicClock;

/** Tests what one process leaves for the next. */
class HandoverServiceTest {

    private static final EndpointListLimit LIMIT = new EndpointListLimit(Long.MAX_VALUE, 1);
    private static final HandoverState.Owner OWNER = new HandoverState.Owner("n0", "127.0.0.1:1", Set.of("read"));

    @TempDir
    private Path directory;

    /** Guards against operators' calls that are answered 404 after two restarts without an answer of discovery. */
    @Test
    void idsOfAProcessThatHasEndedPassThroughOneThatHadNoList() throws Exception {
        UpstreamId id = new UpstreamId(7);
        Log log = new Log(new PrintStream(OutputStream.nullOutputStream()), "t");
        HandoverDirectory first = new HandoverDirectory(directory, "n0", LIMIT, log);
        HandoverState state = new HandoverState(OWNER);
        state.endpointList = EndpointListSnapshot.of(EndpointListPage.NONE, List.of(id));
        first.write(state);
        long firstNumber = first.ownNumber();
        first.releaseLock();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        try {
            EventLoop loop = new EventLoop(worker.getIoThread(), new MonotonicClock());
            HandoverService second = HandoverService.open(loop, log, directory, OWNER, LIMIT);
            assertEquals(Set.of(id), second.everListed());
            second.close();
            first.delete(firstNumber);
            HandoverService third = HandoverService.open(loop, log, directory, OWNER, LIMIT);
            assertEquals(Set.of(id), third.everListed());
            third.close();
        } finally {
            worker.shutdownNow();
        }
    }
}
