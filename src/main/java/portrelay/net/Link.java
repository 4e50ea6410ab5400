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

    private final ClientConnection connection;
    private final StreamConnection socket;
    private final AtomicLong sent;
    private Exchange current;

    Link(ClientConnection connection, StreamConnection socket, AtomicLong sent) {
        this.connection = connection;
        this.socket = socket;
        this.sent = sent;
        connection.addCloseListener(c -> {
            if (current != null) {
                current.closed();
            }
        });
    }

    boolean usable() {
        return connection.isOpen() && current == null;
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
        current = new Exchange(call, limit, done);
        connection.sendRequest(call.head(), current);
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
                    head = answered.getResponse();
                    if (tooLong(head) || !framed(head)) {
                        broken();
                    } else {
                        read(answered.getResponseChannel());
                    }
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

        private boolean tooLong(ClientResponse answer) {
            String length = answer.getResponseHeaders().getFirst(Headers.CONTENT_LENGTH);
            return length != null && Long.parseLong(length) > limit;
        }

        /** An answer that only the connection's end delimits can't be told from half of one. */
        private boolean framed(ClientResponse answer) {
            HeaderMap headers = answer.getResponseHeaders();
            return headers.contains(Headers.CONTENT_LENGTH) || headers.contains(Headers.TRANSFER_ENCODING)
                    || answer.getResponseCode() != 200;
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
            ByteBuffer some = ByteBuffer.allocate(8192);
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
            boolean early = !written();
            current = null;
            if (early) {
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
