package portrelay.net;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;
import org.xnio.channels.StreamSinkChannel;
import org.xnio.channels.StreamSourceChannel;

/** One open connection. It carries one call at a time and buffers its answer whole. */
final class Link {

    /** Most answers are shorter; a longer one is read in turns. */
    private static final int READ_AT_ONCE = 4 * 1024;

    private final ClientConnection connection;
    private final StreamConnection socket;
    private final AtomicLong sent;
    private final AnswerGuard guard;
    private Exchange current;

    Link(ClientConnection connection, StreamConnection socket, AtomicLong sent, AnswerGuard guard) {
        this.connection = connection;
        this.socket = socket;
        this.sent = sent;
        this.guard = guard;
        connection.addCloseListener(c -> {
            if (current != null) {
                current.closed();
            }
        });
    }

    boolean usable() {
        return connection.isOpen() && current == null;
    }

    /** Usable, and nothing has come while it rested: that would be taken for the next call's answer. */
    boolean rested() {
        if (!usable()) {
            return false;
        }
        try {
            if (socket.getSourceChannel().read(ByteBuffer.allocate(1)) == 0) {
                return true;
            }
        } catch (IOException e) {
            // Ended, as by bytes that nobody asked for.
        }
        close();
        return false;
    }

    /** Whether the last byte of the last call has left us; in doubt, as when it has ended, it has. */
    boolean written() {
        return current == null || current.written();
    }

    void onClosed(Runnable then) {
        connection.addCloseListener(c -> then.run());
    }

    /** An answer of more than the limit counts as no answer. Done is called once, inside the loop. */
    void call(Call call, int limit, Consumer<Result> done) {
        Exchange exchange = new Exchange(call, limit, done);
        current = exchange;
        guard.expect();
        exchange.guarded(() -> connection.sendRequest(call.head(), exchange));
    }

    /**
     * The socket itself: closed the clean way it would wait for the other end to close too, and one that
     * hangs never does.
     */
    void close() {
        current = null;
        IoUtils.safeClose(socket);
    }

    private final class Exchange implements ClientCallback<ClientExchange> {

        private final Call call;
        private final int limit;
        private final Consumer<Result> done;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final long sentBefore = sent.get();
        private final ByteBuffer unwritten;
        private ClientResponse head;
        private boolean reading;

        Exchange(Call call, int limit, Consumer<Result> done) {
            this.call = call;
            this.limit = limit;
            this.done = done;
            this.unwritten = ByteBuffer.wrap(call.body());
        }

        boolean written() {
            return call.body().length == 0 ? sent.get() > sentBefore : !unwritten.hasRemaining();
        }

        @Override
        public void completed(ClientExchange exchange) {
            exchange.setResponseListener(new ClientCallback<>() {
                @Override
                public void completed(ClientExchange answered) {
                    guarded(() -> {
                        head = answered.getResponse();
                        if (tooLong(head)) {
                            broken();
                        } else {
                            read(answered.getResponseChannel());
                        }
                    });
                }

                @Override
                public void failed(IOException cause) {
                    broken();
                }
            });
            if (unwritten.hasRemaining()) {
                write(exchange.getRequestChannel());
            }
        }

        @Override
        public void failed(IOException cause) {
            broken();
        }

        /** Whatever the library meets in an answer, the call ends, and once. */
        private void guarded(Runnable step) {
            try {
                step.run();
            } catch (RuntimeException e) {
                broken();
            }
        }

        private boolean tooLong(ClientResponse answer) {
            String length = answer.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
            return length != null && Long.parseLong(length.trim()) > limit;
        }

        private void write(StreamSinkChannel to) {
            try {
                while (unwritten.hasRemaining()) {
                    if (to.write(unwritten) == 0) {
                        to.getWriteSetter().set(this::write);
                        to.resumeWrites();
                        return;
                    }
                }
                to.shutdownWrites();
                if (to.flush()) {
                    to.suspendWrites();
                } else {
                    to.getWriteSetter().set(this::write);
                    to.resumeWrites();
                }
            } catch (IOException e) {
                broken();
            }
        }

        private void read(StreamSourceChannel from) {
            ByteBuffer some = ByteBuffer.allocate(READ_AT_ONCE);
            reading = true;
            try {
                for (int count = from.read(some); count != 0; count = from.read(some)) {
                    if (count < 0) {
                        whole();
                        return;
                    }
                    body.write(some.array(), 0, count);
                    some.clear();
                    if (body.size() > limit) {
                        broken();
                        return;
                    }
                }
                reading = false;
                if (socket.isOpen()) {
                    from.getReadSetter().set(this::read);
                    from.resumeReads();
                } else {
                    broken();
                }
            } catch (IOException e) {
                broken();
            }
        }

        /**
         * The client closes a connection that is not to be kept as it reads the answer's last bytes, before
         * we have them: that answer is whole.
         */
        private void closed() {
            if (!reading) {
                broken();
            }
        }

        private void whole() {
            if (current != this) {
                return;
            }
            if (!guard.whole()) {
                broken();
                return;
            }
            // An answer that comes before its call is written, or brings more than itself, ends the link.
            boolean spent = !written() || !guard.clean();
            current = null;
            if (spent) {
                close();
            }
            done.accept(
                    new Result(head.getResponseCode(), head.getResponseHeaders(), body.toByteArray(), true));
        }

        private void broken() {
            if (current != this) {
                return;
            }
            boolean written = written();
            close();
            done.accept(Result.broken(written));
        }
    }
}
