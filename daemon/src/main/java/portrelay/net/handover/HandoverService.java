package portrelay.net.handover;

import java.io.IOException;
import java.nio.file.Path;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import portrelay.model.UpstreamId;
import portrelay.net.discovery.EndpointListLimit;
import portrelay.net.discovery.EndpointListPage;
import portrelay.net.discovery.EndpointListSnapshot;
import portrelay.net.eventloop.EventLoop;
import portrelay.net.eventloop.Log;

/**
 * Exchanges state with the other processes of one sidecar through files in a directory that they share. Owns the state
 * of this process and a thread, {@code portrelay-handover}, that is the only one to read and write the files after
 * {@link #open}.
 *
 * <p>Threads: {@link #open} and the getters of the state that it found are called on the thread that starts the
 * sidecar, before {@link #start}. All other methods may be called from any thread; except for {@link #close} they
 * return at once and do their work on the handover thread. Callbacks run on the event loop.
 */
public final class HandoverService implements AutoCloseable {

    /** How often a process without a sibling looks for one. */
    private static final double POLL_INTERVAL_ALONE_SECONDS = 0.25;
    /** How often a sibling's file is read: operator calls made there have to take effect here within 0.2 s. */
    private static final double POLL_INTERVAL_WITH_SIBLING_SECONDS = 0.1;

    private static final long CLOSE_TIMEOUT_SECONDS = 2;

    /**
     * Receives operator calls made at other processes, and the start and end of those processes. Runs on the event
     * loop.
     */
    public interface Listener {

        /** Operators disabled the upstream at another process, or enabled it again. */
        void disabledChanged(UpstreamId id, boolean isDisabled);

        /** Operators took the sidecar out of service, or back into service, at another process. */
        void inServiceChanged(boolean isInService);

        /** The sibling process started, began to serve, or ended. */
        void siblingChanged(Sibling sibling);
    }

    /** State of the other process of this sidecar that is alive; of several, that of one that serves. */
    public enum Sibling {
        /** No other process is alive. */
        NONE,
        /** A later process that does not serve yet. */
        STARTING,
        /** A process that serves, or an earlier one, which is assumed to serve until it has ended. */
        SERVING
    }

    private final EventLoop loop;
    private final Log log;
    private final HandoverDirectory directory;
    private final SiblingScan scan;
    private final HandoverState state;
    private final ScheduledThreadPoolExecutor executor;
    /** Null before {@link #start}. */
    private Listener listener;

    /** The ids that the processes found by {@link #open} had ever listed, the latest last; empty once started. */
    private Set<UpstreamId> everListedBefore = new LinkedHashSet<>();

    private boolean isStateChanged = true;
    private Sibling sibling = Sibling.NONE;

    private HandoverService(
            EventLoop loop, Log log, Path directory, HandoverState.Owner owner, EndpointListLimit listLimit)
            throws IOException {
        this.loop = loop;
        this.log = log;
        this.directory = new HandoverDirectory(directory, owner.name(), listLimit, log);
        scan = new SiblingScan(this.directory, log);
        state = new HandoverState(owner);
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            Thread daemon = new Thread(task, "portrelay-handover");
            daemon.setDaemon(true);
            return daemon;
        });
        executor.setExecuteExistingDelayedTasksAfterShutdownPolicy(false);
        // Written before the first scan: other processes ignore one that has a lock but no state.
        writeIfChanged();
        scanSiblings();
    }

    /**
     * Takes a number and a lock in the directory, and reads the state files of other processes.
     *
     * @param directory null to disable handover
     * @param listLimit the part of other processes' endpoint lists that is read
     * @return null if the directory is null, or if it is missing or not writable, which is logged
     */
    public static HandoverService open(
            EventLoop loop, Log log, Path directory, HandoverState.Owner owner, EndpointListLimit listLimit) {
        if (directory == null) {
            return null;
        }
        try {
            return new HandoverService(loop, log, directory, owner, listLimit);
        } catch (IOException | RuntimeException e) {
            log.warn("handover disabled: directory=" + directory + " cause=" + e);
            return null;
        }
    }

    // ---- State found by open ----------------------------------------------------------------------------

    /** Returns the last operator call for each upstream. */
    public Map<UpstreamId, HandoverState.OperatorCall> operatorCalls() {
        return Map.copyOf(state.upstreamCalls.latest());
    }

    /** Whether operators took the sidecar out of service. */
    public boolean isOutOfService() {
        return state.sidecarCall.takesOutOfService();
    }

    /** Returns the ids that discovery ever listed, the latest last. */
    public Set<UpstreamId> everListed() {
        return everListedBefore;
    }

    /** Returns the endpoint list of a process that is alive; null if there is none. */
    public EndpointListPage endpointList() {
        return state.endpointList == null ? null : state.endpointList.page();
    }

    /** Returns the state of the sibling process. */
    public Sibling sibling() {
        return sibling;
    }

    // ---- Announcements to other processes ---------------------------------------------------------------

    /** Starts to poll the files of other processes and to call the listener. */
    public void start(Listener listener) {
        execute(() -> {
            this.listener = listener;
            everListedBefore = Set.of();
            directory.stopReadingLists();
            poll();
        });
    }

    /**
     * Announces that this process serves at the given address.
     *
     * @param onWritten called on the event loop once other processes can read the announcement
     */
    public void announceServing(String listen, Runnable onWritten) {
        execute(() -> {
            state.owner = new HandoverState.Owner(state.owner.name(), listen, state.owner.requestClasses());
            state.isServing = true;
            writeChanged();
            loop.execute(onWritten);
        });
    }

    /**
     * Records an operator call for an upstream that this process received.
     *
     * @param calledAt when the call came, on the event loop's clock
     */
    public void recordDisabled(UpstreamId id, boolean isDisabled, double calledAt) {
        execute(() -> {
            state.upstreamCalls.merge(id, new HandoverState.OperatorCall(isDisabled, calledAt));
            isStateChanged = true;
            // After the calls that wait already: one write for all, as each writes the whole endpoint list.
            execute(this::writeIfChanged);
        });
    }

    /**
     * Records an operator call that took the sidecar out of service, or back into service, at this process.
     *
     * @param calledAt when the call came, on the event loop's clock
     */
    public void recordOutOfService(boolean isOutOfService, double calledAt) {
        execute(() -> {
            state.sidecarCall = new HandoverState.OperatorCall(isOutOfService, calledAt);
            writeChanged();
        });
    }

    /** Records the endpoint list, to be written with the next poll. */
    public void recordEndpointList(EndpointListSnapshot endpointList) {
        execute(() -> {
            state.endpointList = endpointList;
            isStateChanged = true;
        });
    }

    /**
     * Announces that this process shuts down, so that no other process hands its clients over to this one.
     *
     * @param onSuccessorChecked called on the event loop with whether a later process serves and is not shutting down
     *     itself
     */
    public void announceShutdown(Consumer<Boolean> onSuccessorChecked) {
        execute(() -> {
            scanSiblings();
            boolean hasSuccessor = scan.hasSuccessor();
            loop.execute(() -> onSuccessorChecked.accept(hasSuccessor));
            state.isShuttingDown = true;
            writeChanged();
        });
    }

    /** Writes the last state and releases the lock. Blocks until that is done, for a limited time. */
    @Override
    public void close() {
        execute(() -> {
            state.isServing = false;
            writeChanged();
            directory.releaseLock();
        });
        executor.shutdown();
        try {
            if (!executor.awaitTermination(CLOSE_TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
                log.warn(
                        "handover state may be out of date: last write not finished within-s=" + CLOSE_TIMEOUT_SECONDS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void execute(Runnable task) {
        try {
            executor.execute(() -> runLogged(task));
        } catch (RejectedExecutionException e) {
            // The sidecar is closed: later changes of its state are not handed over.
        }
    }

    // ---- On the handover thread -------------------------------------------------------------------------

    private void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            log.fault("handover task failed", e);
        }
    }

    // The result of the future is not needed: runLogged logs failures.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void poll() {
        scanSiblings();
        writeIfChanged();
        double intervalSeconds =
                sibling == Sibling.NONE ? POLL_INTERVAL_ALONE_SECONDS : POLL_INTERVAL_WITH_SIBLING_SECONDS;
        try {
            executor.schedule(() -> execute(this::poll), (long) (intervalSeconds * 1e3), TimeUnit.MILLISECONDS);
        } catch (RejectedExecutionException e) {
            // The sidecar is closed.
        }
    }

    private void scanSiblings() {
        scan.run(state.owner, this::merge);
        if (scan.sibling() != sibling) {
            sibling = scan.sibling();
            Sibling newSibling = sibling;
            log.info("sibling process: state=" + newSibling);
            notifyListener(() -> listener.siblingChanged(newSibling));
        }
    }

    /** Takes over the part of another process's state that is newer than this one's. */
    private void merge(HandoverState other, boolean isAlive) {
        other.upstreamCalls.latest().forEach((id, call) -> {
            HandoverState.OperatorCall previous = state.upstreamCalls.get(id);
            if (state.upstreamCalls.merge(id, call)) {
                notifyListener(() -> listener.disabledChanged(id, call.takesOutOfService()));
            }
            isStateChanged |= !call.equals(previous) && call.equals(state.upstreamCalls.get(id));
        });
        if (other.sidecarCall.calledAt() > state.sidecarCall.calledAt()) {
            state.sidecarCall = other.sidecarCall;
            isStateChanged = true;
            notifyListener(() -> listener.inServiceChanged(!other.sidecarCall.takesOutOfService()));
        }
        if (listener == null) {
            // Once started, this process has its own list.
            everListedBefore.addAll(other.endpointList.everListed());
            EndpointListPage known = state.endpointList == null ? null : state.endpointList.page();
            EndpointListPage taken = isAlive && other.endpointList.page() != null ? other.endpointList.page() : known;
            state.endpointList = EndpointListSnapshot.of(
                    taken == null ? EndpointListPage.NONE : taken, List.copyOf(everListedBefore));
        }
    }

    private void notifyListener(Runnable notification) {
        if (listener != null) {
            loop.execute(notification);
        }
    }

    private void writeChanged() {
        isStateChanged = true;
        writeIfChanged();
    }

    private void writeIfChanged() {
        if (isStateChanged) {
            isStateChanged = false;
            directory.write(state);
        }
    }
}
