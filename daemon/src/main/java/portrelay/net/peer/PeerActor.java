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
 * Sends messages to other sidecars and receives theirs over a single UDP socket. Messages are never queued: a message
 * that can't be sent at once is dropped, as the network may drop it too. Only messages that come from configured peers
 * and have the protocol's format (printable ASCII of limited length) are passed to the listener; others are counted and
 * dropped. All methods must be called on the event loop.
 */
public final class PeerActor {

    /** Receives messages, on the event loop. */
    public interface MessageListener {

        /**
         * Handles a received message.
         *
         * @param from the number of the sending sidecar
         */
        void messageReceived(int from, String text);
    }

    /** The maximum length of a message in the platform's protocol. */
    private static final int MAX_MESSAGE_BYTES = 256;
    /** The only ASCII control character above the printable characters. */
    private static final byte DELETE = 0x7f;
    /** How many messages one task reads at most, so that clients and upstreams are served in between. */
    private static final int MAX_MESSAGES_PER_READ = 64;

    private static final double REBIND_INTERVAL_SECONDS = 1;

    private final EventLoop loop;
    private final Log log;
    private final Mailbox mailbox;
    private final XnioWorker worker;
    private final PeerAddresses addresses;
    private final int sidecarCount;
    private final MessageListener listener;
    private final Map<SocketAddress, Integer> sidecarByAddress = new HashMap<>();
    /** One byte longer than the maximum message, so that messages that are too long can be detected. */
    private final ByteBuffer receiveBuffer = ByteBuffer.allocateDirect(MAX_MESSAGE_BYTES + 1);

    private final ByteBuffer sendBuffer = ByteBuffer.allocateDirect(MAX_MESSAGE_BYTES);
    private final SocketAddressBuffer addressBuffer = new SocketAddressBuffer();
    /** Null while the address is not bound. */
    private MulticastMessageChannel channel;

    private boolean isClosed;
    /** Whether a failed bind has been logged; later failures are not logged. */
    private boolean hasBindFailed;

    private long unknownSenderCount;
    private long malformedCount;
    private long notSentCount;

    /**
     * Creates the actor; the socket is bound by {@link #start}.
     *
     * @param sidecarCount how many of the addresses, from the first on, are in use by sidecars
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

    /**
     * Binds the socket. Retries at an interval while that fails, as when the previous process still uses the address.
     */
    public void start() {
        mailbox.post(this::bind);
    }

    /** Returns whether the socket is bound. Until then messages are dropped. */
    public boolean isBound() {
        return channel != null;
    }

    /** Sends a message to the sidecar with the given number; does nothing if there is no such sidecar. */
    public void send(int sidecar, String text) {
        mailbox.post(() -> {
            if (sidecar >= 0 && sidecar < sidecarCount) {
                send(addresses.sidecars().get(sidecar), text);
            }
        });
    }

    /** Sends a message to all sidecars, including this one. */
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

    /** Returns a log line with the number of messages dropped since the start, or null if none were dropped. */
    public String droppedMessagesLine() {
        return unknownSenderCount + malformedCount + notSentCount == 0
                ? null
                : "messages dropped: from-strangers=" + unknownSenderCount + " unreadable=" + malformedCount
                        + " not-sent=" + notSentCount;
    }

    /** Closes the socket and ends any retries of its bind. */
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
            ChannelListener<MulticastMessageChannel> readListener = ignored -> mailbox.post(this::receive);
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
            sendBuffer.clear().put(text.getBytes(US_ASCII)).flip();
            try {
                isSent = channel.sendTo(address, sendBuffer);
            } catch (IOException e) {
                // Counted as not sent, like a message that the network has lost.
            }
        }
        notSentCount += isSent ? 0 : 1;
    }

    private void receive() {
        try {
            for (int i = 0; i < MAX_MESSAGES_PER_READ && channel != null; i++) {
                addressBuffer.clear();
                if (channel.receiveFrom(addressBuffer, receiveBuffer.clear()) <= 0
                        && addressBuffer.getSourceAddress() == null) {
                    return;
                }
                deliver(sidecarByAddress.get(addressBuffer.getSourceAddress()));
            }
        } catch (IOException e) {
            log.warn("messages can't be read: cause=" + e.getMessage());
        }
    }

    /**
     * Passes the received message to the listener, or counts it as dropped.
     *
     * @param sidecar the number of the sender; null if the sender is not a peer
     */
    private void deliver(Integer sidecar) {
        receiveBuffer.flip();
        if (sidecar == null) {
            unknownSenderCount++;
            return;
        }
        byte[] bytes = new byte[receiveBuffer.remaining()];
        receiveBuffer.get(bytes);
        boolean isWellFormed = bytes.length > 0 && bytes.length <= MAX_MESSAGE_BYTES;
        for (byte b : bytes) {
            isWellFormed &= b >= ' ' && b != DELETE;
        }
        if (isWellFormed) {
            listener.messageReceived(sidecar, new String(bytes, US_ASCII));
        } else {
            malformedCount++;
        }
    }
}
