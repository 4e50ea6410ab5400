package portrelay.lease;

/** A message between the replicas of one lease. */
public sealed interface LeaseMessage {

    /** Returns the ballot of the round that the message belongs to. */
    Ballot ballot();

    /** A proposer requests the promise to take part in no earlier round. */
    record Prepare(Ballot ballot) implements LeaseMessage {}

    /** An acceptor gives that promise, and names the holder that it has accepted; null for none. */
    record Promise(Ballot ballot, Holder accepted) implements LeaseMessage {}

    /** A proposer requests that the acceptors accept a holder. */
    record Propose(Ballot ballot, Holder holder) implements LeaseMessage {}

    /** An acceptor has accepted the proposal. */
    record Accept(Ballot ballot) implements LeaseMessage {}

    /** An acceptor has promised a later ballot. */
    record Reject(Ballot ballot, Ballot promised) implements LeaseMessage {}

    /** The holder releases its lease before it expires. */
    record Release(Ballot ballot) implements LeaseMessage {}
}
