package portrelay.lease;

/** What the replicas of one lease send each other. */
public sealed interface LeaseMessage {

    /** The round that it belongs to. */
    Ballot ballot();

    /** A proposer asks for the promise to take part in no earlier round. */
    record Prepare(Ballot ballot) implements LeaseMessage {}

    /** An acceptor promises, and names the lease that it still stands by; null where there is none. */
    record Promise(Ballot ballot, Holder accepted) implements LeaseMessage {}

    /** A proposer asks to be the holder from now on. */
    record Propose(Ballot ballot, Holder holder) implements LeaseMessage {}

    /** An acceptor stands by the proposal. */
    record Accept(Ballot ballot) implements LeaseMessage {}

    /** An acceptor has promised a later round to somebody. */
    record Reject(Ballot ballot, Ballot promised) implements LeaseMessage {}

    /** The holder gives its lease back before its time. */
    record Release(Ballot ballot) implements LeaseMessage {}
}
