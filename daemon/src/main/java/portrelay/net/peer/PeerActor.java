package portrelay.net.peer;

import static java.nio.charset.StandardCharsets.US_ASCII;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import org.xnio.ChannelListener;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;
import portrelay.net.eventloop.Mailbox;

/**
 * Messages to and from other sidecars: owns the one UDP socket. Nothing waits for it: what can't be sent at once is
 * dropped, as the network may drop it too. Only messages from configured peers that have the protocol's form (printable
 * ASCII of a limited length) reach the listener; the others are counted. All methods are called on the event loop.
 */
public final class PeerActor {

    /** Called on the event loop. */
    public interface MessageListener {

        /**
         * A message has arrived.
         *
         * @param from the number of the sidecar that sent it
         */
        void messageReceived(int from, String text);
    }

    /** As the platform's protocol has it. */
    private static final int MAX_MESSAGE_BYTES = 256;
    /** The one control character of ASCII that lies behind the printable ones. */
    private static final byte DELETE = 0x7f;
    /** Messages that one task reads; then clients and upstreams have their turn. */
    private static final int MAX_RECEIVED_AT_ONCE = 64;

    private static final double REBIND_INTERVAL_SECONDS = 1;

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final XnioWorker worker;
    private final PeerAddresses addresses;
    private final int sidecarCount;
    private final MessageListener listener;
    private final Map<SocketAddress, Integer> sidecarByAddress = new HashMap<>();
    /** One byte longer than the longest message, so that one that is too long shows. */
    private final ByteBuffer received = ByteBuffer.allocateDirect(MAX_MESSAGE_BYTES + 1);

    private final ByteBuffer sending = ByteBuffer.allocateDirect(MAX_MESSAGE_BYTES);
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    /** Null while the address is not bound. */
    private MulticastMessageChannel channel;

    private boolean isClosed;
    /** Whether a failed bind has been logged. */
    private boolean hasBindFailed;

    private long fromStrangers;
    private long unreadable;
    private long notSent;

    /**
     * Binds once {@link #start} is called.
     *
     * @param sidecarCount so many of the addresses, from the first on, are sidecars
     */
    public PeerActor(
            EventLoop loop,
            Log log,
            XnioWorker worker,
            PeerAddresses addresses,
            int sidecarCount,
            MessageListener listener) {
        this.loop = loop;
        this.log = log;
        this.mailbox = new Mailbox(loop, log);
        this.worker = worker;
        this.addresses = addresses;
        this.sidecarCount = Math.min(sidecarCount, addresses.sidecars().size());
        this.listener = listener;
        for (int i = 0; i < this.sidecarCount; i++) {
            sidecarByAddress.put(addresses.sidecars().get(i), i);
        }
    }

    /** Binds the address; while it is taken, as by the previous process, tries again at an interval. */
    public void start() {
        mailbox.post(this::bind);
    }

    /** Whether the address is bound: before, nothing is sent. */
    public boolean isBound() {
        return channel != null;
    }

    /** Does nothing where the number is no sidecar's. */
    public void send(int sidecar, String text) {
        mailbox.post(() -> {
            if (sidecar >= 0 && sidecar < sidecarCount) {
                send(addresses.sidecars().get(sidecar), text);
            }
        });
    }

    /** To all sidecars, this one among them. */
    public void broadcast(String text) {
        mailbox.post(() -> {
            if (addresses.broadcast() != null) {
                send(addresses.broadcast(), text);
                return;
            }
            for (int i = 0; i < sidecarCount; i++) {
                send(addresses.sidecars().get(i), text);
            }
        });
    }

    /** For the log: what was dropped since the start; null where nothing was. */
    public String droppedMessagesLine() {
        return fromStrangers + unreadable + notSent == 0
                ? null
                : "messages dropped: from-strangers=" + fromStrangers + " unreadable=" + unreadable + " not-sent="
                        + notSent;
    }

    public void close() {
        mailbox.post(() -> {
            isClosed = true;
            IoUtils.safeClose(channel);
            channel = null;
        });
    }

    private void bind() {
        if (isClosed) {
            return;
        }
        try {
            channel = worker.createUdpServer(addresses.listen(), OptionMap.EMPTY);
            ChannelListener<MulticastMessageChannel> readListener = readable -> mailbox.post(this::receive);
            channel.getReadSetter().set(readListener);
            channel.resumeReads();
            if (hasBindFailed) {
                log.info("messages are received again");
            }
        } catch (IOException e) {
            if (!hasBindFailed) {
                hasBindFailed = true;
                log.warn("messages are not received: peer_listen: cause=" + e.getMessage());
            }
            loop.schedule(REBIND_INTERVAL_SECONDS, () -> mailbox.post(this::bind));
        }
    }

    private void send(InetSocketAddress address, String text) {
        boolean isSent = false;
        if (channel != null && text.length() <= MAX_MESSAGE_BYTES) {
            sending.clear().put(text.getBytes(US_ASCII)).flip();
            try {
                isSent = channel.sendTo(address, sending);
            } catch (IOException e) {
                // Counted, as if the network had lost it.
            }
        }
        notSent += isSent ? 0 : 1;
    }

    private void receive() {
        try {
            for (int i = 0; i < MAX_RECEIVED_AT_ONCE && channel != null; i++) {
                sender.clear();
                if (channel.receiveFrom(sender, received.clear()) <= 0 && sender.getSourceAddress() == null) {
                    return;
                }
                deliver(sidecarByAddress.get(sender.getSourceAddress()));
            }
        } catch (IOException e) {
            log.warn("messages can't be read: cause=" + e.getMessage());
        }
    }

    /** Passes on what was received. {@code sidecar} is null where the sender is no peer. */
    private void deliver(Integer sidecar) {
        received.flip();
        if (sidecar == null) {
            fromStrangers++;
            return;
        }
        byte[] bytes = new byte[received.remaining()];
        received.get(bytes);
        boolean isReadable = bytes.length > 0 && bytes.length <= MAX_MESSAGE_BYTES;
        for (byte each : bytes) {
            isReadable &= each >= ' ' && each != DELETE;
        }
        if (isReadable) {
            listener.messageReceived(sidecar, new String(bytes, US_ASCII));
        } else {
            unreadable++;
        }
    }
}
