package portrelay.net.upstream;

import java.net.InetSocketAddress;
import java.net.SocketAddress;
import portrelay.model.Outcome;

/**
 * Decides whether an attempt may be written now, just before its first byte: the one place that does, whichever way the
 * attempt has come. Pure; the caller passes in what it knows at that moment.
 */
final class SendCheck {

    /** Why an attempt may not be written, and its outcome then. */
    enum Refusal {
        /** The client has its answer, or has left. */
        CLIENT_GONE(Outcome.CANCELLED, false),
        /** The deadline has passed, or the time in which upstreams recognise a repeat. */
        TOO_LATE(Outcome.NOT_SENT, false),
        /** The upstream takes no new attempts, or is listed at another address than when the attempt was sent. */
        ADDRESS_NOT_IN_USE(Outcome.CONNECT_FAILED, true),
        /** The connection leads to another address than the upstream's. */
        OTHER_CONNECTION(Outcome.CONNECT_FAILED, true);

        private final Outcome outcome;
        private final boolean isFault;

        Refusal(Outcome outcome, boolean isFault) {
            this.outcome = outcome;
            this.isFault = isFault;
        }

        /** Returns the outcome of the attempt, which has provably not run. */
        Outcome outcome() {
            return outcome;
        }

        /** Whether an earlier step should have kept the attempt from coming so far. */
        boolean isFault() {
            return isFault;
        }
    }

    private SendCheck() {}

    /**
     * Returns why the attempt may not be written; null if it may.
     *
     * @param isOver whether no answer is needed any longer
     * @param nowSeconds the time now
     * @param sendBefore the time from which the attempt may no longer be written
     * @param sentTo the address that the attempt was sent to
     * @param usableAddress the address at which the upstream takes new attempts; null if it takes none
     * @param connectedTo the address of the connection's other end; null if it has none
     */
    static Refusal refusal(
            boolean isOver,
            double nowSeconds,
            double sendBefore,
            InetSocketAddress sentTo,
            InetSocketAddress usableAddress,
            SocketAddress connectedTo) {
        if (isOver) {
            return Refusal.CLIENT_GONE;
        }
        if (nowSeconds >= sendBefore) {
            return Refusal.TOO_LATE;
        }
        if (!sentTo.equals(usableAddress)) {
            return Refusal.ADDRESS_NOT_IN_USE;
        }
        return connectedTo == null || connectedTo.equals(sentTo) ? null : Refusal.OTHER_CONNECTION;
    }
}
