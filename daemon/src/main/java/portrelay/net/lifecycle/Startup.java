package portrelay.net.lifecycle;

import java.io.IOException;
import java.net.BindException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import portrelay.net.handover.HandoverService;
import portrelay.net.http.SocketAddresses;

/**
 * Performs the steps to readiness: listen, warm up, announce to the sibling process, become ready. Without a sibling
 * that serves, the sidecar listens before its warm-up, as clients have no other process to connect to. While a sibling
 * serves, the sidecar listens only after its warm-up. Runs on the event loop except where a method says otherwise.
 */
final class Startup {

    private static final long LISTEN_RETRY_MILLIS = 100;
    /** Enough for a connection of another process to end, and few enough for an error in the configuration to show. */
    private static final int MAX_LISTEN_ATTEMPTS = 30;

    private final SidecarConfig config;
    private final SidecarComponents components;
    private final CompletableFuture<Void> ready = new CompletableFuture<>();

    Startup(SidecarConfig config, SidecarComponents components) {
        this.config = config;
        this.components = components;
    }

    /**
     * Begins to listen, and waits for some time while the address is taken: an outgoing connection of any process may
     * have the port for a moment. May be called from any thread but the loop's.
     *
     * @throws IOException if the address stays taken, or can't be bound for another reason
     */
    void listenOnceAddressIsFree() throws IOException, InterruptedException {
        for (int attempt = 1; ; attempt++) {
            try {
                listen();
                return;
            } catch (IOException e) {
                if (!(e.getCause() instanceof BindException)
                        || attempt >= MAX_LISTEN_ATTEMPTS
                        || components.isShuttingDown()) {
                    throw e;
                }
                components.log.warn("listen address in use: attempt=" + attempt + " of=" + MAX_LISTEN_ATTEMPTS
                        + " cause=" + e.getCause().getMessage());
                TimeUnit.MILLISECONDS.sleep(LISTEN_RETRY_MILLIS);
            }
        }
    }

    /** Begins to listen. May be called from any thread. */
    void listen() throws IOException {
        try {
            // The listener keeps the limit that it is opened with, so it gets the one that applies without a sibling.
            components.frontend.listen(components.worker, config.listen(), config.descriptorLimit());
        } catch (IOException e) {
            throw new IOException("listen: " + e.getMessage(), e);
        }
        components.log.info("listening: address=" + SocketAddresses.format(components.frontend.address()));
        components.loop.execute(components::updateClientLimit);
    }

    /** Begins to listen if this process does not yet: the sibling process, whose listener clients used, has ended. */
    void siblingGone() {
        if (components.frontend.isListening() || components.isShuttingDown()) {
            return;
        }
        try {
            listen();
        } catch (IOException e) {
            components.log.warn("not listening before warm-up has ended: cause=" + e.getMessage());
        }
    }

    void warmUpEnded() {
        components.frontend.warmUpStopListening(components.worker);
        if (components.isShuttingDown()) {
            // A process that is shutting down must neither announce that it serves nor begin to listen.
            ready.complete(null);
            return;
        }
        try {
            if (!components.frontend.isListening()) {
                listen();
            }
        } catch (IOException e) {
            ready.completeExceptionally(e);
            return;
        }
        HandoverService handover = components.handover;
        if (handover == null) {
            becomeReady();
        } else {
            handover.announceServing(SocketAddresses.format(components.frontend.address()), this::becomeReady);
        }
    }

    /**
     * Blocks until the sidecar is ready, or until its warm-up has ended while it is shutting down. May be called from
     * any thread but the loop's.
     *
     * @throws IOException if the sidecar could not listen
     */
    void awaitReady() throws IOException {
        try {
            ready.get();
        } catch (ExecutionException e) {
            throw new IOException(e.getCause().getMessage(), e.getCause());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void becomeReady() {
        if (!components.isShuttingDown()) {
            components.frontend.setReady(true);
            if (components.admin != null) {
                components.admin.setReady(true);
            }
            components.log.info("ready: listen=" + SocketAddresses.format(components.frontend.address()));
        }
        ready.complete(null);
    }
}
