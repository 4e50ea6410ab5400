package portrelay.shutdown;

import portrelay.model.TransitionTable;

/**
 * State machine of the graceful shutdown. The only place that decides whether connections and requests are still
 * accepted, by when each request has to be answered and when the process exits.
 *
 * <p>Has no clock: its owner calls the event methods with the current time, all on one thread, and calls
 * {@link #wakeUp} at the times requested by {@link ShutdownActions#wakeUpAt}. Signals after the first have no effect.
 */
public final class Shutdown {

    /** Progress of the shutdown; it never returns to an earlier phase. */
    public enum Phase {
        /** No signal received yet. */
        SERVING,
        /** The signal was received; open connections are served as before. */
        DRAINING,
        /** Requests read from now on are rejected; forwarded requests still have time for their answers. */
        REJECTING,
        /** Every request has its final answer or gets it immediately; connections are closing. */
        CLOSING,
        /** No client is connected any more, or the time budget is used up. */
        ENDED
    }

    private enum Input {
        SIGNAL_RECEIVED,
        FORWARDING_ENDED,
        ANSWERS_DUE,
        NO_CLIENTS_CONNECTED,
        END_DUE
    }

    private static final class State extends TransitionTable.Subject<Phase> {
        State() {
            super(Phase.SERVING);
        }
    }

    private static final TransitionTable<Phase, Input, Shutdown, State> TABLE = new TransitionTable<
                    Phase, Input, Shutdown, State>(Phase.class, Input.class)
            .row(Phase.SERVING, Input.SIGNAL_RECEIVED, Phase.DRAINING, Shutdown::drain)
            .row(Phase.DRAINING, Input.FORWARDING_ENDED, Phase.REJECTING, Shutdown::rejectNewRequests)
            .row(Phase.DRAINING, Input.NO_CLIENTS_CONNECTED, Phase.ENDED, Shutdown::end)
            .row(Phase.DRAINING, Input.END_DUE, Phase.ENDED, Shutdown::end)
            .row(Phase.REJECTING, Input.ANSWERS_DUE, Phase.CLOSING, Shutdown::answerOpenRequests)
            .row(Phase.REJECTING, Input.NO_CLIENTS_CONNECTED, Phase.ENDED, Shutdown::end)
            .row(Phase.REJECTING, Input.END_DUE, Phase.ENDED, Shutdown::end)
            .row(Phase.CLOSING, Input.NO_CLIENTS_CONNECTED, Phase.ENDED, Shutdown::end)
            .row(Phase.CLOSING, Input.END_DUE, Phase.ENDED, Shutdown::end);

    /** The process may be paused for 0.15 s at a time; an event loop that lags by more than this is overloaded. */
    private static final double MAX_FORWARDING_LAG_SECONDS = 0.2;

    private final double maxDeadline;
    private final ShutdownActions actions;
    private final State state = new State();
    /** Null until the signal is received. */
    private ShutdownBudget budget;

    private boolean isListening = true;
    /** Whether no client can ever have connected, so that the process need not wait for one. */
    private boolean hasNeverListened;
    /** Whether a successor already serves. */
    private boolean isHandingOver;
    /** Whether the event loop has lagged too much to forward further requests and answer them before SIGKILL. */
    private boolean hasFallenBehind;

    /**
     * Creates the shutdown of a serving process.
     *
     * @param maxDeadline the longest deadline of all request classes, in seconds
     */
    public Shutdown(double maxDeadline, ShutdownActions actions) {
        this.maxDeadline = maxDeadline;
        this.actions = actions;
    }

    /** Returns an instance for a listener that is never shut down, such as the one of the warm-up. */
    public static Shutdown never() {
        return new Shutdown(0, null);
    }

    // ---- Events -----------------------------------------------------------------------------------------

    /**
     * Handles SIGTERM, which was sent at {@code earliestSignal} or later and received at {@code receivedAt}. Only the
     * first signal has an effect.
     */
    public void signalReceived(double now, double earliestSignal, double receivedAt) {
        if (state.state() != Phase.SERVING) {
            return;
        }
        budget = ShutdownBudget.of(earliestSignal, receivedAt, maxDeadline);
        TABLE.step(this, state, Input.SIGNAL_RECEIVED);
        actions.wakeUpAt(budget.listenUntil());
        actions.wakeUpAt(budget.forwardUntil());
        actions.wakeUpAt(budget.answerBy());
        actions.wakeUpAt(budget.endBy());
        wakeUp(now);
    }

    /** Handles the start of a successor that listens at the same address; has no effect before the signal. */
    public void successorStarted() {
        if (budget == null || isHandingOver || state.state() == Phase.ENDED) {
            return;
        }
        isHandingOver = true;
        stopListening();
        actions.handOver();
    }

    /** Records that the process has never listened, so that no client can connect. */
    public void listenerNeverStarted() {
        isListening = false;
        hasNeverListened = true;
    }

    /** Performs every step that is due at {@code now}, in order, however late the call is. */
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
            TABLE.step(this, state, Input.END_DUE);
        }
    }

    /**
     * Reports the event loop's current lag. Once the lag exceeds what a pause of the process explains, all requests
     * read from then on are rejected: forwarding a request costs many times as much as rejecting it, and requests that
     * can't be read before SIGKILL are lost.
     */
    public void loopLagMeasured(double seconds) {
        if (budget != null && seconds > MAX_FORWARDING_LAG_SECONDS) {
            hasFallenBehind = true;
        }
    }

    /** Reports that no client is connected, which ends the shutdown unless another client may still connect. */
    public void noClientsConnected(double now) {
        if (budget != null && !isListening && (isHandingOver || hasNeverListened || now >= budget.stayUntil())) {
            TABLE.step(this, state, Input.NO_CLIENTS_CONNECTED);
        }
    }

    // ---- Queries ----------------------------------------------------------------------------------------

    /** Returns the current phase. */
    public Phase phase() {
        return state.state();
    }

    /** Whether the signal was received. */
    public boolean hasBegun() {
        return state.state() != Phase.SERVING;
    }

    /** Whether a request read now may be forwarded. Compares the time too, as {@link #wakeUp} may be called late. */
    public boolean mayForward(double now) {
        return budget == null || state.state() == Phase.DRAINING && now < budget.forwardUntil() && !hasFallenBehind;
    }

    /** Whether requests are rejected because the event loop lagged too much. */
    public boolean hasFallenBehind() {
        return hasFallenBehind;
    }

    /** Whether connections without an open request are to be closed. */
    public boolean closesConnections() {
        return isHandingOver || state.state().compareTo(Phase.REJECTING) >= 0;
    }

    /** Returns the time by which every open request has its final answer; infinite before the signal. */
    public double answerDeadline() {
        return budget == null ? Double.POSITIVE_INFINITY : budget.answerBy();
    }

    /** Returns the times of the shutdown; null before the signal. */
    public ShutdownBudget budget() {
        return budget;
    }

    // ---- Effects of the transition table ----------------------------------------------------------------

    private Input drain(State unused) {
        actions.drain();
        return null;
    }

    private Input rejectNewRequests(State unused) {
        actions.rejectNewRequests();
        return null;
    }

    private Input answerOpenRequests(State unused) {
        actions.answerOpenRequests();
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
