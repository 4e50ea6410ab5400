package portrelay.net;

/** What the application sent is no query of the protocol; it is told the status and why. */
final class BadQuery extends Exception {

    private static final long serialVersionUID = 1L;

    final int status;

    BadQuery(int status, String why) {
        super(why, null, false, false);
        this.status = status;
    }
}
