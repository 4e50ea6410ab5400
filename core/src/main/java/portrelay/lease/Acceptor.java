package portrelay.lease;

/**
 * The acceptor of one lease: the state of one voter. The state is lost when the process ends; therefore a new process
 * does not answer for as long as a proposal that its predecessor accepted may last.
 *
 * @param promised the highest ballot that the acceptor promised to take part in; null before the first
 * @param accepted the ballot of the accepted proposal; null if there is none
 * @param holder the holder in the accepted proposal; null if there is none
 * @param acceptedUntil when the accepted proposal expires
 * @param silentUntil when the acceptor begins to answer
 */
public record Acceptor(Ballot promised, Ballot accepted, Holder holder, double acceptedUntil, double silentUntil) {

    /** The acceptor after a message, and its reply, which is null for none. */
    record Answer(Acceptor next, LeaseMessage reply) {}

    /** Returns the acceptor of a process that has just started. */
    public static Acceptor started(double now, LeaseTerms terms) {
        return new Acceptor(null, null, null, Double.NEGATIVE_INFINITY, now + terms.acceptorTerm());
    }

    /** Handles a prepare, propose or release message; other messages have no effect. */
    Answer receive(LeaseMessage message, double now, LeaseTerms terms) {
        if (now < silentUntil) {
            return new Answer(this, null);
        }
        if (message instanceof LeaseMessage.Prepare prepare) {
            return prepare(prepare.ballot(), now);
        }
        if (message instanceof LeaseMessage.Propose propose) {
            return propose(propose, now, terms);
        }
        if (message instanceof LeaseMessage.Release release && release.ballot().equals(accepted)) {
            return new Answer(new Acceptor(promised, null, null, now, silentUntil), null);
        }
        return new Answer(this, null);
    }

    private Answer prepare(Ballot ballot, double now) {
        if (hasPromisedAfter(ballot)) {
            return new Answer(this, new LeaseMessage.Reject(ballot, promised));
        }
        Holder current = now < acceptedUntil ? holder : null;
        Acceptor next = new Acceptor(ballot, accepted, holder, acceptedUntil, silentUntil);
        return new Answer(next, new LeaseMessage.Promise(ballot, current));
    }

    private Answer propose(LeaseMessage.Propose propose, double now, LeaseTerms terms) {
        Ballot ballot = propose.ballot();
        if (hasPromisedAfter(ballot)) {
            return new Answer(this, new LeaseMessage.Reject(ballot, promised));
        }
        if (ballot.equals(accepted)) {
            // A duplicate or late message must not extend the lease.
            return new Answer(this, new LeaseMessage.Accept(ballot));
        }
        Acceptor next = new Acceptor(ballot, ballot, propose.holder(), now + terms.acceptorTerm(), silentUntil);
        return new Answer(next, new LeaseMessage.Accept(ballot));
    }

    private boolean hasPromisedAfter(Ballot ballot) {
        return promised != null && promised.compareTo(ballot) > 0;
    }
}
