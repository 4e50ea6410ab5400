package portrelay.cli;

import com.beust.jcommander.Parameters;
import java.io.IOException;
import java.lang.reflect.Proxy;
import java.nio.file.Path;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import portrelay.net.eventloop.Log;
import portrelay.net.lifecycle.Sidecar;
import portrelay.net.lifecycle.SidecarConfig;
import portrelay.settings.InvalidSettingException;

/** Runs one sidecar. SIGHUP reloads its configuration, SIGTERM drains it. */
@Parameters(commandDescription = "run one sidecar until SIGTERM")
final class ServeCommand extends ConfigCommand {

    /** How long a shutdown waits for a sidecar that is still being opened. */
    private static final int OPEN_TIMEOUT_SECONDS = 3;

    @Override
    int run(SidecarConfig config) throws IOException, InvalidSettingException, InterruptedException {
        CompletableFuture<Sidecar> opened = new CompletableFuture<>();
        AtomicBoolean isShuttingDown = new AtomicBoolean();
        Log log = new Log(System.err, config.name());
        config.ignoredSettings().forEach(setting -> log.warn("not yet on sockets: " + setting));
        onHangUp(() -> reloadOnceOpened(opened, log));
        // Registered before the sidecar listens, so that a SIGTERM during the warm-up loses no requests either.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> drain(opened, isShuttingDown)));
        String handoverDirectory = System.getenv("TMPDIR");
        try {
            if (isShuttingDown.get()) {
                throw new IOException("shutdown began before the sidecar was opened");
            }
            Sidecar sidecar =
                    Sidecar.open(config, System.err, handoverDirectory == null ? null : Path.of(handoverDirectory));
            opened.complete(sidecar);
            // This frame lasts as long as the process, and a cached endpoint list takes memory.
            config = config.withoutCachedEndpoints();
            sidecar.awaitReady();
        } catch (IOException | InvalidSettingException | RuntimeException e) {
            opened.completeExceptionally(e);
            throw e;
        }
        // Waits forever: a signal ends the JVM, and the shutdown hook drains the sidecar.
        new CountDownLatch(1).await();
        return 0;
    }

    /** Drains the sidecar. Waits for one that is still being opened, as it may listen already. */
    private static void drain(CompletableFuture<Sidecar> opened, AtomicBoolean isShuttingDown) {
        // Taken first: SIGKILL is timed from the signal, also while the sidecar is being opened.
        long receivedAt = System.nanoTime();
        isShuttingDown.set(true);
        try {
            opened.get(OPEN_TIMEOUT_SECONDS, TimeUnit.SECONDS).drain(receivedAt);
        } catch (ExecutionException | TimeoutException e) {
            // The sidecar never listened, or could not be opened in time: no client waits for it.
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /**
     * Runs the action on each SIGHUP, which would end the JVM otherwise. The JDK's class for signals is used through
     * reflection, as the compiler warns about its direct use and that warning can't be suppressed.
     */
    private static void onHangUp(Runnable action) {
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object actionHandler = Proxy.newProxyInstance(
                    handler.getClassLoader(), new Class<?>[] {handler}, (proxy, method, arguments) -> {
                        action.run();
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), actionHandler);
        } catch (ReflectiveOperationException e) {
            throw new IllegalStateException("this JVM does not support a handler for SIGHUP", e);
        }
    }

    /** Reloads once the sidecar is open. The result of the future is not needed: {@link #reload} logs its failures. */
    @SuppressWarnings("FutureReturnValueIgnored")
    private void reloadOnceOpened(CompletableFuture<Sidecar> opened, Log log) {
        opened.thenAccept(sidecar -> reload(sidecar, log));
    }

    /** Synchronized, so that reloads run one at a time and the contents that were read last stay in effect. */
    private synchronized void reload(Sidecar sidecar, Log log) {
        log.info("configuration reload: signal=SIGHUP");
        try {
            sidecar.reload(readAgain());
        } catch (InvalidSettingException e) {
            log.warn("configuration reload failed, the old one stays: cause=" + e.getMessage());
        } catch (RuntimeException e) {
            // Logged here, as the log is the only place where the sender of the signal can see the failure.
            log.fault("configuration reload failed, the old one stays", e);
        }
    }
}
