package portrelay.simulation;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import portrelay.model.LoadBalancerActions;
import portrelay.model.RequestId;
import portrelay.model.UpstreamId;

/**
 * Collects the actions of one batch, one line each, and writes them all at once when the batch ends, followed by the
 * line that marks its end. Owned by {@link SimulationDriver}.
 */
final class SimulationWriter {

    private static final int INITIAL_BATCH_BYTES = 1 << 16;
    private static final SerializedString SEND_ATTEMPT = new SerializedString("hand-off");
    private static final SerializedString CANCEL_ATTEMPT = new SerializedString("call-off");
    private static final SerializedString REJECT = new SerializedString("deny");
    private static final SerializedString FAIL = new SerializedString("fail");
    private static final SerializedString WAKE_UP_AT = new SerializedString("set-timer");
    private static final SerializedString POLL_DISCOVERY = new SerializedString("stream-changes");
    private static final SerializedString PROBE_LOAD = new SerializedString("sample");
    private static final SerializedString PEER_MESSAGE = new SerializedString("notify");
    private static final SerializedString CLOSE_IDLE_CONNECTIONS = new SerializedString("let-go");
    private static final SerializedString LOG = new SerializedString("debug");
    private static final String ALL_PEERS = "all";
    /** Text that the protocol requires with each timer and returns with its wake-up. Not evaluated here. */
    private static final String TIMER_NONCE = "a";
    /** Timeout of an attempt in the protocol, in microseconds: 0 stands for the request's deadline. */
    private static final int UNTIL_DEADLINE = 0;

    private final OutputStream out;
    private final ByteArrayOutputStream batch = new ByteArrayOutputStream(INITIAL_BATCH_BYTES);
    private final JsonGenerator json;

    SimulationWriter(OutputStream out) throws IOException {
        this.out = out;
        json = new JsonFactory().createGenerator(batch);
        json.setRootValueSeparator(new SerializedString("\n"));
    }

    /** Writes the collected batch and flushes the output. */
    void endBatch() throws IOException {
        json.writeStartArray();
        json.writeString("ok");
        json.writeEndArray();
        json.flush();
        batch.write('\n');
        batch.writeTo(out);
        out.flush();
        batch.reset();
    }

    /** Reports an exception in a decision of an instance. The instance's earlier actions of this batch are kept. */
    void instanceFailed(long instance, String cause) throws IOException {
        json.writeStartArray();
        json.writeString("bail-out");
        json.writeNumber(instance);
        json.writeString(cause);
        json.writeEndArray();
    }

    /** Returns the actions of an instance; each is added to the current batch. */
    LoadBalancerActions actionsFor(long instance) {
        return new InstanceActions(instance);
    }

    private final class InstanceActions implements LoadBalancerActions {

        private final long instance;

        InstanceActions(long instance) {
            this.instance = instance;
        }

        private interface ValueWriter {
            void write() throws IOException;
        }

        private void writeAction(SerializedString name, ValueWriter values) {
            try {
                json.writeStartArray();
                json.writeString(name);
                json.writeNumber(instance);
                values.write();
                json.writeEndArray();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        @Override
        public void sendAttempt(RequestId request, UpstreamId upstream) {
            writeAction(SEND_ATTEMPT, () -> {
                json.writeString(request.value());
                json.writeNumber(UNTIL_DEADLINE);
                json.writeNumber(upstream.value());
            });
        }

        @Override
        public void cancelAttempt(RequestId request, int attempt) {
            writeAction(CANCEL_ATTEMPT, () -> {
                json.writeString(request.value());
                json.writeNumber(attempt);
            });
        }

        @Override
        public void reject(RequestId request, double retryAfter) {
            writeAction(REJECT, () -> {
                json.writeString(request.value());
                json.writeNumber(SimulationTime.microsNotBefore(retryAfter));
            });
        }

        @Override
        public void fail(RequestId request) {
            writeAction(FAIL, () -> json.writeString(request.value()));
        }

        @Override
        public void wakeUpAt(double time) {
            writeAction(WAKE_UP_AT, () -> {
                json.writeNumber(SimulationTime.microsNotBefore(time));
                json.writeString(TIMER_NONCE);
            });
        }

        @Override
        public void pollDiscovery() {
            writeAction(POLL_DISCOVERY, () -> json.writeBoolean(true));
        }

        @Override
        public void probeLoad(UpstreamId upstream) {
            writeAction(PROBE_LOAD, () -> json.writeNumber(upstream.value()));
        }

        @Override
        public void sendToPeer(int sidecar, String text) {
            writeAction(PEER_MESSAGE, () -> {
                json.writeNumber(sidecar);
                json.writeString(text);
            });
        }

        @Override
        public void broadcastToPeers(String text) {
            writeAction(PEER_MESSAGE, () -> {
                json.writeString(ALL_PEERS);
                json.writeString(text);
            });
        }

        @Override
        public void closeIdleConnections(UpstreamId upstream) {
            writeAction(CLOSE_IDLE_CONNECTIONS, () -> json.writeNumber(upstream.value()));
        }

        @Override
        public void log(String text) {
            writeAction(LOG, () -> json.writeString(text));
        }
    }
}
