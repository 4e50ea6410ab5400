package portrelay.net.handover;

import java.io.IOException;
import java.util.function.BiConsumer;
import portrelay.net.eventloop.Log;
import portrelay.net.handover.HandoverService.Sibling;

/**
 * Finds the other processes of this sidecar in the handover directory, and deletes the files of those that have ended.
 * Used on the handover thread.
 */
final class SiblingScan {

    /** A younger lock file is not deleted: its process may have created it and not locked it yet. */
    private static final double MIN_DELETE_AGE_SECONDS = 5;

    private final HandoverDirectory directory;
    private final Log log;
    private Sibling sibling;
    private boolean hasSuccessor;

    SiblingScan(HandoverDirectory directory, Log log) {
        this.directory = directory;
        this.log = log;
    }

    /**
     * Scans the directory once.
     *
     * @param onState called with the state of each other process of the owner, and with whether that process is alive
     */
    void run(HandoverState.Owner owner, BiConsumer<HandoverState, Boolean> onState) {
        sibling = Sibling.NONE;
        hasSuccessor = false;
        try {
            for (long number : directory.processNumbers()) {
                if (number != directory.ownNumber()) {
                    scan(number, owner, onState);
                }
            }
        } catch (IOException e) {
            log.warn("handover directory not readable: cause=" + e);
        }
    }

    /** Returns the state of the sibling process as the last run found it. */
    Sibling sibling() {
        return sibling;
    }

    /** Whether the last run found a later process that is alive and serves, and is not shutting down itself. */
    boolean hasSuccessor() {
        return hasSuccessor;
    }

    private void scan(long number, HandoverState.Owner owner, BiConsumer<HandoverState, Boolean> onState)
            throws IOException {
        boolean isEarlier = number < directory.ownNumber();
        boolean isAlive = directory.isAlive(number);
        HandoverState state = directory.read(number);
        if (state != null && !owner.isSameSidecar(state.owner)) {
            // The state of another sidecar, or of a process of this sidecar that has not stored its listen address yet.
            return;
        }
        if (state != null) {
            onState.accept(state, isAlive);
        }
        boolean isServing = state != null && state.isServing;
        hasSuccessor |= isAlive && !isEarlier && isServing && !state.isShuttingDown;
        if (isAlive && state != null) {
            sibling = isEarlier || isServing || sibling == Sibling.SERVING ? Sibling.SERVING : Sibling.STARTING;
        }
        if (!isAlive && directory.ageSeconds(number) > MIN_DELETE_AGE_SECONDS && isEarlier) {
            directory.delete(number);
        }
    }
}
