package portrelay.lease;

/**
 * One voter's memory of one lease; it is lost when the process ends. Therefore a new one keeps silent for as long as
 * anything that the process before it accepted may still hold. Times are seconds of the voter's own clock.
 *
 * @param promised the latest round that it takes part in; null before the first
 * @param accepted the round whose proposal it stands by; null where there is none
 * @param holder of that proposal
 * @param standsUntil when it stops standing by it
 * @param silentUntil when it begins to answer
 */
public record Acceptor(Ballot promised, Ballot accepted, Holder holder, double standsUntil, double silentUntil) {

    /** What becomes of the acceptor, and its reply; null for none. */
    record Answer(Acceptor next, LeaseMessage reply) {}

    /** Of a process that has just started. */
    public static Acceptor started(double now, LeaseTerms terms) {
        return new Acceptor(null, null, null, Double.NEGATIVE_INFINITY, now + terms.acceptorTerm());
    }

    Answer on(LeaseMessage message, double now, LeaseTerms terms) {
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
        if (isAfter(ballot)) {
            return new Answer(this, new LeaseMessage.Reject(ballot, promised));
        }
        Holder standing = now < standsUntil ? holder : null;
        Acceptor next = new Acceptor(ballot, accepted, holder, standsUntil, silentUntil);
        return new Answer(next, new LeaseMessage.Promise(ballot, standing));
    }

    private Answer propose(LeaseMessage.Propose propose, double now, LeaseTerms terms) {
        Ballot ballot = propose.ballot();
        if (isAfter(ballot)) {
            return new Answer(this, new LeaseMessage.Reject(ballot, promised));
        }
        if (ballot.equals(accepted)) {
            // Doubled on its way, or late: what was said stands, and for no longer.
            return new Answer(this, new LeaseMessage.Accept(ballot));
        }
        Acceptor next = new Acceptor(ballot, ballot, propose.holder(), now + terms.acceptorTerm(), silentUntil);
        return new Answer(next, new LeaseMessage.Accept(ballot));
    }

    private boolean isAfter(Ballot ballot) {
        return promised != null && promised.compareTo(ballot) > 0;
    }
}
