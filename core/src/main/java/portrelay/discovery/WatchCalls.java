package portrelay.discovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Manages the outstanding calls to discovery, their waits and their timeouts. A call either fetches the complete
 * endpoint list at once or watches it, in which case discovery holds the call until there is an update. After a call
 * that failed or timed out, new ones begin often enough for an update to be read within 6 s of discovery becoming
 * reachable. Discovery serves the calls of all sidecars in turn, and an abandoned call loses its place in that queue;
 * so no call is abandoned sooner than needed. The backoff after a failure is defined by {@code DiscoveryRules}.
 */
public final class WatchCalls {

    /**
     * Performs the calls. Each call begins once; it ends by {@link #endCall}, by {@link WatchCalls#answered} or by
     * {@link WatchCalls#failed}.
     */
    public interface Actions {
        /**
         * Begins a call.
         *
         * @param wait seconds for which discovery may hold the call while it has no update; 0 to answer at once
         * @param timeout seconds after which {@link WatchCalls#timedOut} is to be called, unless the call has ended
         */
        void beginCall(int call, double wait, double timeout);

        /** Abandons a call. */
        void endCall(int call, EndReason reason);
    }

    /** Why a call is abandoned before it has an answer. */
    public enum EndReason {
        /** The oldest call is replaced by a newer one. */
        REPLACED,
        /** A watch had no answer within its timeout. */
        SILENT,
        /** The other call was answered. */
        OTHER_ANSWERED,
        /** The other call failed. */
        OTHER_FAILED,
        /** The address of discovery has changed. */
        ADDRESS_CHANGED
    }

    /** How long discovery may hold a watch if it answered the last call. */
    static final double WATCH_SECONDS = 20;

    /**
     * How long discovery may hold a watch after a failure. Guards against a watch that is accepted and never answered,
     * because the process that accepted it dies at that moment: the watch must time out early enough for another one to
     * be answered in time.
     */
    static final double WATCH_AFTER_FAILURE_SECONDS = 3;

    /**
     * How long after its wait a watch times out. A watch counts as broken 2 s after its wait; a new connection may take
     * 1.5 s of these 2 s.
     */
    static final double WATCH_GRACE_SECONDS = 0.5;

    /** The timeout of a fetch: discovery takes seconds to answer when all sidecars call it at the same time. */
    static final double FETCH_TIMEOUT_SECONDS = 2.5;

    /** The maximum number of calls: a late call keeps its place in discovery's queue while another one is begun. */
    private static final int MAX_OUTSTANDING = 2;

    private final Actions actions;
    /** The numbers of the outstanding calls, the oldest first. */
    private final Deque<Integer> outstanding = new ArrayDeque<>();

    private int lastCall;
    private boolean wasLastAnswered = true;
    /** Whether the latest call is a fetch. */
    private boolean isFetch;

    /** Creates an instance without calls; calls are numbered from 1. */
    public WatchCalls(Actions actions) {
        this.actions = actions;
    }

    /** Whether any call is outstanding. */
    public boolean isOutstanding() {
        return !outstanding.isEmpty();
    }

    /** Whether this call is outstanding, so that its answer would be used. */
    public boolean isOutstanding(int call) {
        return outstanding.contains(call);
    }

    /**
     * Begins a call; abandons the oldest one if too many are outstanding.
     *
     * @param fetchesAll whether to fetch the complete list rather than watch for updates to the sidecar's current list
     */
    public void begin(boolean fetchesAll) {
        isFetch = fetchesAll;
        if (outstanding.size() == MAX_OUTSTANDING) {
            actions.endCall(outstanding.removeFirst(), EndReason.REPLACED);
        }
        int call = ++lastCall;
        outstanding.addLast(call);
        if (isFetch) {
            actions.beginCall(call, 0, FETCH_TIMEOUT_SECONDS);
        } else {
            double wait = wasLastAnswered ? WATCH_SECONDS : WATCH_AFTER_FAILURE_SECONDS;
            actions.beginCall(call, wait, wait + WATCH_GRACE_SECONDS);
        }
    }

    /** Handles the timeout of a call; only the timeout of the latest call begins another one. */
    public void timedOut(int call) {
        if (outstanding.isEmpty() || outstanding.peekLast() != call) {
            return;
        }
        if (wasLastAnswered && !isFetch) {
            // The watch is broken: discovery would have answered it by now.
            cancelAll(EndReason.SILENT);
        }
        wasLastAnswered = false;
        begin(isFetch);
    }

    /** Handles a valid answer to a call; the other call is abandoned. */
    public void answered(int call) {
        outstanding.remove(call);
        cancelAll(EndReason.OTHER_ANSWERED);
        wasLastAnswered = true;
    }

    /**
     * Handles a call that was refused, broke off or had an invalid answer; the other call is abandoned, as it is
     * expected to fail as well.
     */
    public void failed(int call) {
        outstanding.remove(call);
        cancelAll(EndReason.OTHER_FAILED);
        wasLastAnswered = false;
    }

    /** Handles a change of discovery's address: all calls are abandoned. */
    public void addressChanged() {
        cancelAll(EndReason.ADDRESS_CHANGED);
    }

    private void cancelAll(EndReason reason) {
        while (isOutstanding()) {
            actions.endCall(outstanding.removeFirst(), reason);
        }
    }
}
