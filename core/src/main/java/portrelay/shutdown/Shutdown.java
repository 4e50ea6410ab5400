package portrelay.shutdown;

import portrelay.model.TransitionTable;

/**
 * Owns the graceful shutdown: the one place that says whether connections and requests are still accepted, by when each
 * request is answered and when the process exits. Has no clock: its owner calls the events with their times, on one
 * thread, and {@link #wakeUp} when it was asked to. Signals after the first change nothing.
 */
public final class Shutdown {

    /** How far the shutdown is; a later phase is never left for an earlier one. */
    public enum Phase {
        /** No signal yet. */
        SERVING,
        /** The signal has come: open connections are served as before. */
        DRAINING,
        /** Requests that are read are rejected; forwarded ones still have time for their answers. */
        REFUSING,
        /** Every request has its final answer, or gets it at once; connections are closing. */
        CLOSING,
        /** No client is connected any more, or the time is over. */
        ENDED
    }

    private enum Input {
        SIGNALLED,
        FORWARDING_ENDED,
        ANSWERS_DUE,
        CLIENTS_GONE,
        TIME_OVER
    }

    private static final class State extends TransitionTable.Subject<Phase> {
        State() {
            super(Phase.SERVING);
        }
    }

    private static final TransitionTable<Phase, Input, Shutdown, State> TABLE = new TransitionTable<
                    Phase, Input, Shutdown, State>(Phase.class, Input.class)
            .row(Phase.SERVING, Input.SIGNALLED, Phase.DRAINING, Shutdown::drain)
            .row(Phase.DRAINING, Input.FORWARDING_ENDED, Phase.REFUSING, Shutdown::refuseNew)
            .row(Phase.DRAINING, Input.CLIENTS_GONE, Phase.ENDED, Shutdown::end)
            .row(Phase.DRAINING, Input.TIME_OVER, Phase.ENDED, Shutdown::end)
            .row(Phase.REFUSING, Input.ANSWERS_DUE, Phase.CLOSING, Shutdown::answerOpen)
            .row(Phase.REFUSING, Input.CLIENTS_GONE, Phase.ENDED, Shutdown::end)
            .row(Phase.REFUSING, Input.TIME_OVER, Phase.ENDED, Shutdown::end)
            .row(Phase.CLOSING, Input.CLIENTS_GONE, Phase.ENDED, Shutdown::end)
            .row(Phase.CLOSING, Input.TIME_OVER, Phase.ENDED, Shutdown::end);

    /** The process may be held for 0.15 s at a time; an event loop that is later than this has too much to do. */
    private static final double MAX_FORWARDING_LAG_SECONDS = 0.2;

    private final double maxDeadline;
    private final ShutdownActions actions;
    private final State state = new State();
    /** Null while the process serves. */
    private ShutdownBudget budget;

    private boolean isListening = true;
    /** Whether no client can have connected, so that the process need not wait for one. */
    private boolean hasNeverListened;
    /** Whether a successor serves already. */
    private boolean isHandingOver;
    /** Whether the event loop has been too late to forward what comes and answer it by the kill. */
    private boolean hasFallenBehind;

    /**
     * The shutdown of a process that serves.
     *
     * @param maxDeadline the longest deadline of all request classes, in seconds
     */
    public Shutdown(double maxDeadline, ShutdownActions actions) {
        this.maxDeadline = maxDeadline;
        this.actions = actions;
    }

    /** For a listener that is never shut down, such as that of the warm-up. */
    public static Shutdown never() {
        return new Shutdown(0, null);
    }

    // ---- Events -----------------------------------------------------------------------------------------

    /**
     * SIGTERM was sent at {@code earliestSignal} or later, and received at {@code receivedAt}; only the first counts.
     */
    public void signalled(double now, double earliestSignal, double receivedAt) {
        if (state.state() != Phase.SERVING) {
            return;
        }
        budget = ShutdownBudget.of(earliestSignal, receivedAt, maxDeadline);
        TABLE.step(this, state, Input.SIGNALLED);
        actions.wakeUpAt(budget.listenUntil());
        actions.wakeUpAt(budget.forwardUntil());
        actions.wakeUpAt(budget.answerBy());
        actions.wakeUpAt(budget.endBy());
        wakeUp(now);
    }

    /** A successor listens at the same address; without a signal before, nothing happens. */
    public void successorServes() {
        if (budget == null || isHandingOver || state.state() == Phase.ENDED) {
            return;
        }
        isHandingOver = true;
        stopListening();
        actions.handOver();
    }

    /** The process has never listened, so no client can come. */
    public void neverListened() {
        isListening = false;
        hasNeverListened = true;
    }

    /** A requested time may have come: does all that is due by now, in its order, however late. */
    public void wakeUp(double now) {
        if (budget == null) {
            return;
        }
        if (now >= budget.listenUntil()) {
            stopListening();
        }
        if (now >= budget.forwardUntil()) {
            TABLE.step(this, state, Input.FORWARDING_ENDED);
        }
        if (now >= budget.answerBy()) {
            TABLE.step(this, state, Input.ANSWERS_DUE);
        }
        if (now >= budget.endBy()) {
            TABLE.step(this, state, Input.TIME_OVER);
        }
    }

    /**
     * The event loop runs so late. From the first time on that this is more than a hold explains, what is read is
     * rejected: forwarding costs many times as much, and what can't be read by the kill is lost.
     */
    public void loopLagged(double seconds) {
        if (budget != null && seconds > MAX_FORWARDING_LAG_SECONDS) {
            hasFallenBehind = true;
        }
    }

    /** No client is connected; while the process listens, or may have just stopped, another may come. */
    public void noClients(double now) {
        if (budget != null && !isListening && (isHandingOver || hasNeverListened || now >= budget.stayUntil())) {
            TABLE.step(this, state, Input.CLIENTS_GONE);
        }
    }

    // ---- Queries ----------------------------------------------------------------------------------------

    /** How far the shutdown is. */
    public Phase phase() {
        return state.state();
    }

    /** Whether the signal has come. */
    public boolean hasBegun() {
        return state.state() != Phase.SERVING;
    }

    /** Whether a request that is read now may be forwarded; by the time, as {@link #wakeUp} may be late. */
    public boolean mayForward(double now) {
        return budget == null || state.state() == Phase.DRAINING && now < budget.forwardUntil() && !hasFallenBehind;
    }

    /** Whether requests are rejected because the event loop was too late. */
    public boolean hasFallenBehind() {
        return hasFallenBehind;
    }

    /** Whether a connection without an open request is closed. */
    public boolean closesConnections() {
        return isHandingOver || state.state().compareTo(Phase.REFUSING) >= 0;
    }

    /** When every open request has its final answer; infinite while the process serves. */
    public double answerDeadline() {
        return budget == null ? Double.POSITIVE_INFINITY : budget.answerBy();
    }

    /** Null while the process serves. */
    public ShutdownBudget budget() {
        return budget;
    }

    // ---- Effects of the transition table ----------------------------------------------------------------

    private Input drain(State unused) {
        actions.drain();
        return null;
    }

    private Input refuseNew(State unused) {
        actions.refuseNew();
        return null;
    }

    private Input answerOpen(State unused) {
        actions.answerOpen();
        return null;
    }

    private Input end(State unused) {
        actions.end();
        return null;
    }

    private void stopListening() {
        if (isListening) {
            isListening = false;
            actions.stopListening();
        }
    }
}
